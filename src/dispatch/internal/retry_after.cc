#include "dispatch/internal/retry_after.h"

#include <algorithm>
#include <vector>

#include "dispatch/internal/answer_policy.h"

namespace limpetrudder::detail {
namespace {

// Mean delay after servers failed or were full: the time to work off a queue of
// a dozen requests of 20 ms.
constexpr Duration kRecoveryTime = Millis(300);

// Retries after a backoff are spread over this fraction of it.
constexpr double kSpread = 0.25;

// Returns when the first backoff among the group's usable servers ends.
Time FirstBackoffEnd(const ServerGroup& group) {
  Time first = kNever;
  for (const auto& server : group.servers) {
    if (server->usable())
      first = std::min(first, server->directives().backoff_until());
  }
  return first;
}

// Returns when enough sub-queries for an answer can be sent again; `now` if
// that doesn't depend on the backoff of servers.
Time EarliestRetry(const ActiveCall& call, Time now) {
  std::vector<Time> backoff_ends;
  for (const SubQuery& sub_query : call.sub_queries) {
    if (sub_query.state == SubQueryState::kFailed &&
        sub_query.code == ResultCode::kServerBackoff) {
      backoff_ends.push_back(FirstBackoffEnd(*sub_query.group));
    }
  }
  const std::size_t others = call.sub_queries.size() - backoff_ends.size();
  const std::size_t min_parts = MinSubQueries(call);
  if (backoff_ends.empty() || min_parts <= others)
    return now;
  std::sort(backoff_ends.begin(), backoff_ends.end());
  const Time retry_at =
      backoff_ends[std::min(min_parts - others, backoff_ends.size()) - 1];
  return retry_at == kNever ? now : std::max(now, retry_at);
}

}  // namespace

Duration RetryAfter(const ActiveCall& call, Random* random, Time now) {
  const Duration backoff = EarliestRetry(call, now) - now;
  if (backoff > Duration::zero())
    return Scaled(backoff, 1 + kSpread * random->Unit());
  return Scaled(kRecoveryTime, 0.5 + random->Unit());
}

}  // namespace limpetrudder::detail
