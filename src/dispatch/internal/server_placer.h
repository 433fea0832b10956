#ifndef DISPATCH_INTERNAL_SERVER_PLACER_H_
#define DISPATCH_INTERNAL_SERVER_PLACER_H_

#include <limits>
#include <memory>
#include <vector>

#include "dispatch/internal/route_profiles.h"
#include "dispatch/internal/server_table.h"
#include "dispatch/internal/topology.h"
#include "framework/random.h"

namespace limpetrudder::detail {

// Where a request may go next.
enum class PlacementStatus {
  kFound,
  kFull,      // It is best to wait until a server has room.
  kBackoff,   // All that are left asked to be left alone for a while.
  kNoServer,  // No server of the service takes work, or all were asked.
};

struct Placement {
  PlacementStatus status = PlacementStatus::kNoServer;
  std::shared_ptr<ServerLoad> server;
};

// What is being placed.
struct PlacementRequest {
  const Route* route = nullptr;
  WorkTimes work;
  const std::vector<const ServerLoad*>* tried = nullptr;
};

// Places one request on a server of a service: the nearest one unless it is
// busy, slow, paused, failing or refusing, weighed as time against the route's
// latency target. A near server without room is waited for where that takes
// less than the way to a far one. Answers the load of days on which some of the
// servers are much slower than others, and keeps bytes inside a region
// otherwise. Not thread safe.
class ServerPlacer {
 public:
  ServerPlacer(const Topology* topology, Random* random)
      : topology_(topology), random_(random) {}

  Placement Choose(const ServerGroup& group,
                   const PlacementRequest& request,
                   Time now) const;

  // The time until an answer of `server` that a request for `work` expects.
  Duration ExpectedLatency(const ServerLoad& server,
                           Duration work,
                           Time now) const;

  // Whether requests wait at `server` for much longer than usual and none is
  // answered, as when it pauses.
  bool IsUnresponsive(const ServerLoad& server, Duration work, Time now) const;

 private:
  struct Candidate {
    double cost = std::numeric_limits<double>::max();
    std::shared_ptr<ServerLoad> server;
  };

  // Whether waiting for `full` is better than a way to `ready`, which is
  // farther.
  bool ShouldWaitForNearer(const Candidate& full, const Candidate& ready) const;
  // How long until `server`, which has none now, has room for another request.
  static Duration WaitForRoom(const ServerGroup& group,
                              const ServerLoad& server,
                              Duration expected,
                              Time now);
  // What failures, refusals, silence and distance cost besides the latency.
  double PenaltyMillis(const ServerLoad& server,
                       const RetryBudget& budget,
                       const PlacementRequest& request,
                       Time now) const;

  const Topology* const topology_;
  Random* const random_;
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_PLACER_H_
