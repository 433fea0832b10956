#ifndef APP_DISPATCH_DUTY_H_
#define APP_DISPATCH_DUTY_H_

#include <functional>
#include <map>
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
#include "report/log_report.h"

namespace limpetrudder {

// Events of the dispatch duty from other threads.

struct RoutesChanged {
  std::shared_ptr<const RouteTable> routes;
};
// There were no newer routes at `at`.
struct RoutesStillLatest {
  Time at{};
};
struct ServersChanged {
  DirectoryChange change;
};
struct EvacuationsChanged {
  std::set<std::string> data_centres;
};
struct InstancesChanged {
  std::vector<InstanceEntry> instances;
};
// The instance ends at `end`.
struct StopAcceptingCallers {
  Time end{};
};
struct GiveUpCalls {};

using DispatchEvent = std::variant<RoutesChanged,
                                   RoutesStillLatest,
                                   ServersChanged,
                                   EvacuationsChanged,
                                   InstancesChanged,
                                   StopAcceptingCallers,
                                   GiveUpCalls>;

// Runs the dispatch engine and the connections of callers and servers on one
// thread: passes events to the engine and executes its actions. Not thread
// safe.
class DispatchDuty {
 public:
  using Mailbox = DutyThread<DispatchEvent, DispatchDuty>;

  // `state` must outlive this object. `max_buffered_bytes` limits the total
  // size of incomplete server responses, `caller_connections` bounds the
  // callers' connections; its timeouts hold until the first routes set them.
  DispatchDuty(DispatchSettings settings,
               std::size_t max_buffered_bytes,
               const ConnectionLimits& caller_connections,
               EntryState* state);
  ~DispatchDuty();

  // Opens the callers' port, which the mailbox's thread serves. Call once,
  // before that thread runs. The mailbox must outlive all use of this object.
  // Errors: kStartFailed.
  Result<void> Open(const std::string& caller_address, Mailbox* mailbox);

  void Handle(DispatchEvent event, Time now);
  Time Tick(Time now);

  // Sets the handler that is called, on the duty's thread, with an instance
  // that has newer routes than this one and with their version. Call before the
  // thread runs.
  using NewerRoutesHandler =
      std::function<void(const std::string& instance, std::uint64_t version)>;
  void SetNewerRoutesHandler(NewerRoutesHandler handler) {
    on_newer_routes_ = std::move(handler);
  }

  // Handles another instance's notices of suspected and quarantined requests.
  // Call on the duty's thread.
  void OnExchange(const ServerRequest& request, const Responder& respond);

  // Handles another instance's ask for tokens. Call on the duty's thread.
  void OnQuotaAsk(const ServerRequest& request, Responder respond);

  // Returns the counts of the callers' calls of the accounts with the most of
  // them; null if there are no accounts. Call on the duty's thread.
  nlohmann::json AccountMetrics() const;

  // Whether other instances should forward calls to this one. Call on the
  // duty's thread.
  bool has_server_contact() const { return engine_.has_server_contact(); }

  // Handles a call that another instance forwarded. The request's connection
  // must be one of the peer server, not of the callers' server. Call on the
  // duty's thread.
  void OnForwardedCall(ServerRequest request, Responder respond);
  // Abandons the calls of a closed connection of the peer server. Call on the
  // duty's thread.
  void OnPeerConnectionClosed(std::uint64_t connection);

 private:
  // A call that has no final answer yet, and where to send that.
  struct PendingCall {
    std::uint64_t connection = 0;
    bool from_peer = false;  // Forwarded by another instance.
    Responder respond;
  };

  // A health probe, a ping, notices or an ask that have no response yet.
  enum class ProbeKind { kServer, kInstance, kExchange, kChange, kQuota };
  struct PendingProbe {
    std::string name;  // Of the server or instance.
    ProbeKind kind = ProbeKind::kServer;
    std::uint64_t quota_ask = 0;  // Its id, if it is one.
  };

  void OnRequest(ServerRequest request, Responder respond);
  void OnConnectionClosed(std::uint64_t connection);
  // Counts why a caller's connection was closed.
  void OnConnectionEnd(ConnectionEnd end);
  void StartCall(Result<CallRequest> call,
                 std::uint64_t connection,
                 bool from_peer,
                 Responder respond);
  void SendProbe(PoolRequest request, PendingProbe probe);
  void OnResponse(PoolResponse response);
  void OnProbeResponse(const PendingProbe& probe,
                       const PoolResponse& response,
                       Time now);

  void On(RoutesChanged event, Time now);
  void On(const RoutesStillLatest& event, Time now);
  void On(const ServersChanged& event, Time now);
  void On(const EvacuationsChanged& event, Time now);
  void On(InstancesChanged event, Time now);
  void On(const StopAcceptingCallers& event, Time now);
  void On(const GiveUpCalls& event, Time now);

  // Calls the engine's Tick(), executes its actions and sets the timer for the
  // next tick.
  void RunEngine(Time now);
  void ExecuteActions();
  void Execute(SendToServer action);
  void Execute(const ForwardCall& action);
  void Execute(const FetchRoutes& action);
  void Execute(const PingInstance& action);
  void Execute(const AbortAttempt& action);
  void Execute(const ProbeHealth& action);
  void Execute(CompleteCall action);
  // Adds 1 to the metric `event` and logs the event.
  void CountAndLog(LogLevel level,
                   const char* event,
                   const nlohmann::json& fields);
  void Execute(const ServerStateChange& action);
  void Execute(const AttemptLost& action);
  void Execute(const RequestTrial& action);
  void Execute(const ExchangeQuarantine& action);
  void Execute(const RequestStandingChange& action);
  void Execute(const BackoffChange& action);
  void Execute(const RateLimitChange& action);
  void Execute(const AdmissionChange& action);
  void Execute(const PacingChange& action);
  void Execute(const ServerCold& action);
  void Execute(const DataCentreChange& action);
  void Execute(const AskQuota& action);
  void Execute(const AnswerQuota& action);
  void Execute(const AccountLimitChange& action);
  void Execute(const QuotaActivity& action);
  void Execute(const ServerContactChange& action);
  // Adds the call to the metrics and logs it.
  void RecordCall(const CallRecord& record);

  const std::size_t max_buffered_bytes_;
  const ConnectionLimits caller_connections_;
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
  std::unordered_map<std::uint64_t, Responder> pending_quota_asks_;  // By ref.
  std::uint64_t next_quota_ref_ = 1;
  // Keyed by name; only accounts of the routes in force, and none.
  std::map<std::string, CallCounts> calls_by_account_;
  Time last_shed_log_{};
  std::uint64_t shed_since_log_ = 0;
  CallId next_call_id_ = 1;
  std::uint64_t next_probe_id_;
};

}  // namespace limpetrudder

#endif  // APP_DISPATCH_DUTY_H_
