#include "dispatch/internal/answer_policy.h"

#include <algorithm>
#include <cmath>

#include "dispatch/internal/record_merge.h"

namespace limpetrudder::detail {
namespace {

// Keeps the least count on the right side of rounding.
constexpr double kRounding = 1e-9;

// Time that an answer takes to its caller, there and back for its request, and
// for a connection that the request opened: the way to callers is 1 to 3 ms.
constexpr Duration kCallerRoundTrip = Millis(11);
constexpr Duration kConnectAllowance = Millis(7);

// Whether the instance that asked for a batch may get the part by itself.
bool CanRequesterRetry(const SubQuery& sub_query, const Route& route) {
  return sub_query.runs < route.max_attempts &&
         (sub_query.code == ResultCode::kServerShed ||
          sub_query.code == ResultCode::kRetryBudgetSpent ||
          sub_query.code == ResultCode::kConnectFailed);
}

// Whether a batch lacks no more than its query can do without, besides parts
// that may be had elsewhere.
bool IsCompletable(const ActiveCall& call) {
  if (!call.is_partial())
    return false;
  const auto lost =
      std::count_if(call.sub_queries.begin(), call.sub_queries.end(),
                    [&call](const SubQuery& sub_query) {
                      return sub_query.state == SubQueryState::kFailed &&
                             !CanRequesterRetry(sub_query, *call.route);
                    });
  return lost <= static_cast<std::ptrdiff_t>(call.call.max_missing);
}

}  // namespace

Duration LocalLatencyTarget(const Route& route, bool new_connection) {
  const Duration allowance =
      new_connection ? kCallerRoundTrip + kConnectAllowance : kCallerRoundTrip;
  return route.latency_target - allowance;
}

std::size_t MaxBodyBytes(const Route& route) {
  constexpr std::size_t kMaxSingleBytes = 8 << 20;
  constexpr std::size_t kMinPartBytes = 256 << 10;
  constexpr std::size_t kRecordsPerTopRecord = 64;
  if (!route.is_scatter())
    return kMaxSingleBytes;
  return std::max(kMinPartBytes,
                  kRecordsPerTopRecord * route.top_records * kRecordBytes);
}

std::uint32_t MinParts(const Route& route) {
  const double wanted =
      route.coverage_floor * static_cast<double>(route.shards.size());
  return std::max(1U,
                  static_cast<std::uint32_t>(std::ceil(wanted - kRounding)));
}

std::uint32_t MinSubQueries(const ActiveCall& call) {
  if (!call.route->is_scatter())
    return 1;
  if (!call.is_partial())
    return MinParts(*call.route);
  const auto sub_queries = static_cast<std::uint32_t>(call.sub_queries.size());
  return sub_queries - std::min(sub_queries, call.call.max_missing);
}

std::uint32_t OptionalSubQueryCount(const ActiveCall& call) {
  const auto sub_queries = static_cast<std::uint32_t>(call.sub_queries.size());
  return sub_queries - std::min(sub_queries, MinSubQueries(call) + call.failed);
}

std::uint32_t MaxMissingInBatch(const ActiveCall& call,
                                std::size_t sub_queries,
                                bool crowded) {
  const std::uint32_t spare = OptionalSubQueryCount(call);
  if (!crowded)
    return spare;
  const std::size_t open = call.sub_queries.size() - call.failed;
  return static_cast<std::uint32_t>(spare * sub_queries /
                                    std::max<std::size_t>(1, open));
}

bool HasTooManyFailures(const ActiveCall& call) {
  return call.sub_queries.size() - call.failed < MinSubQueries(call);
}

AnswerDecision DecideAnswer(const ActiveCall& call, Time now) {
  if (call.coordinator_attempt != 0) {
    return now >= call.deadline ? AnswerDecision::kGiveUp
                                : AnswerDecision::kWait;
  }
  const auto sub_queries = static_cast<std::uint32_t>(call.sub_queries.size());
  if (!call.route->is_scatter()) {
    if (call.answered > 0)
      return AnswerDecision::kAnswer;
    return call.failed > 0 || now >= call.deadline ? AnswerDecision::kGiveUp
                                                   : AnswerDecision::kWait;
  }
  // NOTE A batch whose missing parts may still be had elsewhere brings all that
  // it can get.
  const bool out_of_reach = HasTooManyFailures(call) && !IsCompletable(call);
  const std::uint32_t min_parts = std::min(
      MinSubQueries(call), sub_queries - (out_of_reach ? 0 : call.failed));
  if (call.answered >= min_parts) {
    const bool all_known = call.answered + call.failed == sub_queries;
    return all_known || now >= call.answer_by ? AnswerDecision::kAnswer
                                              : AnswerDecision::kWait;
  }
  if (!out_of_reach && now < call.deadline)
    return AnswerDecision::kWait;
  return call.is_partial() ? AnswerDecision::kAnswer : AnswerDecision::kGiveUp;
}

Time NextAnswerDecision(const ActiveCall& call, Time now) {
  return now < call.answer_by && call.coordinator_attempt == 0 ? call.answer_by
                                                               : call.deadline;
}

}  // namespace limpetrudder::detail
