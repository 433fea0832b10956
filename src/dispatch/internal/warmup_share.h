#ifndef DISPATCH_INTERNAL_WARMUP_SHARE_H_
#define DISPATCH_INTERNAL_WARMUP_SHARE_H_

#include <string>
#include <vector>

#include "discovery/discovery_types.h"
#include "dispatch/dispatch_types.h"
#include "dispatch/internal/topology.h"

namespace limpetrudder::detail {

// Decides how much of the rate that a cold server tolerates this instance may
// use. Instances don't see each other's requests, so only a few of them send to
// a cold server: those with the highest rendezvous scores among the largest
// instances of its data centre, of its region if there are too few, or of all.
// The others use its other servers.
//
// All instances together keep the bound, `overage` times the rate plus `slack`
// in any second, even if their views of the fleet differ so much that the
// senders of two views have none in common.
//
// Applies when many instances share servers that crash if they are flooded
// after a start. Returns requests per second; 0 if this instance is no sender.
// Thread safe.
double WarmupShare(const ServerEntry& server,
                   double server_rate,
                   const WarmupBounds& bounds,
                   const std::string& own_name,
                   const std::vector<InstanceEntry>& instances,
                   const Topology& topology);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_WARMUP_SHARE_H_
