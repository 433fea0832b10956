#ifndef DISPATCH_INTERNAL_RETRY_AFTER_H_
#define DISPATCH_INTERNAL_RETRY_AFTER_H_

#include "dispatch/internal/active_call.h"
#include "framework/random.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// Returns how long a caller whose call failed should wait before it asks again:
// until enough servers that asked for time can be asked, or until others had
// time to recover. Callers refused at the same moment get times that differ, so
// that they don't return together. Answers the load of services that shed load.
// Thread safe with a random source of its own.
Duration RetryAfter(const ActiveCall& call, Random* random, Time now);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_RETRY_AFTER_H_
