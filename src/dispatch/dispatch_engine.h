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
#include "dispatch/internal/coordinator_set.h"
#include "dispatch/internal/quarantine_exchange.h"
#include "dispatch/internal/query_admission.h"
#include "dispatch/internal/request_quarantine.h"
#include "dispatch/internal/route_profiles.h"
#include "dispatch/internal/server_contact.h"
#include "dispatch/internal/server_placer.h"
#include "dispatch/internal/server_table.h"
#include "dispatch/internal/topology.h"
#include "dispatch/internal/trial_owners.h"
#include "dispatch/internal/weighted_split.h"
#include "framework/random.h"
#include "limits/retry_budget.h"
#include "quota/account_quotas.h"
#include "routing/route_table.h"

namespace limpetrudder {

struct DispatchSettings {
  InstanceEntry own;
  std::map<std::string, std::string> regions;  // Keyed by data centre.
  RetryBudgetSettings retry_budget;
  WarmupBounds warmup;
  std::uint64_t seed = 0;
  // How old the news may be that the routes in force are the latest, for keys
  // to be taken; not set: of any age.
  std::optional<Duration> key_confirmation_bound;
  // Not set: calls aren't bound by the limits of accounts.
  std::optional<QuotaBounds> quota;
};

// Routes each caller's request to one server of a service, or fans it out to
// one server of each shard and merges the parts. Selects servers, retries and
// hedges, decides when an answer is final, and refuses what can't be served.
//
// Has no clock and does no I/O: events come in with the current time, actions
// go out through TakeActions(). The same events, times and seed give the same
// actions. Not thread safe.
class DispatchEngine {
 public:
  explicit DispatchEngine(DispatchSettings settings);

  DispatchEngine(const DispatchEngine&) = delete;
  DispatchEngine& operator=(const DispatchEngine&) = delete;

  // Puts a version of the routes into force. Active calls keep the version
  // that they began with. Ignored unless the version is higher than the current
  // one.
  void OnRoutes(std::shared_ptr<const RouteTable> routes, Time now);

  // There were no newer routes than those in force at `at`, by the store or by
  // an instance that heard it. Used only with a key_confirmation_bound.
  void OnRoutesConfirmed(Time at);

  // Applies added, changed and removed servers.
  void OnServers(const DirectoryChange& change, Time now);

  // Sets the evacuated data centres: their servers get no new requests.
  void OnEvacuations(const std::set<std::string>& data_centres, Time now);

  // Sets the live instances; this one may be among them or not.
  void OnInstances(const std::vector<InstanceEntry>& instances, Time now);

  // Starts a call. Precondition: its id is new.
  void OnCall(CallRequest call, Time now);

  // The caller disconnected: cancels the call, which gets no answer.
  void OnCallerLeft(CallId call, Time now);

  // The result of a SendToServer or a ForwardCall.
  void OnReply(TargetReply reply, Time now);

  // The result of a ProbeHealth.
  void OnProbe(const std::string& server, const ProbeReply& reply, Time now);

  // The result of a PingInstance.
  void OnPing(const std::string& name, bool answered, Time now);

  // Applies what another instance told of suspected and quarantined requests:
  // in its answer to an ExchangeQuarantine, or in one of its own.
  void OnQuarantineNotices(const std::vector<QuarantineNotice>& notices,
                           NoticeScope scope,
                           Time now);

  // Returns the answer to another instance's ExchangeQuarantine of scope kAll.
  std::vector<QuarantineNotice> QuarantineNotices(Time now) const;

  // Another instance asks for tokens. An AnswerQuota with this `ref` follows.
  void OnQuotaAsk(std::uint64_t ref, const QuotaAsk& ask, Time now);

  // The result of an AskQuota; nothing if there was no answer.
  void OnQuotaAnswer(std::uint64_t id,
                     const std::optional<QuotaAnswer>& answer,
                     Time now);

  // The instance stops and ends at `end`. Refuses calls from now on whose
  // timeouts end later, so that their callers ask other instances in time.
  void OnStopping(Time end);

  // Gives all calls a final answer with what there is, since the instance ends.
  void GiveUpCalls(Time now);

  // Does what is due and returns when to call it again.
  Time Tick(Time now);

  // Returns the pending actions and clears them.
  std::vector<DispatchAction> TakeActions();

  std::uint64_t routes_version() const {
    return routes_ ? routes_->version() : 0;
  }

  // Whether the instance has contact with servers. Without it, other instances
  // should forward nothing to it.
  bool has_server_contact() const { return !contact_.lost(); }

 private:
  using SubQuery = detail::SubQuery;
  using ActiveCall = detail::ActiveCall;
  using ServerLoad = detail::ServerLoad;

  // A request that was sent and has no answer yet. It outlives its call, since
  // a late answer still updates what is known of the server.
  struct PendingAttempt {
    CallId call = 0;  // 0: orphaned, the call has ended without it.
    // Index of the sub-query or, at a coordinator, of the batch.
    std::size_t sub_query = 0;
    std::shared_ptr<ServerLoad> server;
    detail::ServerGroup* group = nullptr;  // Null: `server` is a coordinator.
    std::shared_ptr<const RouteTable> table;
    const Route* route = nullptr;
    Time sent{};
    bool late_recorded = false;   // In the server's pacer.
    std::string trial_digest;     // Set if it is the trial of a request.
    std::int64_t started_ms = 0;  // Start of the server process.

    // Whether the server process that got the request is still the current
    // one.
    bool IsCurrent() const { return server->entry().started_ms == started_ms; }
  };

  // A leaving server that is announced to other instances until `until`.
  struct LeavingNotice {
    LeavingServer server;
    Time until{};
  };

  // Probes `server` to learn whether it crashed under a request that was sent
  // to it at `sent`.
  struct CrashCheck {
    std::string server;
    std::string digest;
    Time sent{};
    Time due{};  // When to probe.
    bool probed = false;
    // It answered the request, so that the request is cleared if it has
    // survived that.
    bool answered = false;
  };

  // How a server's reply counts for its sub-query.
  enum class ReplyClass {
    kUsable,
    kRejected,  // The server certainly didn't run the request.
    kFailed,    // It answered with a failure.
    kLost,      // It may have run the request; there is no usable answer.
  };

  // Keeps calls that began under earlier routes within the regions that the
  // current ones allow: attempts may still follow for seconds.
  void NarrowActiveCalls();
  // Sets the account for which the call is made, null for none. Returns false
  // if it may not be made; it is refused then.
  bool IdentifyAccount(CallRequest* call,
                       const Route& route,
                       const ClientAccount** account,
                       Time now);
  // Likewise, for a call whose key another instance has checked.
  bool AcceptAccount(const CallRequest& call,
                     const Route& route,
                     const ClientAccount** account);
  // Returns the current version of the routes if the instance that forwarded
  // the call has an older one, else 0.
  std::uint64_t NewerRoutesFor(const CallRequest& call) const;
  void Refuse(const CallRequest& call,
              int status,
              ResultCode code,
              std::optional<Duration> retry_after);
  // Refuses a call before anything was sent, because servers are overloaded.
  void RefuseOverloaded(ActiveCall* call, Time now);
  RequestStanding StandingOf(const CallRequest& call, Time now) const;
  static const std::string& DigestOf(ActiveCall* call);
  // Refuses a call whose request may not be sent to servers now. Returns
  // whether it did.
  bool RefuseQuarantined(const CallRequest& call, Time now);
  // Sets who is to try the call's request, which is suspected. Returns false if
  // nobody may try it now; it is refused then.
  bool AssignTrial(ActiveCall* call, Time now);
  // Whether `instance`, another one, can try the call's request.
  bool MayOwnTrial(const ActiveCall& call, const std::string& instance) const;
  void RefuseUntried(const CallRequest& call);
  // Ends a call whose request can't be tried now. `may_have_run`: the instance
  // that was to try it was lost.
  void EndUntried(ActiveCall* call, bool may_have_run, Time now);
  // Claims the trial of the call's request, at all instances. Returns false if
  // it may not be tried.
  bool ClaimTrial(ActiveCall* call, Time now);
  // Whether the call was a trial that somebody else may make by now.
  bool MayNotTry(const ActiveCall& call, Time now) const;
  // The result of a trial whose call has ended.
  void OnOrphanedTrialReply(const PendingAttempt& attempt,
                            const TargetReply& reply,
                            Time now);
  // Sends one sub-query of the call, to learn whether its server answers.
  void StartTrial(ActiveCall* call, Time now);
  // Starts a sub-query, or retries it if it had attempts.
  void ResumeSubQuery(ActiveCall* call, std::size_t index, Time now);
  void FailOpenSubQueries(ActiveCall* call);
  // Cancels all attempts and batches of the call. Its sub-queries stay open.
  void CancelAttempts(ActiveCall* call, Time now);
  // A server broke off under the call. Returns whether the call was given up or
  // waits for a crash check; otherwise it is handled as any failure.
  bool OnPossibleCrash(ActiveCall* call,
                       const PendingAttempt& attempt,
                       Time now);
  // A server crashed under a call that waited for a crash check: goes on as a
  // trial, or gives up a trial or a batch.
  void OnCrashConfirmed(ActiveCall* call, Time now);
  // Sends what waited for a crash check: retries or, after a trial, everything
  // else.
  void Resume(ActiveCall* call, Time now);
  // Sends what a trial held back.
  void ResumeAfterTrial(ActiveCall* call, Time now);
  // Goes on with the calls that wait for this crash check.
  void EndSuspensions(const CrashCheck& check, bool crashed, Time now);
  // A server answered the call. If it may be a request of death all the same,
  // checks whether the server survives it.
  void OnServerAnswered(ActiveCall* call,
                        const std::string& server,
                        Time sent,
                        Time now);
  // Checks whether `server`, which has answered the call, survives that.
  void CheckSurvival(ActiveCall* call,
                     const std::string& server,
                     Time sent,
                     Time now);
  // Likewise for any server that has answered the call. Returns false if none
  // of this instance's servers has.
  bool CheckSurvivor(ActiveCall* call, Time now);
  void CheckCrash(CrashCheck check, Time now);
  // Sends the probes that are due.
  void ProbeForCrashes(Time now, Time* next);
  // Applies the result of a check. Returns whether what other instances have to
  // know changed.
  bool ApplyCrashCheck(const CrashCheck& check, bool crashed, Time now);
  void FinishCrashChecks(const std::string& server, bool crashed, Time now);
  // Send notices to these instances, indices of `peers_`: all of them, or those
  // of the requests with these digests.
  void ExchangeNotices(const std::vector<std::size_t>& peers, Time now);
  void SendChanges(const std::vector<std::size_t>& peers,
                   const std::vector<std::string>& digests,
                   Time now);
  void SendNotices(const std::vector<std::size_t>& peers,
                   NoticeScope scope,
                   const std::vector<QuarantineNotice>& notices);
  void ReportStanding(const std::string& digest,
                      const std::string& server,
                      Time now);
  // Records the queue delay of one part for admission control.
  void RecordQueueDelay(const PendingAttempt& attempt,
                        const TargetReply& reply,
                        Time now);
  // `repeated`: a lost coordinator may have sent the sub-queries already.
  void StartSubQueries(ActiveCall* call, bool repeated, Time now);
  // Fails the sub-queries that SelectSubQueries() omits.
  void OmitSubQueries(ActiveCall* call, Time now);
  // Cancels the optional sub-queries of all calls at servers whose pacing has
  // just begun.
  void CancelOptionalSubQueries(Time now);
  void CancelSubQuery(ActiveCall* call, std::size_t index, Time now);
  // Whether the call can't be served here, since this instance reaches too few
  // servers, while another instance may reach them.
  bool LacksServers(const ActiveCall& call);
  // Returns the instance that is to coordinate the call, or null.
  std::shared_ptr<ServerLoad> ChooseCoordinator(ActiveCall* call, Time now);
  // Forwards the call if another instance is to coordinate it, or waits for
  // that instance's sign of life first. Returns false if it is to start here.
  bool TryForward(ActiveCall* call, Time now);
  // Another instance took no call for which this one reaches too few servers:
  // forwards it to a further one or refuses it. `servers_unreachable`: the
  // other one reaches too few of them either.
  void OnSubstituteRefused(ActiveCall* call,
                           const ServerLoad& instance,
                           bool servers_unreachable,
                           Time now);
  void RefuseUnreachable(ActiveCall* call, Time now);
  void OnServerResponse(Time now);
  // Finds out whether contact with the servers is lost, and probes them then.
  void CheckServerContact(Time now, Time* next);
  // Begins or ends to apply limits, as the routes have some or none.
  void UpdateQuotas(Time now);
  void EndQuotas(Time now);
  void SetQuotaMembers(Time now);
  // Spends a token on the call. Returns false if it waits for one or was
  // refused.
  bool TakeToken(ActiveCall* call, Time now);
  void OnQuotaDecision(const QuotaDecision& decision, Time now);
  void HandleQuotaOutputs(Time now);
  // Goes on with a call that is within its account's limit.
  void StartAdmitted(ActiveCall* call, Time now);
  // A call ends: it doesn't wait any more, or its token is of use to another.
  void ReleaseToken(const ActiveCall& call, Time now);
  // Admits and starts the call here, or refuses it.
  void StartLocally(ActiveCall* call, Time now);
  void ForwardWhole(ActiveCall* call,
                    const std::shared_ptr<ServerLoad>& coordinator,
                    Time now);
  void AwaitCandidate(ActiveCall* call,
                      std::shared_ptr<ServerLoad> candidate,
                      Time now);
  void OnCandidateAlive(const ServerLoad& candidate, Time now);
  void OnCandidateSilent(ActiveCall* call, Time now);
  void OnCoordinatorReply(const PendingAttempt& attempt,
                          TargetReply* reply,
                          Time now);
  void CoordinateLocally(ActiveCall* call, bool repeated, Time now);
  void StartSubQuery(ActiveCall* call,
                     std::size_t index,
                     bool repeated,
                     Time now);
  void DelegateRemoteSubQueries(ActiveCall* call, Time now);
  void DelegateBatch(ActiveCall* call,
                     const std::string& data_centre,
                     std::vector<std::size_t> sub_queries,
                     Time now);
  void OnForwardedCallReply(ActiveCall* call,
                            const ServerLoad& coordinator,
                            TargetReply* reply,
                            Time now);
  void OnBatchReply(ActiveCall* call,
                    std::size_t batch_index,
                    TargetReply* reply,
                    Time now);
  // Retries from this instance the parts that a batch lacks, if the query would
  // fail without them and the route allows another attempt. Applies when
  // servers are overloaded and refuse a few parts of each batch.
  void RetryMissingLocally(ActiveCall* call, std::size_t batch_index, Time now);
  // A coordinator returned no part of the group's shard.
  void OnPartMissing(detail::ServerGroup* group, Time now);
  void ForwardTo(const std::shared_ptr<ServerLoad>& coordinator,
                 ActiveCall* call,
                 std::optional<std::size_t> batch,
                 AttemptId id,
                 std::vector<std::string> shards,
                 Time now);
  void MarkCoordinatorDown(const std::shared_ptr<ServerLoad>& coordinator,
                           Time now);
  void MonitorCoordinators(Time now, Time* next);
  void TrySend(ActiveCall* call, std::size_t index, Time now);
  void Send(ActiveCall* call,
            std::size_t index,
            const std::shared_ptr<ServerLoad>& server,
            Time now);
  bool IsCrossRegion(const ServerLoad& server) const;
  void ScheduleHedge(ActiveCall* call,
                     SubQuery* sub_query,
                     const ServerLoad& first,
                     Time now);
  void TryHedge(ActiveCall* call, std::size_t index, Time now);
  // Whether a hedge of the sub-query would help too little as yet.
  bool HoldsHedge(const ActiveCall& call,
                  const SubQuery& sub_query,
                  Time now) const;
  void Enqueue(ActiveCall* call, std::size_t index, Time now);
  void Dequeue(const ActiveCall& call, std::size_t index);
  void DispatchQueued(detail::ServerGroup* group, Time now);

  ReplyClass ClassifyReply(const PendingAttempt& attempt,
                           const TargetReply& reply) const;
  // Applies what a server asks of its callers in a reply.
  void ApplyServerDirectives(ServerLoad& server,
                             bool leaving,
                             std::optional<Duration> backoff,
                             Time now);
  void ApplyRateLimit(const PendingAttempt& attempt,
                      const RateLimitNotice& notice,
                      Time now);
  void OnLeaving(const LeavingServer& leaving, Time now);
  std::vector<LeavingServer> RecentLeavingServers(Time now);
  void EndBackoffs(Time now, Time* next);
  // Asks a server of a service with a warm-up rate whether it is cold, if it
  // may have restarted.
  void OnPossibleRestart(const PendingAttempt& attempt, Time now);
  void ReportWarmupChanges();
  void UpdatePacing(const PendingAttempt& attempt, Time now);
  void ReportPacing(ServerLoad& server, detail::PacerTransition transition);
  // Records in the servers' pacers which attempts missed the latency target,
  // whether they are answered later or not.
  void RecordLateAttempts(ActiveCall* call, Time now);
  void RecordReply(const PendingAttempt& attempt,
                   const TargetReply& reply,
                   ReplyClass reply_class,
                   Time now);
  void ReportLostAttempt(ActiveCall* call,
                         const PendingAttempt& attempt,
                         AttemptOutcome outcome,
                         Time now);
  void OnSubQueryReply(ActiveCall* call,
                       const PendingAttempt& attempt,
                       TargetReply* reply,
                       ReplyClass reply_class,
                       Time now);
  void RetryOrFail(ActiveCall* call, std::size_t index, Time now);
  void FailSubQuery(ActiveCall* call, std::size_t index, ResultCode code);

  // Finishes the call with the parts that have been answered, if they suffice,
  // or as failed.
  void GiveUp(ActiveCall* call, Time now);

  // Finishes the call if it can be decided; returns whether it was.
  bool TryFinish(ActiveCall* call, Time now);
  void ScheduleWakeup(ActiveCall* call, Time now);
  // Sends due hedges, records late attempts, and finishes the call if it can be
  // decided.
  void Advance(ActiveCall* call, Time now);
  CallReply ComposeAnswer(ActiveCall* call) const;
  CallReply ComposeFailure(ActiveCall* call, Time now);
  // Finishes a call that can't be answered any more.
  void EndFailed(ActiveCall* call, Time now);
  void Finish(ActiveCall* call, CallReply reply, Time now);
  // Sends and records the answer. The call must be released afterwards.
  void Complete(ActiveCall* call, CallReply reply, Time now);
  // Finishes the call without an answer of servers.
  void EndWithout(ActiveCall* call,
                  int status,
                  ResultCode code,
                  Duration retry_after,
                  Time now);
  void ReleaseCall(ActiveCall* call, Time now, bool cancel_now);
  // Detaches an attempt from its call. It goes on for a while unless
  // `cancel_now`, since its answer still shows the state of the server. A trial
  // always does.
  void OrphanAttempt(AttemptId attempt, bool cancel_now, Time now);
  void AbortOrphanedAttempts(Time now);
  void SendProbes(Time now);
  void ProbeServer(const ServerLoad& server);
  void PingDownCoordinators(Time now);
  // Pings instances that are down while calls need one of them.
  void PingSubstitutes(Time now, Time* next);
  void ReportServerState(const ServerLoad& server, ResultCode reason, Time now);

  const DispatchSettings settings_;
  Random random_;
  detail::Topology topology_;
  detail::ServerTable servers_;
  detail::CoordinatorSet coordinators_;
  detail::RouteProfiles profiles_;
  detail::WeightedSplit split_;
  detail::QueryAdmission admission_;
  detail::ServerPlacer placer_;
  std::shared_ptr<const RouteTable> routes_;
  Time routes_confirmed_at_ = Time::min();
  std::unordered_map<CallId, std::unique_ptr<ActiveCall>> calls_;
  std::unordered_map<AttemptId, PendingAttempt> attempts_;
  std::set<std::pair<Time, CallId>> wakeups_;
  // Ordered by the time at which they are aborted.
  std::deque<std::pair<Time, AttemptId>> orphaned_attempts_;
  detail::GroupSet queued_groups_;
  // Servers that are down or may have become cold, with the start time of the
  // process probed last.
  std::map<std::string, std::int64_t> probed_servers_;
  std::set<std::string> backing_off_servers_;
  detail::ServerContact contact_;
  Time substitute_wanted_until_{};
  Time next_substitute_ping_{};
  std::deque<LeavingNotice> leaving_notices_;
  detail::RequestQuarantine quarantine_;
  detail::TrialOwners trial_owners_;
  std::vector<CrashCheck> crash_checks_;
  std::vector<InstanceEntry> peers_;  // The other live instances.
  detail::QuarantineExchange exchange_;
  std::unique_ptr<AccountQuotas> quotas_;    // Null: there are no limits.
  std::optional<Time> members_known_at_;     // When instances were first known.
  bool is_listed_ = false;                   // Among the live instances.
  std::set<std::string> down_coordinators_;  // To be pinged.
  std::vector<DispatchAction> actions_;
  AttemptId next_attempt_ = 1;
  std::uint32_t fleet_size_ = 0;  // In instances.
  Time fleet_size_at_{};
  bool pacing_started_ = false;  // For any server since the last tick.
  std::optional<Time> without_routes_since_;  // The first call refused for it.
  Time starting_until_ = kNever;              // End of the start-up phase.
  Time end_ = kNever;                         // Of a stopping instance.
};

}  // namespace limpetrudder

#endif  // DISPATCH_DISPATCH_ENGINE_H_
