#include "dispatch/internal/retry_after.h"

#include <algorithm>
#include <vector>

#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/server_eligibility.h"

namespace limpetrudder::detail {
namespace {

// Mean delay after servers failed or were full: the time to work off a queue of
// a dozen requests of 20 ms.
constexpr Duration kRecoveryTime = Millis(300);

// Mean delay if a service has no server that may get the request: routes and
// evacuations change at the pace of operators.
constexpr Duration kOperatorTime = Seconds(2);

// Retries after a backoff are spread over this fraction of it.
constexpr double kSpread = 0.25;

// Bounds of the time after an outage of unknown length. An instance that starts
// has read the configuration and the servers by the shortest.
constexpr Duration kMinOutage = Millis(500);
constexpr Duration kMaxOutage = Seconds(5);

// Returns when a request that comes after those in the queue keeps to the
// server's rate limit.
Time FreeOfLimit(const ServerGroup& group, const ServerLoad& server, Time now) {
  const RateLimiter& limiter = server.rate_limiter();
  if (!limiter.limit())
    return now;
  const Duration wait = WaitForLimit(group, server, group.queue.size(), now);
  return wait == Duration::max() ? limiter.NextSend(now) : now + wait;
}

// Returns when the first of the group's usable servers may get a request, as
// far as backoffs, warm-ups and rate limits decide it.
Time FirstFree(const ServerGroup& group, const RegionFilter& filter, Time now) {
  Time first = kNever;
  for (const auto& server : group.servers) {
    if (server->usable() && filter.Allows(server->entry().data_centre)) {
      first = std::min(first, std::max({server->directives().backoff_until(),
                                        server->warmup().NextSend(now),
                                        FreeOfLimit(group, *server, now)}));
    }
  }
  return first;
}

// Returns when enough sub-queries for an answer can be sent again; `now` if
// that doesn't depend on the backoff, warm-up or rate limit of servers.
Time EarliestRetry(const ActiveCall& call, Time now) {
  std::vector<Time> retry_times;
  for (const SubQuery& sub_query : call.sub_queries) {
    if (sub_query.state == SubQueryState::kFailed &&
        (sub_query.code == ResultCode::kServerBackoff ||
         sub_query.code == ResultCode::kServerCold ||
         sub_query.code == ResultCode::kServerLimited)) {
      retry_times.push_back(
          FirstFree(*sub_query.group, call.region_filter, now));
    }
  }
  const std::size_t others = call.sub_queries.size() - retry_times.size();
  const std::size_t min_parts = MinSubQueries(call);
  if (retry_times.empty() || min_parts <= others)
    return now;
  std::sort(retry_times.begin(), retry_times.end());
  const Time retry_at =
      retry_times[std::min(min_parts - others, retry_times.size()) - 1];
  return retry_at == kNever ? now : std::max(now, retry_at);
}

}  // namespace

Duration RetryAfter(const ActiveCall& call, Random* random, Time now) {
  const Duration backoff = EarliestRetry(call, now) - now;
  if (backoff > Duration::zero())
    return Scaled(backoff, 1 + kSpread * random->Unit());
  const bool barred =
      std::any_of(call.sub_queries.begin(), call.sub_queries.end(),
                  [](const SubQuery& sub_query) {
                    return sub_query.code == ResultCode::kNoServerInRegions ||
                           sub_query.code == ResultCode::kDataCentreEvacuated;
                  });
  return Scaled(barred ? kOperatorTime : kRecoveryTime, 0.5 + random->Unit());
}

Duration RetryAfterOutage(Duration lasted, Random* random) {
  return Scaled(std::clamp(lasted, kMinOutage, kMaxOutage),
                1 + kSpread * random->Unit());
}

}  // namespace limpetrudder::detail
