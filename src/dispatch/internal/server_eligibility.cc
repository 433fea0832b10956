#include "dispatch/internal/server_eligibility.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace limpetrudder::detail {
namespace {

// The soonest to end comes first.
constexpr std::array kByExpectedEnd = {ResultCode::kOk,
                                       ResultCode::kServerLimited,
                                       ResultCode::kServerBackoff,
                                       ResultCode::kServerCold,
                                       ResultCode::kDataCentreEvacuated,
                                       ResultCode::kNoServerInRegions,
                                       ResultCode::kNoServer};

}  // namespace

ResultCode CheckEligibility(const ServerLoad& server,
                            const RegionFilter& filter,
                            Time now) {
  if (server.gone() || server.down())
    return ResultCode::kNoServer;
  if (!filter.Allows(server.entry().data_centre))
    return ResultCode::kNoServerInRegions;
  if (server.evacuated())
    return ResultCode::kDataCentreEvacuated;
  if (server.IsBackingOff(now))
    return ResultCode::kServerBackoff;
  if (!server.warmup().Allows(now))
    return ResultCode::kServerCold;
  return server.rate_limiter().Allows(now) ? ResultCode::kOk
                                           : ResultCode::kServerLimited;
}

bool AreAllDown(const ServerGroup& group, const RegionFilter& filter) {
  bool any_down = false;
  for (const auto& server : group.servers) {
    if (server->gone() || !filter.Allows(server->entry().data_centre))
      continue;
    if (!server->down())
      return false;
    any_down = true;
  }
  return any_down;
}

Duration WaitForLimit(const ServerGroup& group,
                      const ServerLoad& server,
                      std::size_t queued,
                      Time now) {
  const RateLimiter& limiter = server.rate_limiter();
  if (limiter.rate() <= 0)
    return Duration::max();
  // NOTE The servers of a service that have named a limit named similar ones,
  // and share the queue.
  const auto limited = std::count_if(
      group.servers.begin(), group.servers.end(), [](const auto& other) {
        return other->rate_limiter().limit().has_value();
      });
  const double turns =
      std::floor(static_cast<double>(queued) /
                 static_cast<double>(std::max<std::ptrdiff_t>(1, limited)));
  return limiter.NextSend(now) - now +
         Scaled(Seconds(1), turns / limiter.rate());
}

ResultCode SoonerEnding(ResultCode a, ResultCode b) {
  return *std::find_if(
      kByExpectedEnd.begin(), kByExpectedEnd.end(),
      [a, b](ResultCode code) { return code == a || code == b; });
}

}  // namespace limpetrudder::detail
