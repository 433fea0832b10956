#ifndef DISPATCH_INTERNAL_RETRY_AFTER_H_
#define DISPATCH_INTERNAL_RETRY_AFTER_H_

#include "dispatch/internal/active_call.h"
#include "framework/random.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// Returns how long a caller whose call failed should wait before it retries:
// until the backoff of enough servers has ended or, if none asked for a
// backoff, until servers have had time to recover. Callers refused at the same
// moment get different delays, so that they don't retry together. Applies when
// services shed load. Thread safe if `random` isn't shared.
Duration RetryAfter(const ActiveCall& call, Random* random, Time now);

// Returns how long a caller should wait that came `lasted` after the instance
// found that it can serve nobody, without knowing until when: about as long as
// that has lasted. Spread as above. Applies while an instance starts without a
// configuration, as during an outage of the store. Thread safe if `random`
// isn't shared.
Duration RetryAfterOutage(Duration lasted, Random* random);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_RETRY_AFTER_H_
