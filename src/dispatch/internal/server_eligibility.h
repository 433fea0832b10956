#ifndef DISPATCH_INTERNAL_SERVER_ELIGIBILITY_H_
#define DISPATCH_INTERNAL_SERVER_ELIGIBILITY_H_

#include "dispatch/internal/region_filter.h"
#include "dispatch/internal/server_load.h"
#include "dispatch/internal/server_table.h"
#include "framework/result_code.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// Returns why a call with `filter` may not be sent to `server` at `now`, or kOk
// if it may: kNoServer, kNoServerInRegions, kDataCentreEvacuated,
// kServerBackoff, kServerCold or kServerLimited. Applies to all attempts,
// hedges and retries included. Not thread safe.
ResultCode CheckEligibility(const ServerLoad& server,
                            const RegionFilter& filter,
                            Time now);

// Whether the service has servers that a call with `filter` may use, and this
// instance regards all of them as down. Not thread safe.
bool AreAllDown(const ServerGroup& group, const RegionFilter& filter);

// Returns how long a request would wait for this instance's share of the
// server's rate limit, behind `queued` others of the group. Not thread safe.
Duration WaitForLimit(const ServerGroup& group,
                      const ServerLoad& server,
                      std::size_t queued,
                      Time now);

// Returns the one of two reasons that is expected to end sooner. A call for
// which all servers of a service are ineligible is refused for that reason.
ResultCode SoonerEnding(ResultCode a, ResultCode b);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_ELIGIBILITY_H_
