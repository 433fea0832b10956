#include "dispatch/internal/hedge_policy.h"

#include <algorithm>

namespace limpetrudder::detail {
namespace {

// After this many high work times the first answer isn't expected any more, so
// the hedge is sent even if there is time left.
constexpr int kMaxHighTimes = 2;

// Half of the median work time is reserved for the hedge to queue, since both
// servers may be busy.
constexpr int kQueueReserveDivisor = 2;

// This fraction of a call's sub-queries has an answer before the others are
// stragglers.
constexpr std::size_t kStragglerDivisor = 2;

}  // namespace

Duration HedgeDelay(const HedgeInputs& inputs) {
  const Duration min_delay = inputs.round_trip + inputs.work.high;
  const Duration max_delay =
      inputs.round_trip + inputs.work.high * kMaxHighTimes;
  const Duration hedge_time = inputs.other_round_trip + inputs.work.high +
                              inputs.work.median / kQueueReserveDivisor;
  const Duration latest = inputs.time_to_target - hedge_time;
  return std::clamp(latest, min_delay, max_delay);
}

Duration MaxHedgeDelay(const WorkTimes& work, Duration time_to_target) {
  return time_to_target - work.high - work.median;
}

bool IsStraggler(std::size_t answered, std::size_t total) {
  return answered * kStragglerDivisor >= total;
}

}  // namespace limpetrudder::detail
