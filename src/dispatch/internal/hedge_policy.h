#ifndef DISPATCH_INTERNAL_HEDGE_POLICY_H_
#define DISPATCH_INTERNAL_HEDGE_POLICY_H_

#include <cstddef>

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

// Returns the longest wait for a sub-query that isn't a straggler: a hedge at a
// server nearby can still meet the target then. By that time most servers that
// crash under a request have done so. Negative if the target is too near.
// Thread safe.
Duration MaxHedgeDelay(const WorkTimes& work, Duration time_to_target);

// Returns whether a sub-query without an answer is behind the others of its
// call, of which `answered` of `total` have one. If most are still open, the
// servers aren't the reason: the queues are long, or the request itself slows
// or crashes the servers that run it. Thread safe.
bool IsStraggler(std::size_t answered, std::size_t total);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_HEDGE_POLICY_H_
