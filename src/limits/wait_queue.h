#ifndef LIMITS_WAIT_QUEUE_H_
#define LIMITS_WAIT_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>

#include "config/config_types.h"
#include "framework/time.h"

namespace limpetrudder {

// One sub-query that waits for a server.
struct WaitingSubQuery {
  std::uint64_t query = 0;
  std::uint32_t shard = 0;
};

// Identifies a queued sub-query, to remove it again.
struct WaitTicket {
  CallerClass caller_class = CallerClass::kBrowse;
  Time deadline{};
  std::uint64_t sequence = 0;
};

// Sub-queries of one shard in the order in which they are to run: urgent
// classes first, within a class the earliest deadline first. One Pop() in
// kLeastUrgentInterval takes from the least urgent class that has entries, so
// that no class starves. Not thread safe.
class WaitQueue {
 public:
  static constexpr std::uint64_t kLeastUrgentInterval = 8;

  WaitTicket Push(CallerClass caller_class,
                  Time deadline,
                  WaitingSubQuery item);

  // Removes and returns the next to run, if any.
  std::optional<WaitingSubQuery> Pop();

  // Removes an entry; does nothing if it is no longer queued.
  void Remove(const WaitTicket& ticket);

  // Returns how many entries run before a new one of `caller_class`.
  std::size_t AheadOf(CallerClass caller_class) const;

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  struct Key {
    Time deadline{};
    std::uint64_t sequence = 0;
    auto operator<=>(const Key&) const = default;
  };
  using ClassQueue = std::map<Key, WaitingSubQuery>;

  WaitingSubQuery PopFrom(ClassQueue* queue);

  std::array<ClassQueue, kCallerClassCount> classes_;
  std::size_t size_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t pops_ = 0;
};

}  // namespace limpetrudder

#endif  // LIMITS_WAIT_QUEUE_H_
