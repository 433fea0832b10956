#ifndef APP_DISPATCH_DUTY_H_
#define APP_DISPATCH_DUTY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include <asio/steady_timer.hpp>

#include "app/entry_state.h"
#include "discovery/discovery_types.h"
#include "dispatch/dispatch_engine.h"
#include "framework/duty_thread.h"
#include "framework/logger.h"
#include "net/http_server.h"
#include "net/target_pool.h"

namespace limpetrudder {

// Events of the dispatch duty from other threads.

struct RoutesChanged {
  std::shared_ptr<const RouteTable> routes;
};
struct ServersChanged {
  DirectoryChange change;
};
struct InstancesChanged {
  std::vector<InstanceEntry> instances;
};
struct CloseCallerDoor {};

using DispatchEvent = std::
    variant<RoutesChanged, ServersChanged, InstancesChanged, CloseCallerDoor>;

// Runs the dispatch engine on one thread, together with callers' and servers'
// connections: feeds it events and carries out its actions. Not thread safe.
class DispatchDuty {
 public:
  using Mailbox = DutyThread<DispatchEvent, DispatchDuty>;

  // `state` must outlive this object.
  // `max_buffered_bytes`: what answers that are being read may take together.
  DispatchDuty(DispatchSettings settings,
               std::size_t max_buffered_bytes,
               EntryState* state);
  ~DispatchDuty();

  // Opens the callers' port on the mailbox's thread. Call once, before the
  // thread runs; the mailbox must outlive this object's use.
  // Errors: kStartFailed.
  Result<void> Open(const std::string& caller_address, Mailbox* mailbox);

  void Handle(DispatchEvent event, Time now);
  Time Turn(Time now);

  // Called with each instance that has newer routes than this one, and their
  // version. Call before the thread runs.
  using NewerRoutesHandler =
      std::function<void(const std::string& instance, std::uint64_t version)>;
  void SetNewerRoutesHandler(NewerRoutesHandler handler) {
    on_newer_routes_ = std::move(handler);
  }

  // A request of another instance, on the duty's thread; `connection` must not
  // be one of a caller's.
  void OnForwarded(ServerRequest request, Responder respond);
  void OnPeerClosed(std::uint64_t connection);

 private:
  // Who waits for the answer to a call.
  struct Waiter {
    std::uint64_t connection = 0;
    bool peer = false;  // Another instance waits.
    Responder respond;
  };

  // What a probe that is out asks for.
  struct Probe {
    std::string name;
    bool instance = false;  // Or a server.
  };

  void OnRequest(ServerRequest request, Responder respond);
  void OnClosed(std::uint64_t connection);
  void Admit(Result<CallRequest> call,
             std::uint64_t connection,
             bool peer,
             Responder respond);
  void SendProbe(PoolRequest request, Probe probe);
  void OnResponse(PoolResponse response);

  void On(RoutesChanged event, Time now);
  void On(const ServersChanged& event, Time now);
  void On(InstancesChanged event, Time now);
  void On(const CloseCallerDoor& event, Time now);

  // Lets the engine act and sets the timer for its next turn.
  void Pump(Time now);
  void CarryOut();
  void Carry(SendToServer action);
  void Carry(const ForwardCall& action);
  void Carry(const FetchRoutes& action);
  void Carry(const PingInstance& action);
  void Carry(const AbortAttempt& action);
  void Carry(const ProbeHealth& action);
  void Carry(CompleteCall action);
  // Counts and logs a change of belief.
  void Note(LogLevel level, const char* event, const nlohmann::json& fields);
  void Carry(const ServerStateChange& action);
  void Carry(const BackoffChange& action);
  void Carry(const AdmissionChange& action);
  void Carry(const PacingChange& action);
  void Count(const CallRecord& record);

  const std::size_t max_buffered_bytes_;
  EntryState* const state_;
  NewerRoutesHandler on_newer_routes_;
  DispatchEngine engine_;
  std::unique_ptr<TargetPool> pool_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<asio::steady_timer> timer_;
  Time timer_at_ = kNever;
  std::unordered_map<CallId, Waiter> waiters_;
  std::unordered_map<std::uint64_t, std::vector<CallId>> by_connection_;
  std::unordered_map<std::uint64_t, Probe> probes_;
  std::unordered_set<AttemptId> forwards_;
  CallId next_call_ = 1;
  std::uint64_t next_probe_;
};

}  // namespace limpetrudder

#endif  // APP_DISPATCH_DUTY_H_
