#ifndef QUERY_INTERNAL_QUERY_STATE_H_
#define QUERY_INTERNAL_QUERY_STATE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "query/internal/answer_book.h"
#include "query/internal/decision_trail.h"
#include "query/internal/shard_state.h"
#include "query/query_types.h"

namespace limpetrudder::detail {

enum class ShardStatus { kOpen, kAnswered, kGivenUp };

// How far a query has got with one shard.
struct ShardProgress {
  ShardStatus status = ShardStatus::kOpen;
  ResultCode reason = ResultCode::kOk;  // Why it was given up.
  std::uint32_t attempts = 0;
  std::vector<AttemptId> live;               // Sent and not settled.
  std::vector<const ServerState*> excluded;  // Failed this sub-query.
  std::vector<std::string> data_centres_asked;
  bool in_batch = false;     // Asked of another data centre.
  bool given_back = false;   // The last attempt was refused without being run.
  bool met_silence = false;  // Further attempts open their own connections.
  std::optional<WaitTicket> ticket;
};

struct QueryState {
  QueryState(QueryId query_id, SearchRequest search, ShardPlan shard_plan)
      : id(query_id),
        request(std::move(search)),
        plan(std::move(shard_plan)),
        shards(plan.shards.size()),
        book(plan.shards.size()) {}

  QueryId id;
  SearchRequest request;
  ShardPlan plan;
  std::vector<ShardProgress> shards;
  AnswerBook book;
  Snapshot pinned;
  Time started{};
  std::uint32_t open = 0;
  std::uint32_t repins = 0;
  std::uint32_t restarts = 0;
  std::uint32_t sub_queries = 0;
  std::uint32_t extra_sub_queries = 0;
  DecisionTrail trail;
};

// One request to one server.
struct AttemptState {
  QueryId query = 0;
  std::uint32_t shard = 0;
  std::shared_ptr<ServerState> server;
  std::shared_ptr<ShardState> shard_state;
  Time sent{};
  bool fresh_connection = false;
  bool spare = false;    // Sent to learn the server's latency.
  bool doubted = false;  // Nothing heard in time; another attempt was made.
  std::optional<Time> cancelled_at;
};

// Shards of one query that another data centre was asked for.
struct BatchState {
  QueryId query = 0;
  std::string data_centre;
  std::vector<std::uint32_t> shards;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_QUERY_STATE_H_
