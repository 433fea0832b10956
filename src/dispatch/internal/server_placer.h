#ifndef DISPATCH_INTERNAL_SERVER_PLACER_H_
#define DISPATCH_INTERNAL_SERVER_PLACER_H_

#include <limits>
#include <memory>
#include <vector>

#include "dispatch/internal/region_filter.h"
#include "dispatch/internal/route_profiles.h"
#include "dispatch/internal/server_table.h"
#include "dispatch/internal/topology.h"
#include "framework/random.h"

namespace limpetrudder::detail {

enum class PlacementStatus {
  kFound,
  kFull,        // It is best to wait until a server has room.
  kUnavailable  // No server is eligible, or all have been tried.
};

struct Placement {
  PlacementStatus status = PlacementStatus::kUnavailable;
  std::shared_ptr<ServerLoad> server;  // Set if `status` is kFound.
  // If `status` is kUnavailable: why the servers left to try aren't eligible;
  // kNoServer if none is left.
  ResultCode reason = ResultCode::kOk;
};

// The request to be placed. The pointers must not be null.
struct PlacementRequest {
  const Route* route = nullptr;
  WorkTimes work;
  const RegionFilter* region_filter = nullptr;
  // Servers that have had the request already; they are not chosen again.
  const std::vector<const ServerLoad*>* tried = nullptr;
  bool first_in_queue = false;  // It is queued, before all others.
};

// Selects the server of a service for one request: the nearest one, unless it
// is busy, slow, paused, failing or rejecting requests. All of these are
// weighed as time, relative to the route's latency target. If a near server has
// no room, the request waits for it when that is cheaper than a server that is
// farther away. Applies when some servers are much slower than others;
// otherwise it keeps traffic inside a region. Not thread safe.
class ServerPlacer {
 public:
  ServerPlacer(const Topology* topology, Random* random)
      : topology_(topology), random_(random) {}

  Placement Choose(const ServerGroup& group,
                   const PlacementRequest& request,
                   Time now) const;

  // Returns the expected latency of a request with run time `work` at `server`,
  // including the round trip.
  Duration ExpectedLatency(const ServerLoad& server,
                           Duration work,
                           Time now) const;

  // Whether requests are in flight at `server` and it has answered none of them
  // for much longer than usual, as when it pauses. `work` is the high run time
  // of a request.
  bool IsUnresponsive(const ServerLoad& server, Duration work, Time now) const;

 private:
  struct Candidate {
    double cost = std::numeric_limits<double>::max();
    std::shared_ptr<ServerLoad> server;
  };

  // Whether it is better to wait for `full` than to send to `ready`, because
  // `full` is nearer and cheaper.
  bool ShouldWaitForNearer(const Candidate& full, const Candidate& ready) const;
  // Returns the expected time until `server`, which has no room now, has room
  // for another request. `expected` is the expected latency of a request there.
  // Precondition: `server` has requests in flight.
  static Duration WaitForRoom(const ServerGroup& group,
                              const ServerLoad& server,
                              Duration expected,
                              Time now);
  // Returns the cost in milliseconds, besides the latency, of expected failures
  // and rejections, of unresponsiveness, and of distance.
  double PenaltyMillis(const ServerLoad& server,
                       const RetryBudget& budget,
                       const PlacementRequest& request,
                       Time now) const;

  const Topology* const topology_;
  Random* const random_;
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_PLACER_H_
