#ifndef DISPATCH_INTERNAL_HEDGE_POLICY_H_
#define DISPATCH_INTERNAL_HEDGE_POLICY_H_

#include "dispatch/internal/route_profiles.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// When a second server is asked for what a first one hasn't answered.
struct HedgeInputs {
  WorkTimes work;
  Duration round_trip{0};        // To the first server.
  Duration other_round_trip{0};  // To the second one.
  Duration time_to_target{0};    // From the first send on.
};

// Returns how long to wait for the first server: past nearly all usual answers,
// and as long as a second answer still meets the target. Answers the load of
// servers that pause for longer than the target. Thread safe.
Duration HedgeDelay(const HedgeInputs& inputs);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_HEDGE_POLICY_H_
