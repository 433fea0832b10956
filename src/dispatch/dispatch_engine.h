#ifndef DISPATCH_DISPATCH_ENGINE_H_
#define DISPATCH_DISPATCH_ENGINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/server_directory.h"
#include "dispatch/dispatch_types.h"
#include "dispatch/internal/active_call.h"
#include "dispatch/internal/home_set.h"
#include "dispatch/internal/query_admission.h"
#include "dispatch/internal/route_profiles.h"
#include "dispatch/internal/server_placer.h"
#include "dispatch/internal/server_table.h"
#include "dispatch/internal/topology.h"
#include "dispatch/internal/weighted_split.h"
#include "framework/random.h"
#include "limits/retry_budget.h"
#include "routing/route_table.h"

namespace limpetrudder {

struct DispatchSettings {
  InstanceEntry own;
  std::map<std::string, std::string> regions;  // By data centre.
  RetryBudgetSettings retry_budget;
  std::uint64_t seed = 0;
};

// Answers callers' requests by one server or by one server of each shard:
// decides where each goes, what is asked a second time, when an answer is
// final, and what is refused.
//
// Holds no clock and does no I/O: events come in with the time, actions go out
// through TakeActions(). The same events, times and seed give the same actions.
// Not thread safe.
class DispatchEngine {
 public:
  explicit DispatchEngine(DispatchSettings settings);

  DispatchEngine(const DispatchEngine&) = delete;
  DispatchEngine& operator=(const DispatchEngine&) = delete;

  // A version of the routes came into force. Calls that run keep the one that
  // they began with. A lower version than the last is ignored.
  void OnRoutes(std::shared_ptr<const RouteTable> routes, Time now);

  // Servers came, changed or went.
  void OnServers(const DirectoryChange& change, Time now);

  // The instances that are live, this one among them or not.
  void OnInstances(const std::vector<InstanceEntry>& instances, Time now);

  // A request of a caller; its id must be new.
  void OnCall(CallRequest call, Time now);

  // The caller is gone: its work is cancelled and no answer follows.
  void OnCallerLeft(CallId call, Time now);

  // What became of a SendToServer or a ForwardCall.
  void OnReply(TargetReply reply, Time now);

  // What became of a ProbeHealth.
  void OnProbe(const std::string& server, const ProbeReply& reply, Time now);

  // What became of a PingInstance.
  void OnPing(const std::string& name, bool answered, Time now);

  // Carries out what is due and returns when to be called next.
  Time Turn(Time now);

  // Returns and clears the actions due.
  std::vector<DispatchAction> TakeActions();

  std::uint64_t routes_version() const {
    return routes_ ? routes_->version() : 0;
  }

 private:
  using Leg = detail::Leg;
  using ActiveCall = detail::ActiveCall;
  using ServerLoad = detail::ServerLoad;

  // A request at a server; it outlives its call if its answer still tells
  // something about the server.
  struct OpenSend {
    CallId call = 0;      // 0: nobody waits for the answer.
    std::size_t leg = 0;  // Of a home: the batch.
    std::shared_ptr<ServerLoad> server;
    detail::ServerGroup* group = nullptr;  // Null: `server` is a home.
    std::shared_ptr<const RouteTable> table;
    const Route* route = nullptr;
    Time sent{};
    bool known_late = false;      // Its server's pace knows.
    std::int64_t started_ms = 0;  // Of the server's process that was asked.

    // Whether its answer says something about the server as it is now.
    bool IsCurrent() const { return server->entry().started_ms == started_ms; }
  };

  // A leaving server that other instances are told of for a while.
  struct LeavingNews {
    LeavingServer server;
    Time until{};
  };

  // Whether a server gave what its leg needs.
  enum class Verdict { kGood, kRejected, kFailed, kLost };

  // The version in force here if the instance that forwarded the call lacks it,
  // else 0.
  std::uint64_t NewerRoutesFor(const CallRequest& call) const;
  void Refuse(const CallRequest& call,
              int status,
              ResultCode code,
              std::optional<Duration> retry_after);
  // Ends a call before anything of it was sent, as the servers are overloaded.
  void RefuseForLoad(ActiveCall* call, Time now);
  // Tells admission what the answer to a part says of queues.
  void LearnDelay(const OpenSend& send, const TargetReply& reply, Time now);
  // `repeated`: a home may have sent to the servers already.
  void BeginLegs(ActiveCall* call, bool repeated, Time now);
  // Fails the legs that the call does without.
  void LeaveOutLegs(ActiveCall* call, Time now);
  // Takes back what calls can do without at servers that are late since now.
  void DropSpareLegs(Time now);
  void DropLeg(ActiveCall* call, std::size_t leg_index, Time now);
  bool TryForward(ActiveCall* call, Time now);
  void OnHomeReply(const OpenSend& send, TargetReply* reply, Time now);
  void GatherHere(ActiveCall* call, bool repeated, Time now);
  void BeginLeg(ActiveCall* call,
                std::size_t leg_index,
                bool repeated,
                Time now);
  void DelegateFarLegs(ActiveCall* call, Time now);
  void Delegate(ActiveCall* call,
                const std::string& data_centre,
                std::vector<std::size_t> legs,
                Time now);
  void OnWholeReply(ActiveCall* call, TargetReply* reply, Time now);
  void OnBatchReply(ActiveCall* call,
                    std::size_t batch_index,
                    TargetReply* reply,
                    Time now);
  // Asks for parts that a batch lacks if the query fails without them and their
  // servers may be asked again. Answers the load of crowded servers, which
  // refuse a few parts of each batch.
  void AskMissingHere(ActiveCall* call, std::size_t batch_index, Time now);
  // Another instance gave no part of the group's shard.
  void OnPartMissed(detail::ServerGroup* group, Time now);
  void ForwardTo(const std::shared_ptr<ServerLoad>& home,
                 ActiveCall* call,
                 std::optional<std::size_t> batch,
                 SendId id,
                 std::vector<std::string> shards,
                 Time now);
  void GiveUpHome(const std::shared_ptr<ServerLoad>& home, Time now);
  void WatchHomes(Time now, Time* next);
  void TrySend(ActiveCall* call, std::size_t leg_index, Time now);
  void Send(ActiveCall* call,
            std::size_t leg_index,
            const detail::Placement& choice,
            Time now);
  // Whether the server is in another region.
  bool IsFar(const ServerLoad& server) const;
  void PlanHedge(ActiveCall* call, Leg* leg, const ServerLoad& first, Time now);
  void TryHedge(ActiveCall* call, std::size_t leg_index, Time now);
  void Wait(ActiveCall* call, std::size_t leg_index, Time now);
  void StopWaiting(const ActiveCall& call, std::size_t leg_index);
  void ServeWaiting(detail::ServerGroup* group, Time now);

  Verdict Judge(const OpenSend& send, const TargetReply& reply) const;
  // Takes what a server asks for in an answer.
  void Heed(ServerLoad& server,
            bool leaving,
            std::optional<Duration> backoff,
            Time now);
  void OnLeaving(const LeavingServer& leaving, Time now);
  std::vector<LeavingServer> LeavingToTell(Time now);
  void EndBackoffs(Time now, Time* next);
  void LearnPace(const OpenSend& send, Time now);
  void NotePace(ServerLoad& server, detail::PaceChange change);
  // Tells the servers' paces what hasn't come in time, answered later or not.
  void NoteLateSends(ActiveCall* call, Time now);
  void Learn(const OpenSend& send,
             const TargetReply& reply,
             Verdict verdict,
             Time now);
  void OnVerdict(ActiveCall* call,
                 std::size_t leg_index,
                 TargetReply* reply,
                 Verdict verdict,
                 Time now);
  void RetryOrFail(ActiveCall* call, std::size_t leg_index, Time now);
  void FailLeg(ActiveCall* call, std::size_t leg_index, ResultCode code);

  // Finishes the call if it is decided; returns whether it is gone.
  bool Settle(ActiveCall* call, Time now);
  void Schedule(ActiveCall* call, Time now);
  void Advance(ActiveCall* call, Time now);
  CallReply ComposeAnswer(ActiveCall* call) const;
  CallReply ComposeFailure(ActiveCall* call, Time now);
  void Finish(ActiveCall* call, CallReply reply, Time now);
  void Forget(ActiveCall* call, Time now, bool cancel_now);
  // Nobody waits for the answer any more; it still tells something about the
  // server if it comes soon.
  void Abandon(SendId send, bool cancel_now, Time now);
  void CancelOrphans(Time now);
  void SendProbes(Time now);
  void PingDownHomes(Time now);
  void Believe(const ServerLoad& server, ResultCode reason, Time now);

  const DispatchSettings settings_;
  Random random_;
  detail::Topology topology_;
  detail::ServerTable servers_;
  detail::HomeSet homes_;
  detail::RouteProfiles profiles_;
  detail::WeightedSplit split_;
  detail::QueryAdmission admission_;
  detail::ServerPlacer placer_;
  std::shared_ptr<const RouteTable> routes_;
  std::unordered_map<CallId, std::unique_ptr<ActiveCall>> calls_;
  std::unordered_map<SendId, OpenSend> sends_;
  std::set<std::pair<Time, CallId>> wakes_;
  std::deque<std::pair<Time, SendId>> orphans_;  // By when they are cancelled.
  detail::GroupSet waiting_groups_;
  // Servers to probe, and the start of the process that was probed last.
  std::map<std::string, std::int64_t> down_;
  std::set<std::string> backing_off_;  // Servers.
  std::deque<LeavingNews> leaving_news_;
  std::set<std::string> down_homes_;  // Instances to ping.
  std::vector<DispatchAction> actions_;
  SendId next_send_ = 1;
  std::uint32_t counted_instances_ = 0;
  Time counted_at_{};
  bool pace_started_ = false;    // A server's, since the last turn.
  Time started_until_ = kNever;  // When the start is over.
};

}  // namespace limpetrudder

#endif  // DISPATCH_DISPATCH_ENGINE_H_
