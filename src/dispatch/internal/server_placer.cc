#include "dispatch/internal/server_placer.h"

#include <algorithm>
#include <limits>

namespace limpetrudder::detail {
namespace {

// Costs of a choice as parts of the route's latency target. A failure costs a
// second attempt after the first one's whole time, a refusal a round trip.
constexpr double kFailureCost = 1.0;
constexpr double kRejectCost = 0.5;

// What a refusal costs if the budget for second attempts is spent: the part.
constexpr double kLastRejectCost = 3.0;
constexpr double kSpentTokens = 1.0;
constexpr double kQuietCost = 0.6;

// Bytes between regions cost about a sixth of what a query earns, between data
// centres of a region a tenth of that.
constexpr double kOtherRegionCost = 0.15;
constexpr double kSameRegionCost = 0.02;

// Servers that cost about the same share the work.
constexpr double kJitter = 0.1;

// A server is quiet after this many half work times, high ones, without an
// answer, but not sooner than the shortest time that a scheduler's delay
// explains.
constexpr int kQuietHalfTimes = 3;
constexpr Duration kShortestQuiet = Millis(15);

double DistanceCost(Distance distance) {
  switch (distance) {
    case Distance::kHere:
      return 0;
    case Distance::kSameRegion:
      return kSameRegionCost;
    case Distance::kOtherRegion:
      return kOtherRegionCost;
  }
  return kOtherRegionCost;
}

bool WasAsked(const PlacingRequest& request, const ServerLoad& server) {
  return std::find(request.asked->begin(), request.asked->end(), &server) !=
         request.asked->end();
}

}  // namespace

Duration ServerPlacer::ExpectedLatency(const ServerLoad& server,
                                       Duration work,
                                       Time now) const {
  return server.ExpectedLatency(
      work, topology_->RoundTrip(server.entry().data_centre), now);
}

bool ServerPlacer::IsQuiet(const ServerLoad& server,
                           Duration work,
                           Time now) const {
  const Duration usual = topology_->RoundTrip(server.entry().data_centre) +
                         std::max(work * kQuietHalfTimes / 2, kShortestQuiet);
  return server.SilentFor(now) > usual;
}

double ServerPlacer::CostMillis(const ServerLoad& server,
                                const RetryBudget& budget,
                                const PlacingRequest& request,
                                Duration expected,
                                Time now) const {
  const double target = ToMillis(request.route->latency_target);
  const double reject_cost =
      budget.tokens() > kSpentTokens ? kRejectCost : kLastRejectCost;
  double parts =
      server.FailureRatio(now) * kFailureCost +
      server.RejectRatio(now) * reject_cost +
      DistanceCost(topology_->DistanceTo(server.entry().data_centre));
  if (IsQuiet(server, request.work.high, now))
    parts += kQuietCost;
  const double jitter = 1 + kJitter * random_->Unit();
  return ToMillis(expected) * jitter + parts * target;
}

Duration ServerPlacer::WaitForRoom(const ServerGroup& group,
                                   const ServerLoad& server,
                                   Duration expected,
                                   Time now) {
  if (HasRoom(group, server, now))
    return Duration(0);
  // NOTE Those in flight end evenly spread over the time that one takes.
  const double ahead = 1.0 + static_cast<double>(group.waiting.size());
  return Scaled(expected, ahead / server.in_flight());
}

Placement ServerPlacer::Choose(const ServerGroup& group,
                               const PlacingRequest& request,
                               Time now) const {
  Placement choice;
  double least = std::numeric_limits<double>::max();
  for (const auto& server : group.servers) {
    if (!server->usable() || WasAsked(request, *server))
      continue;
    if (!server->TakesWork(now)) {
      if (choice.status == PlacementStatus::kNoServer)
        choice.status = PlacementStatus::kBackoff;
      continue;
    }
    const bool has_room = HasRoom(group, *server, now);
    if (!has_room && server->in_flight() == 0) {
      if (choice.status != PlacementStatus::kFound)
        choice.status = PlacementStatus::kFull;
      continue;
    }
    const Duration latency =
        ExpectedLatency(*server, request.work.median, now);
    const Duration expected =
        latency + WaitForRoom(group, *server, latency, now);
    const double cost =
        CostMillis(*server, group.budget, request, expected, now);
    if (cost >= least)
      continue;
    least = cost;
    choice = has_room ? Placement{PlacementStatus::kFound, server}
                      : Placement{PlacementStatus::kFull, nullptr};
  }
  return choice;
}

}  // namespace limpetrudder::detail
