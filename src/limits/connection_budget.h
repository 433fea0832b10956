#ifndef LIMITS_CONNECTION_BUDGET_H_
#define LIMITS_CONNECTION_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "framework/enum_names.h"
#include "framework/time.h"

namespace limpetrudder {

// What a client's connection is doing.
enum class ConnectionPhase {
  kIdle,     // Between two requests, or before the first one.
  kHead,     // The head of a request has begun.
  kBody,     // The head is complete, the body isn't.
  kServing,  // The request is complete and has no response yet.
  kSending,  // The response isn't yet taken by the client.
  kClosing,  // Refused; only waits for the client to take the refusal.
};

inline constexpr EnumNames<ConnectionPhase, 6> kConnectionPhaseNames{{
    {ConnectionPhase::kIdle, "idle"},
    {ConnectionPhase::kHead, "head"},
    {ConnectionPhase::kBody, "body"},
    {ConnectionPhase::kServing, "serving"},
    {ConnectionPhase::kSending, "sending"},
    {ConnectionPhase::kClosing, "closing"},
}};

// The bounds of all connections of one port.
struct ConnectionLimits {
  std::size_t max_bytes = 64 << 20;  // Of memory, for all together.
  std::size_t max_connections = 4096;
  // The longest time in each phase. That of a body doesn't bound its rate.
  Duration idle_timeout = Seconds(60);
  Duration head_timeout = Seconds(60);
  Duration body_timeout = Seconds(60);
  Duration serving_timeout = Seconds(120);
  Duration sending_timeout = Seconds(30);
  Duration closing_timeout = Seconds(2);
};

// Decides which connections of a port have to go: those that took too long, and
// as many as it takes while all together hold too much memory or there are too
// many. Then refused ones go first, and
// - for memory: of those that receive a request or send a response, the one
//   that has gone longest without kProgressBytes more; then the one that has
//   been idle longest;
// - for their number: the one that has been idle longest; then as above.
// A connection whose request is being served never goes for these. All steps
// take constant time. Not thread safe.
class ConnectionBudget {
 public:
  using ConnectionId = std::uint64_t;

  static constexpr std::size_t kProgressBytes = 4 << 10;

  explicit ConnectionBudget(const ConnectionLimits& limits);

  ConnectionBudget(const ConnectionBudget&) = delete;
  ConnectionBudget& operator=(const ConnectionBudget&) = delete;

  // Holds for open connections as well, from the start of their phase.
  void SetTimeouts(Duration idle, Duration head);

  // Adds an idle connection. `id` must not be open, and must be for the other
  // functions, whose `now` must not decrease.
  void Open(ConnectionId id, Time now);
  void Close(ConnectionId id);

  // Begins a phase, also if it is the one of before.
  void SetPhase(ConnectionId id, ConnectionPhase phase, Time now);
  // Notes that `bytes` more were received or taken by the client.
  void AddProgress(ConnectionId id, std::size_t bytes);
  // Sets the memory that a connection holds.
  void SetBytes(ConnectionId id, std::size_t bytes);

  bool is_over_bytes() const { return bytes_ > limits_.max_bytes; }
  bool is_full() const { return entries_.size() >= limits_.max_connections; }
  std::size_t bytes() const { return bytes_; }
  std::size_t size() const { return entries_.size(); }

  // Returns the connection that goes first for memory or for its number;
  // nothing if there is none that may go.
  std::optional<ConnectionId> FirstToGoForBytes() const;
  std::optional<ConnectionId> FirstToGoForNumber() const;

  // Returns when the next connection has taken too long, or kNever.
  Time next_expiry() const;
  // Returns a connection that has taken too long at `now`, or nothing.
  std::optional<ConnectionId> FindExpired(Time now) const;
  Duration timeout(ConnectionPhase phase) const;
  ConnectionPhase phase(ConnectionId id) const { return entries_.at(id).phase; }

 private:
  static constexpr std::size_t kPhases = kConnectionPhaseNames.size();

  using Order = std::list<ConnectionId>;

  struct Entry {
    ConnectionPhase phase = ConnectionPhase::kIdle;
    Time phase_start{};
    std::size_t bytes = 0;
    std::size_t progress = 0;  // Below kProgressBytes.
    Order::iterator in_phase;
    Order::iterator in_moving;
  };

  // The connections in a phase, the one that is in it longest first.
  Order& InPhase(ConnectionPhase phase) {
    return in_phase_[static_cast<std::size_t>(phase)];
  }
  const Order& InPhase(ConnectionPhase phase) const {
    return in_phase_[static_cast<std::size_t>(phase)];
  }

  ConnectionLimits limits_;
  std::unordered_map<ConnectionId, Entry> entries_;
  std::array<Order, kPhases> in_phase_;
  // Those that receive or send, the one longest without progress first, and
  // the others.
  Order moving_;
  Order resting_;
  std::size_t bytes_ = 0;
};

}  // namespace limpetrudder

#endif  // LIMITS_CONNECTION_BUDGET_H_
