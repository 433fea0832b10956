#ifndef QUERY_INTERNAL_COLLECTION_RUNNER_H_
#define QUERY_INTERNAL_COLLECTION_RUNNER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "query/internal/adaptive_strategy.h"
#include "query/internal/baseline_strategy.h"
#include "query/internal/local_servers.h"
#include "query/internal/query_state.h"
#include "query/internal/remote_shards.h"
#include "query/internal/strategy.h"
#include "query/internal/timer_queue.h"
#include "routing/coordinator_plan.h"

namespace limpetrudder::detail {

// State that a runner shares with its engine.
struct RunnerContext {
  std::vector<QueryAction>* actions = nullptr;
  Random* random = nullptr;
  DecisionArchive* archive = nullptr;
  std::string data_centre;
};

// Runs the queries of one collection on one instance. `Strategy` decides what
// collections may configure differently, such as admission, the choice of
// servers, retries and hedges. Not thread safe.
template <QueryStrategy Strategy>
class CollectionRunner {
 public:
  // Numbers attempts and batches from `first_id`. The ids of two runners must
  // not overlap.
  CollectionRunner(std::shared_ptr<const Collection> collection,
                   CoordinatorPlan plan,
                   RunnerContext context,
                   std::uint64_t first_id);

  // Applies a new configuration. Running queries keep their shard plan, unless
  // they restart on a new shard map.
  void Reconfigure(std::shared_ptr<const Collection> collection,
                   CoordinatorPlan plan);
  void SetRemoteCoordinators(std::vector<RemoteCoordinators> coordinators) {
    remote_.SetCoordinators(std::move(coordinators));
  }
  void SetListedLeaving(const std::set<std::string>& servers) {
    local_servers_.SetListedLeaving(servers);
  }

  void Start(QueryId query, SearchRequest request, Time now);
  void Abandon(QueryId query, Time now);
  void OnAttempt(const AttemptResult& result, Time now);
  void OnBatch(BatchId batch, std::vector<ShardAnswer> answers, Time now);
  void OnProbe(const std::string& server,
               const std::optional<ServerReport>& report,
               Time now);

  // Runs due timers, probes and queued sub-queries. Returns when to call it
  // next.
  Time Tick(Time now);

  bool idle() const { return queries_.empty() && attempts_.empty(); }
  const Collection& collection() const { return *collection_; }
  CoordinatorPlan coordinator_plan() const {
    return local_servers_.coordinator_plan();
  }
  const LocalServers::Servers& servers() const {
    return local_servers_.servers();
  }

 private:
  // Admission of queries.
  ShardPlan PlanFor(const SearchRequest& request) const;
  bool RequiresFullCoverage(const SearchRequest& request) const;
  bool IsFullCoverageReachable(const ShardPlan& plan) const;
  void Refuse(QueryId query,
              const SearchRequest& request,
              Admission admission,
              std::uint32_t shards);

  void InitializeQuery(QueryState* query, Time now);
  void LaunchAll(QueryId id, Time now);

  // Sending of sub-queries.

  ServerChoice ChooseServer(QueryState* query, std::uint32_t shard, Time now);
  void Launch(QueryState* query, std::uint32_t shard, Time now);
  void Send(QueryState* query,
            std::uint32_t shard,
            const std::shared_ptr<ServerState>& server,
            DecisionKind kind,
            Time now);

  // Queues a sub-query until a server of its shard has capacity.
  void Enqueue(QueryState* query, std::uint32_t shard, Time now);

  // Launches queued sub-queries of the shard while its servers have capacity.
  void DispatchQueue(const std::shared_ptr<ShardState>& shard, Time now);

  // Calls DispatchQueue() for each queued shard that the server serves.
  void DispatchQueuesOf(const ServerState& server, Time now);

  // Reserves a place for the shard in a batch to another data centre.
  // FlushBatches() sends it. Returns false if there is none to ask.
  bool DelegateShard(QueryState* query, std::uint32_t shard);

  void FlushBatches(QueryState* query, Time now);
  void GiveUpShard(QueryState* query,
                   std::uint32_t shard,
                   ResultCode reason,
                   Time now);
  void Hedge(AttemptId attempt, Time now);

  // Delegates the shard of a slow attempt to another data centre if no other
  // local server can take it.
  void HedgeInOtherDataCentre(QueryState* query, std::uint32_t shard, Time now);

  // Sends an additional request to an idle server whose latency measurement is
  // out of date, so that a recovered server is used again.
  void Explore(QueryState* query, std::uint32_t shard, Time now);

  // Results of attempts and batches.
  void RecordServerResult(const AttemptState& attempt,
                          const AttemptResult& result,
                          Time now);
  void OnOpenShardResult(QueryState* query,
                         const AttemptState& attempt,
                         const AttemptResult& result,
                         Time now);
  void OnRemoteAnswer(QueryState* query,
                      std::uint32_t shard,
                      const std::string& data_centre,
                      ShardAnswer answer,
                      Time now);
  void OnRemoteRefusal(QueryState* query,
                       std::uint32_t shard,
                       const std::string& data_centre,
                       ResultCode reason,
                       Time now);
  void OnShardAnswered(QueryState* query,
                       std::uint32_t shard,
                       ShardAnswer answer,
                       Time now);
  void OnShardFailed(QueryState* query,
                     std::uint32_t shard,
                     const AttemptState& attempt,
                     ResultCode reason,
                     Time now);
  void OnSilenceTimeout(AttemptId attempt, Time now);

  // Keeps a silent attempt open and retries its sub-query on another server,
  // unless another live attempt is not silent.
  void RetryAfterSilence(AttemptId attempt, AttemptState* state, Time now);

  void CloseSilentConnection(AttemptId attempt, Time now);
  void CancelLiveAttempts(QueryState* query, std::uint32_t shard, Time now);

  // Completion of queries.

  // Finishes the query, or restarts or repins it, once no shard is open or one
  // was given up.
  void MaybeFinish(QueryId id, Time now);

  // Moves the query to another version if more shards can answer at it. Returns
  // whether it did.
  bool Repin(QueryState* query, Time now);

  // Restarts an incomplete query if the shard map changed since it started.
  // Returns whether it did.
  bool RestartOnNewMap(QueryState* query, Time now);

  // Answers without the slowest shards if enough others have answered.
  void CutTail(QueryId id, Time now);

  void Finish(QueryState* query, ResultCode missing_reason, Time now);
  void RemoveQuery(QueryState* query);

  QueryState* FindQuery(QueryId id);
  void RunTimer(const Timer& timer, Time now);
  void ProbeServers(Time now);

  std::shared_ptr<const Collection> collection_;
  RunnerContext context_;
  Strategy strategy_;
  LocalServers local_servers_;
  RemoteShards remote_;
  std::unordered_map<QueryId, std::unique_ptr<QueryState>> queries_;
  std::unordered_map<AttemptId, AttemptState> attempts_;
  // Shards with queued sub-queries.
  std::vector<std::shared_ptr<ShardState>> queued_shards_;
  TimerQueue timers_;
  std::uint64_t next_id_;
  Time next_probe_round_{};
};

extern template class CollectionRunner<AdaptiveStrategy>;
extern template class CollectionRunner<BaselineStrategy>;

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_COLLECTION_RUNNER_H_
