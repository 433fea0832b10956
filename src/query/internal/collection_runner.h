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

// What a runner shares with its engine.
struct RunnerContext {
  std::vector<QueryAction>* actions = nullptr;
  Random* random = nullptr;
  DecisionArchive* archive = nullptr;
  std::string data_centre;
};

// Runs the queries of one collection on one instance. `Strategy` makes the
// decisions in which collections differ. Not thread safe.
template <QueryStrategy Strategy>
class CollectionRunner {
 public:
  // Attempts and batches are numbered from `first_id`, which no other runner
  // may share.
  CollectionRunner(std::shared_ptr<const Collection> collection,
                   CoordinatorPlan plan,
                   RunnerContext context,
                   std::uint64_t first_id);

  // Takes a new configuration. Queries that run keep their shard plan.
  void Reconfigure(std::shared_ptr<const Collection> collection,
                   CoordinatorPlan plan);
  void SetRemoteHomes(std::vector<RemoteCoordinators> homes) {
    remote_.SetCoordinators(std::move(homes));
  }
  void SetListedLeaving(const std::set<std::string>& servers) {
    roster_.SetListedLeaving(servers);
  }

  void Start(QueryId query, SearchRequest request, Time now);
  void Abandon(QueryId query, Time now);
  void OnAttempt(const AttemptResult& result, Time now);
  void OnBatch(BatchId batch, std::vector<ShardAnswer> answers, Time now);
  void OnProbe(const std::string& server,
               const std::optional<ServerReport>& report,
               Time now);

  // Carries out what is due and returns when to be called next.
  Time Turn(Time now);

  bool idle() const { return queries_.empty() && attempts_.empty(); }
  const Collection& collection() const { return *collection_; }
  CoordinatorPlan home_plan() const { return roster_.coordinator_plan(); }
  const LocalServers::Servers& servers() const { return roster_.servers(); }

 private:
  // Admission.
  ShardPlan PlanFor(const SearchRequest& request) const;
  bool IsWholeNeeded(const SearchRequest& request) const;
  bool IsWholeReachable(const ShardPlan& plan) const;
  void Refuse(QueryId query,
              const SearchRequest& request,
              Admission admission,
              std::uint32_t shards);

  void Begin(QueryState* query, Time now);
  void LaunchAll(QueryId id, Time now);

  // One sub-query.
  ServerChoice ChooseServer(QueryState* query, std::uint32_t shard, Time now);
  void Launch(QueryState* query, std::uint32_t shard, Time now);
  void Send(QueryState* query,
            std::uint32_t shard,
            const std::shared_ptr<ServerState>& server,
            DecisionKind kind,
            Time now);
  void Enqueue(QueryState* query, std::uint32_t shard, Time now);
  void Dispatch(const std::shared_ptr<ShardState>& shard, Time now);
  void DispatchFor(const ServerState& server, Time now);
  bool AskElsewhere(QueryState* query, std::uint32_t shard);
  void FlushBatches(QueryState* query, Time now);
  void GiveUp(QueryState* query,
              std::uint32_t shard,
              ResultCode reason,
              Time now);
  void Hedge(AttemptId attempt, Time now);

  // Asks another data centre for the shard of a straggler that no server here
  // can take over.
  void HedgeElsewhere(QueryState* query, std::uint32_t shard, Time now);

  // Sends a spare request to a server that was left alone for long as slow.
  void Explore(QueryState* query, std::uint32_t shard, Time now);

  // Answers.
  void ObserveServer(const AttemptState& attempt,
                     const AttemptResult& result,
                     Time now);
  void OnOpenShard(QueryState* query,
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
  void OnSilence(AttemptId attempt, Time now);
  void Doubt(AttemptId attempt, AttemptState* state, Time now);
  void GiveUpConnection(AttemptId attempt, Time now);
  void CancelLive(QueryState* query, std::uint32_t shard, Time now);

  // The whole query.
  void Settle(QueryId id, Time now);
  bool Repin(QueryState* query, Time now);
  bool RestartOnNewMap(QueryState* query, Time now);
  void CutTail(QueryId id, Time now);
  void Finish(QueryState* query, ResultCode late_reason, Time now);
  void RemoveQuery(QueryState* query);

  QueryState* FindQuery(QueryId id);
  void RunTimer(const Timer& timer, Time now);
  void ProbeServers(Time now);

  std::shared_ptr<const Collection> collection_;
  RunnerContext context_;
  Strategy strategy_;
  LocalServers roster_;
  RemoteShards remote_;
  std::unordered_map<QueryId, std::unique_ptr<QueryState>> queries_;
  std::unordered_map<AttemptId, AttemptState> attempts_;
  std::vector<std::shared_ptr<ShardState>> waiting_;  // With a queue.
  TimerQueue timers_;
  std::uint64_t next_id_;
  Time next_probe_round_{};
};

extern template class CollectionRunner<AdaptiveStrategy>;
extern template class CollectionRunner<BaselineStrategy>;

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_COLLECTION_RUNNER_H_
