#include "query/internal/answer_composer.h"

#include <algorithm>
#include <utility>

namespace limpetrudder::detail {
namespace {

constexpr Duration kRetryAfterPartial = Seconds(1);

ResultCode MissingReason(const ShardProgress& progress,
                         ResultCode late_reason) {
  switch (progress.status) {
    case ShardStatus::kOpen:
      return late_reason;
    case ShardStatus::kAnswered:
      return ResultCode::kVersionNotHeld;  // It answered at another snapshot.
    case ShardStatus::kGivenUp:
      return progress.reason;
  }
  return late_reason;
}

Coverage ComposeCoverage(const QueryState& query,
                         Snapshot snapshot,
                         ResultCode late_reason) {
  Coverage coverage;
  coverage.shards_total = static_cast<std::uint32_t>(query.shards.size());
  coverage.shards_answered = query.answers.CountAt(snapshot);
  for (std::uint32_t shard = 0; shard < query.shards.size(); ++shard) {
    if (query.answers.Has(shard, snapshot))
      continue;
    coverage.missing.push_back(
        {query.plan.shards[shard]->name,
         MissingReason(query.shards[shard], late_reason)});
  }
  return coverage;
}

void AppendHeld(const ShardState& shard, std::vector<Snapshot>* held) {
  for (const auto& server : shard.servers) {
    for (const Snapshot& snapshot : server->report().held) {
      if (std::find(held->begin(), held->end(), snapshot) == held->end())
        held->push_back(snapshot);
    }
  }
}

// Composes the per-shard results for a request from another data centre.
std::vector<ShardAnswer> ComposeShardAnswers(const QueryState& query,
                                             ResultCode late_reason) {
  std::vector<ShardAnswer> answers;
  for (std::uint32_t shard = 0; shard < query.shards.size(); ++shard) {
    const ShardState& state = *query.plan.shards[shard];
    ShardAnswer answer;
    answer.code = MissingReason(query.shards[shard], late_reason);
    if (!query.answers.ForShard(shard).empty())
      answer = query.answers.ForShard(shard).back();
    answer.shard = state.name;
    AppendHeld(state, &answer.held);
    answers.push_back(std::move(answer));
  }
  return answers;
}

}  // namespace

SearchAnswer ComposeAnswer(const QueryState& query,
                           bool whole_needed,
                           ResultCode late_reason,
                           Time now) {
  SearchAnswer answer;
  answer.request_id = query.request.request_id;
  answer.took = now - query.started;
  answer.sub_queries = query.sub_queries;
  answer.extra_sub_queries = query.extra_sub_queries;
  answer.execution =
      query.sub_queries > 0 ? Execution::kRun : Execution::kNotRun;
  answer.snapshot = query.answers.BestSnapshot();
  answer.snapshot_age = query.answers.MaxAge(answer.snapshot);
  answer.coverage = ComposeCoverage(query, answer.snapshot, late_reason);
  if (!query.request.only_shards.empty())
    answer.shard_answers = ComposeShardAnswers(query, late_reason);
  if (!answer.coverage.complete()) {
    answer.retry_after = kRetryAfterPartial;
    answer.code = whole_needed ? ResultCode::kNotWhole
                  : answer.coverage.shards_answered == 0
                      ? ResultCode::kNoAnswer
                      : ResultCode::kPartialAnswer;
  }
  if (answer.coverage.complete() || !whole_needed)
    answer.hits = query.answers.MergeHits(answer.snapshot, query.request.limit);
  return answer;
}

}  // namespace limpetrudder::detail
