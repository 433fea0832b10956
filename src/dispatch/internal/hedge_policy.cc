#include "dispatch/internal/hedge_policy.h"

#include <algorithm>

namespace limpetrudder::detail {
namespace {

// Beyond this many high work times nobody expects the first answer soon, even
// if there is time left.
constexpr int kMaxHighTimes = 2;

// A request that comes when both servers are busy waits this part longer.
constexpr int kQueueReserveDivisor = 2;

}  // namespace

Duration HedgeDelay(const HedgeInputs& inputs) {
  const Duration usual = inputs.round_trip + inputs.work.high;
  const Duration longest = inputs.round_trip + inputs.work.high * kMaxHighTimes;
  const Duration second = inputs.other_round_trip + inputs.work.high +
                          inputs.work.median / kQueueReserveDivisor;
  const Duration latest = inputs.time_to_target - second;
  return std::clamp(latest, usual, longest);
}

}  // namespace limpetrudder::detail
