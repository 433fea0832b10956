#ifndef DISPATCH_INTERNAL_HEDGE_POLICY_H_
#define DISPATCH_INTERNAL_HEDGE_POLICY_H_

#include "dispatch/internal/route_profiles.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// Times that decide when to send a hedge: a second attempt while the first one
// has no answer.
struct HedgeInputs {
  WorkTimes work;
  Duration round_trip{0};        // To the first server.
  Duration other_round_trip{0};  // To the second one.
  Duration time_to_target{0};    // From the first attempt on.
};

// Returns how long to wait for the first server: long enough for nearly all
// usual answers, and if possible so short that the hedge still meets the
// target. Applies when servers pause for longer than the target. Thread safe.
Duration HedgeDelay(const HedgeInputs& inputs);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_HEDGE_POLICY_H_
