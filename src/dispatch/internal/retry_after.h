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

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_RETRY_AFTER_H_
