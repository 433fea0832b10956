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

// How far a query has got with one shard.
struct ShardProgress {
  ShardStatus status = ShardStatus::kOpen;
  ResultCode reason = ResultCode::kOk;  // Why it was given up.
  std::uint32_t attempts = 0;
  std::vector<AttemptId> in_flight;          // Sent and not settled.
  std::vector<const ServerState*> excluded;  // Failed this sub-query.
  std::vector<std::string> data_centres_requested;
  bool in_batch = false;  // Asked of another data centre.
  bool refused_unrun =
      false;  // The last attempt was refused without being run.
  bool needs_fresh_connection =
      false;  // Further attempts open their own connections.
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
  bool silent = false;    // Nothing heard in time; another attempt was made.
  std::optional<Time> cancelled_at;
};

struct QueryState {
  QueryState(QueryId query_id, SearchRequest search, ShardPlan shard_plan)
      : id(query_id),
        request(std::move(search)),
        plan(std::move(shard_plan)),
        shards(plan.shards.size()),
        answers(plan.shards.size()) {}

  // Whether an attempt is for a shard of the present plan; one from before a
  // restart on a new map isn't.
  bool IsForCurrentPlan(const AttemptState& attempt) const {
    return attempt.shard < plan.shards.size() &&
           plan.shards[attempt.shard] == attempt.shard_state;
  }

  // Whether an answer of `snapshot` is one that was asked for.
  bool Accepts(Snapshot snapshot) const {
    return snapshot.map_epoch == plan.map_epoch &&
           (pinned.version == 0 || snapshot == pinned);
  }

  // How many shards were given up.
  std::uint32_t CountGivenUp() const;

  // Whether shards lack an answer because they hold other snapshots.
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
