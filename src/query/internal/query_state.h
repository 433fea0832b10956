#ifndef QUERY_INTERNAL_QUERY_STATE_H_
#define QUERY_INTERNAL_QUERY_STATE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "query/internal/answer_set.h"
#include "query/internal/decision_log.h"
#include "query/internal/shard_state.h"
#include "query/query_types.h"

namespace limpetrudder::detail {

enum class ShardStatus { kOpen, kAnswered, kGivenUp };

// The progress of a query at one shard.
struct ShardProgress {
  ShardStatus status = ShardStatus::kOpen;
  ResultCode reason = ResultCode::kOk;  // Why it was given up.
  std::uint32_t attempts = 0;
  std::vector<AttemptId> in_flight;          // Without a result.
  std::vector<const ServerState*> excluded;  // Failed this sub-query.
  std::vector<std::string> data_centres_requested;
  bool in_batch = false;  // Requested from another data centre.
  // The last attempt was refused without being run.
  bool refused_unrun = false;
  // Further attempts open their own connections, because an earlier one got no
  // response in time.
  bool needs_fresh_connection = false;
  std::optional<WaitTicket> ticket;
};

// One request to one server.
struct AttemptState {
  QueryId query = 0;
  std::uint32_t shard = 0;
  std::shared_ptr<ServerState> server;
  std::shared_ptr<ShardState> shard_state;
  Time sent{};
  bool fresh_connection = false;
  bool optional = false;  // Sent to learn the server's latency.
  bool silent = false;    // No response in time; another attempt was made.
  std::optional<Time> cancelled_at;
};

struct QueryState {
  QueryState(QueryId query_id, SearchRequest search, ShardPlan shard_plan)
      : id(query_id),
        request(std::move(search)),
        plan(std::move(shard_plan)),
        shards(plan.shards.size()),
        answers(plan.shards.size()) {}

  // Returns whether an attempt is for a shard of the current plan. An attempt
  // from before a restart on a new shard map is not.
  bool IsForCurrentPlan(const AttemptState& attempt) const {
    return attempt.shard < plan.shards.size() &&
           plan.shards[attempt.shard] == attempt.shard_state;
  }

  // Returns whether an answer at `snapshot` can be part of this query's result.
  bool Accepts(Snapshot snapshot) const {
    return snapshot.map_epoch == plan.map_epoch &&
           (pinned.version == 0 || snapshot == pinned);
  }

  // Returns the number of shards that were given up.
  std::uint32_t CountGivenUp() const;

  // Returns whether some shards have no usable answer because they hold other
  // snapshots.
  bool HasSnapshotConflict() const;

  QueryId id;
  SearchRequest request;
  ShardPlan plan;
  std::vector<ShardProgress> shards;
  AnswerSet answers;
  Snapshot pinned;
  Time started{};
  std::uint32_t open_shards = 0;
  std::uint32_t repins = 0;
  std::uint32_t restarts = 0;
  std::uint32_t sub_queries = 0;
  std::uint32_t extra_sub_queries = 0;
  DecisionLog decision_log;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_QUERY_STATE_H_
