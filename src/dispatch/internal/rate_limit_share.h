#ifndef DISPATCH_INTERNAL_RATE_LIMIT_SHARE_H_
#define DISPATCH_INTERNAL_RATE_LIMIT_SHARE_H_

#include <string>
#include <vector>

#include "discovery/discovery_types.h"
#include "dispatch/internal/topology.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// What one instance may send of a server's limited rate.
struct RateLimitShare {
  bool sender = false;
  double rate = 0;  // Of a sender, in requests per second.
  // Of the others: the interval at which one request may be sent, to find out
  // whether the limit is still in force.
  Duration trial_interval{0};
  // When in the interval, from 0 to 1; differs between instances.
  double trial_phase = 0;
};

// Divides the rate that a server accepts among the instances. They don't see
// each other's requests, and the sum over all of them counts, so only a few
// send: an instance whose share is a fraction of a request per second could
// neither use it nor keep to it. Most of the rate belongs to the senders:
//
// - If the server holds a shard, the largest instances of its data centre, to
//   which the others delegate its sub-queries; those of its region or of all if
//   its data centre has none.
// - Otherwise instances chosen by rendezvous hashing, different ones for each
//   server of the service.
//
// The rest is for trials of the others. In any four seconds all instances
// together stay below one and a half times what the server accepts plus five
// requests.
//
// Applies when a server in trouble asks for fewer requests. `limit` is in
// requests per second and must not be negative; `instances` are all live ones.
// Thread safe.
RateLimitShare ShareRateLimit(const ServerEntry& server,
                              bool is_shard,
                              double limit,
                              const std::string& own_name,
                              const std::vector<InstanceEntry>& instances,
                              const Topology& topology);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_RATE_LIMIT_SHARE_H_
