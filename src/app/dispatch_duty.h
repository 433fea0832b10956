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
struct StopAcceptingCallers {};

using DispatchEvent = std::variant<RoutesChanged,
                                   ServersChanged,
                                   InstancesChanged,
                                   StopAcceptingCallers>;

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
  void OnForwardedCall(ServerRequest request, Responder respond);
  void OnPeerConnectionClosed(std::uint64_t connection);

 private:
  // Who waits for the answer to a call.
  struct PendingCall {
    std::uint64_t connection = 0;
    bool from_peer = false;  // Another instance waits.
    Responder respond;
  };

  // What a probe that is out asks for.
  struct PendingProbe {
    std::string name;
    bool is_instance = false;  // Or a server.
  };

  void OnRequest(ServerRequest request, Responder respond);
  void OnConnectionClosed(std::uint64_t connection);
  void StartCall(Result<CallRequest> call,
                 std::uint64_t connection,
                 bool from_peer,
                 Responder respond);
  void SendProbe(PoolRequest request, PendingProbe probe);
  void OnResponse(PoolResponse response);

  void On(RoutesChanged event, Time now);
  void On(const ServersChanged& event, Time now);
  void On(InstancesChanged event, Time now);
  void On(const StopAcceptingCallers& event, Time now);

  // Lets the engine act and sets the timer for its next turn.
  void RunEngine(Time now);
  void ExecuteActions();
  void Execute(SendToServer action);
  void Execute(const ForwardCall& action);
  void Execute(const FetchRoutes& action);
  void Execute(const PingInstance& action);
  void Execute(const AbortAttempt& action);
  void Execute(const ProbeHealth& action);
  void Execute(CompleteCall action);
  // Counts and logs a change of belief.
  void CountAndLog(LogLevel level,
                   const char* event,
                   const nlohmann::json& fields);
  void Execute(const ServerStateChange& action);
  void Execute(const BackoffChange& action);
  void Execute(const AdmissionChange& action);
  void Execute(const PacingChange& action);
  void RecordCall(const CallRecord& record);

  const std::size_t max_buffered_bytes_;
  EntryState* const state_;
  NewerRoutesHandler on_newer_routes_;
  DispatchEngine engine_;
  std::unique_ptr<TargetPool> pool_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<asio::steady_timer> timer_;
  Time timer_expiry_ = kNever;
  std::unordered_map<CallId, PendingCall> pending_calls_;
  std::unordered_map<std::uint64_t, std::vector<CallId>> calls_by_connection_;
  std::unordered_map<std::uint64_t, PendingProbe> pending_probes_;
  std::unordered_set<AttemptId> pending_forwards_;
  CallId next_call_id_ = 1;
  std::uint64_t next_probe_id_;
};

}  // namespace limpetrudder

#endif  // APP_DISPATCH_DUTY_H_
