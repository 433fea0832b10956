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
bool IsToBeHadElsewhere(const Leg& leg, const Route& route) {
  return leg.runs < route.max_attempts &&
         (leg.code == ResultCode::kServerShed ||
          leg.code == ResultCode::kRetryBudgetSpent ||
          leg.code == ResultCode::kConnectFailed);
}

// Whether a batch lacks no more than its query can do without, besides parts
// that may be had elsewhere.
bool IsCompletable(const ActiveCall& call) {
  if (!call.is_partial())
    return false;
  const auto lost = std::count_if(
      call.legs.begin(), call.legs.end(), [&call](const Leg& leg) {
        return leg.state == LegState::kFailed &&
               !IsToBeHadElsewhere(leg, *call.route);
      });
  return lost <= static_cast<std::ptrdiff_t>(call.call.most_missing);
}

}  // namespace

Duration TargetHere(const Route& route, bool new_connection) {
  const Duration way =
      new_connection ? kCallerRoundTrip + kConnectAllowance : kCallerRoundTrip;
  return route.latency_target - way;
}

std::size_t MostBodyBytes(const Route& route) {
  constexpr std::size_t kMostSingleBytes = 8 << 20;
  constexpr std::size_t kLeastPartBytes = 256 << 10;
  constexpr std::size_t kRecordsPerTopRecord = 64;
  if (!route.is_scatter())
    return kMostSingleBytes;
  return std::max(kLeastPartBytes,
                  kRecordsPerTopRecord * route.top_records * kRecordBytes);
}

std::uint32_t FewestParts(const Route& route) {
  const double wanted =
      route.coverage_floor * static_cast<double>(route.shards.size());
  return std::max(1U,
                  static_cast<std::uint32_t>(std::ceil(wanted - kRounding)));
}

std::uint32_t FewestLegs(const ActiveCall& call) {
  if (!call.route->is_scatter())
    return 1;
  if (!call.is_partial())
    return FewestParts(*call.route);
  const auto legs = static_cast<std::uint32_t>(call.legs.size());
  return legs - std::min(legs, call.call.most_missing);
}

std::uint32_t SpareParts(const ActiveCall& call) {
  const auto legs = static_cast<std::uint32_t>(call.legs.size());
  return legs - std::min(legs, FewestLegs(call) + call.failed);
}

std::uint32_t SpareOfBatch(const ActiveCall& call,
                           std::size_t legs,
                           bool crowded) {
  const std::uint32_t spare = SpareParts(call);
  if (!crowded)
    return spare;
  const std::size_t open = call.legs.size() - call.failed;
  return static_cast<std::uint32_t>(spare * legs /
                                    std::max<std::size_t>(1, open));
}

bool IsOutOfReach(const ActiveCall& call) {
  return call.legs.size() - call.failed < FewestLegs(call);
}

AnswerDecision DecideAnswer(const ActiveCall& call, Time now) {
  if (call.home_send != 0) {
    return now >= call.deadline ? AnswerDecision::kGiveUp
                                : AnswerDecision::kWait;
  }
  const auto legs = static_cast<std::uint32_t>(call.legs.size());
  if (!call.route->is_scatter()) {
    if (call.answered > 0)
      return AnswerDecision::kAnswer;
    return call.failed > 0 || now >= call.deadline ? AnswerDecision::kGiveUp
                                                   : AnswerDecision::kWait;
  }
  // NOTE A batch whose missing parts may still be had elsewhere brings all that
  // it can get.
  const bool out_of_reach = IsOutOfReach(call) && !IsCompletable(call);
  const std::uint32_t fewest =
      std::min(FewestLegs(call), legs - (out_of_reach ? 0 : call.failed));
  if (call.answered >= fewest) {
    const bool all_known = call.answered + call.failed == legs;
    return all_known || now >= call.answer_by ? AnswerDecision::kAnswer
                                              : AnswerDecision::kWait;
  }
  if (!out_of_reach && now < call.deadline)
    return AnswerDecision::kWait;
  return call.is_partial() ? AnswerDecision::kAnswer : AnswerDecision::kGiveUp;
}

Time NextAnswerDecision(const ActiveCall& call, Time now) {
  return now < call.answer_by && call.home_send == 0 ? call.answer_by
                                                     : call.deadline;
}

}  // namespace limpetrudder::detail
