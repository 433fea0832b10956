#include "dispatch/internal/server_placer.h"

#include <algorithm>

#include "dispatch/internal/server_eligibility.h"

namespace limpetrudder::detail {
namespace {

// Costs of a placement, as fractions of the route's latency target. A failure
// costs a retry after the whole time of the first attempt, a rejection a round
// trip.
constexpr double kFailureCost = 1.0;
constexpr double kRejectCost = 0.5;

// Cost of a rejection once the retry budget is spent, that is, at kSpentTokens
// or less: the part is lost.
constexpr double kLastRejectCost = 3.0;
constexpr double kSpentTokens = 1.0;
constexpr double kUnresponsiveCost = 0.6;

// Traffic between regions costs about a sixth of the value of a query, and
// traffic between data centres of a region about a tenth of that.
constexpr double kOtherRegionCost = 0.15;
constexpr double kSameRegionCost = 0.02;

// Random spread of latencies, so that servers of about the same cost share the
// work.
constexpr double kJitter = 0.1;

// A server is unresponsive if it has answered nothing for this many halves of
// the high work time. kMinUnresponsiveTime is the lower bound, since a shorter
// silence may be a scheduling delay.
constexpr int kUnresponsiveHalfWorkTimes = 3;
constexpr Duration kMinUnresponsiveTime = Millis(15);

double DistanceCost(Distance distance) {
  switch (distance) {
    case Distance::kSameDataCentre:
      return 0;
    case Distance::kSameRegion:
      return kSameRegionCost;
    case Distance::kOtherRegion:
      return kOtherRegionCost;
  }
  return kOtherRegionCost;
}

bool WasTried(const PlacementRequest& request, const ServerLoad& server) {
  return std::find(request.tried->begin(), request.tried->end(), &server) !=
         request.tried->end();
}

}  // namespace

Duration ServerPlacer::ExpectedLatency(const ServerLoad& server,
                                       Duration work,
                                       Time now) const {
  return server.ExpectedLatency(
      work, topology_->RoundTrip(server.entry().data_centre), now);
}

bool ServerPlacer::IsUnresponsive(const ServerLoad& server,
                                  Duration work,
                                  Time now) const {
  const Duration max_silence =
      topology_->RoundTrip(server.entry().data_centre) +
      std::max(work * kUnresponsiveHalfWorkTimes / 2, kMinUnresponsiveTime);
  return server.SilentFor(now) > max_silence;
}

double ServerPlacer::PenaltyMillis(const ServerLoad& server,
                                   const RetryBudget& budget,
                                   const PlacementRequest& request,
                                   Time now) const {
  const double target = ToMillis(request.route->latency_target);
  const double reject_cost =
      budget.tokens() > kSpentTokens ? kRejectCost : kLastRejectCost;
  double penalty =
      server.FailureRatio(now) * kFailureCost +
      server.RejectRatio(now) * reject_cost +
      DistanceCost(topology_->DistanceTo(server.entry().data_centre));
  if (IsUnresponsive(server, request.work.high, now))
    penalty += kUnresponsiveCost;
  return penalty * target;
}

Duration ServerPlacer::WaitForRoom(const ServerGroup& group,
                                   const ServerLoad& server,
                                   Duration expected,
                                   Time now) {
  // NOTE The requests in flight are assumed to end evenly spread over the
  // latency of one request. A server that has been silent for longer than that
  // is assumed to stay silent for as long again.
  const double requests_to_start =
      1.0 + static_cast<double>(group.queue.size());
  const Duration excess_silence = server.SilentFor(now) - expected;
  return Scaled(expected, requests_to_start / server.in_flight()) +
         std::max(excess_silence, Duration(0));
}

Placement ServerPlacer::Choose(const ServerGroup& group,
                               const PlacementRequest& request,
                               Time now) const {
  ResultCode reason = ResultCode::kNoServer;
  Candidate ready;  // The cheapest server that has room.
  Candidate full;   // The cheapest server that has none yet.
  for (const auto& server : group.servers) {
    if (WasTried(request, *server))
      continue;
    const ResultCode eligibility =
        CheckEligibility(*server, *request.region_filter, now);
    reason = SoonerEnding(reason, eligibility);
    const bool limited = eligibility == ResultCode::kServerLimited;
    if (eligibility != ResultCode::kOk && !limited)
      continue;
    const bool has_room = !limited && HasRoom(group, *server, now);
    // NOTE Without a request in flight there is no estimate of when the server
    // will accept a connection.
    if (!has_room && !limited && server->in_flight() == 0)
      continue;
    const Duration latency = ExpectedLatency(*server, request.work.median, now);
    const std::size_t queued_before =
        request.first_in_queue ? 0 : group.queue.size();
    Duration wait{0};
    if (limited)
      wait = WaitForLimit(group, *server, queued_before, now);
    else if (!has_room)
      wait = WaitForRoom(group, *server, latency, now);
    if (limited && wait > request.route->latency_target - latency)
      continue;
    const double millis =
        has_room ? ToMillis(latency) * (1 + kJitter * random_->Unit())
                 : ToMillis(latency + wait);
    Candidate& best = has_room ? ready : full;
    const double cost =
        millis + PenaltyMillis(*server, group.budget, request, now);
    if (cost < best.cost)
      best = {cost, server};
  }
  if (reason != ResultCode::kOk && full.server == nullptr)
    return {PlacementStatus::kUnavailable, nullptr, reason};
  if (ready.server == nullptr || ShouldWaitForNearer(full, ready))
    return {PlacementStatus::kFull, nullptr, ResultCode::kOk};
  return {PlacementStatus::kFound, ready.server, ResultCode::kOk};
}

bool ServerPlacer::ShouldWaitForNearer(const Candidate& full,
                                       const Candidate& ready) const {
  return full.server != nullptr && full.cost < ready.cost &&
         topology_->DistanceTo(full.server->entry().data_centre) <
             topology_->DistanceTo(ready.server->entry().data_centre);
}

}  // namespace limpetrudder::detail
