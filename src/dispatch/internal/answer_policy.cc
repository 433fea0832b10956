#include "dispatch/internal/answer_policy.h"

#include <algorithm>
#include <cmath>

#include "dispatch/internal/record_merge.h"

namespace limpetrudder::detail {
namespace {

// Keeps rounding errors from raising the least number of parts by one.
constexpr double kRounding = 1e-9;

// Allowance for the round trip to the caller, and for opening the connection if
// the request came on a new one. The one-way network time to callers is 1 to
// 3 ms.
constexpr Duration kCallerRoundTrip = Millis(11);
constexpr Duration kConnectAllowance = Millis(7);

// Whether the instance that delegated a batch can still retry the part itself.
bool CanRequesterRetry(const SubQuery& sub_query, const Route& route) {
  return sub_query.runs < route.max_attempts &&
         (sub_query.code == ResultCode::kServerShed ||
          sub_query.code == ResultCode::kRetryBudgetSpent ||
          sub_query.code == ResultCode::kConnectFailed);
}

// Whether a batch lacks no more parts than its query can do without, not
// counting those that the delegating instance can still retry.
bool CanRequesterComplete(const ActiveCall& call) {
  if (!call.is_partial())
    return false;
  const auto unrecoverable =
      std::count_if(call.sub_queries.begin(), call.sub_queries.end(),
                    [&call](const SubQuery& sub_query) {
                      return sub_query.state == SubQueryState::kFailed &&
                             !CanRequesterRetry(sub_query, *call.route);
                    });
  return unrecoverable <= static_cast<std::ptrdiff_t>(call.call.max_missing);
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
  const auto total = static_cast<std::uint32_t>(call.sub_queries.size());
  return total - std::min(total, call.call.max_missing);
}

std::uint32_t OptionalSubQueryCount(const ActiveCall& call) {
  const auto total = static_cast<std::uint32_t>(call.sub_queries.size());
  return total - std::min(total, MinSubQueries(call) + call.failed);
}

std::uint32_t MaxMissingInBatch(const ActiveCall& call,
                                std::size_t batch_size,
                                bool overloaded) {
  const std::uint32_t optional = OptionalSubQueryCount(call);
  if (!overloaded)
    return optional;
  const std::size_t open = call.sub_queries.size() - call.failed;
  return static_cast<std::uint32_t>(optional * batch_size /
                                    std::max<std::size_t>(1, open));
}

bool HasTooManyFailures(const ActiveCall& call) {
  return call.sub_queries.size() - call.failed < MinSubQueries(call);
}

AnswerDecision DecideAnswer(const ActiveCall& call, Time now) {
  if (call.coordinator_attempt != 0 || call.candidate || call.awaits_token) {
    return now >= call.deadline ? AnswerDecision::kGiveUp
                                : AnswerDecision::kWait;
  }
  const auto total = static_cast<std::uint32_t>(call.sub_queries.size());
  if (!call.route->is_scatter()) {
    if (call.answered > 0)
      return AnswerDecision::kAnswer;
    return call.failed > 0 || now >= call.deadline ? AnswerDecision::kGiveUp
                                                   : AnswerDecision::kWait;
  }
  // NOTE A batch whose missing parts the delegating instance can still retry
  // collects all the parts that it can get.
  const bool too_many_failures =
      HasTooManyFailures(call) && !CanRequesterComplete(call);
  const std::uint32_t min_parts = std::min(
      MinSubQueries(call), total - (too_many_failures ? 0 : call.failed));
  if (call.answered >= min_parts) {
    const bool all_known = call.answered + call.failed == total;
    return all_known || now >= call.answer_by ? AnswerDecision::kAnswer
                                              : AnswerDecision::kWait;
  }
  if (!too_many_failures && now < call.deadline)
    return AnswerDecision::kWait;
  return call.is_partial() ? AnswerDecision::kAnswer : AnswerDecision::kGiveUp;
}

Time NextAnswerDecision(const ActiveCall& call, Time now) {
  if (call.candidate)
    return std::min(call.candidate_until, call.deadline);
  return now < call.answer_by && call.coordinator_attempt == 0 ? call.answer_by
                                                               : call.deadline;
}

}  // namespace limpetrudder::detail
