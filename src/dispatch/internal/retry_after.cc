#include "dispatch/internal/retry_after.h"

#include <algorithm>
#include <vector>

#include "dispatch/internal/answer_policy.h"

namespace limpetrudder::detail {
namespace {

// After servers failed or were full: a queue of a dozen requests of 20 ms.
constexpr Duration kRecoveryTime = Millis(300);

// Returns are spread over this part of the time told.
constexpr double kSpread = 0.25;

// When the first server of the group that takes work can be asked.
Time FirstBack(const ServerGroup& group) {
  Time first = kNever;
  for (const auto& server : group.servers) {
    if (server->usable())
      first = std::min(first, server->directives().backoff_until());
  }
  return first;
}

// When so many legs can be asked again that they make an answer; `now` if that
// doesn't depend on servers that asked for time.
Time EnoughBack(const ActiveCall& call, Time now) {
  std::vector<Time> back;
  for (const SubQuery& sub_query : call.sub_queries) {
    if (sub_query.state == SubQueryState::kFailed &&
        sub_query.code == ResultCode::kServerBackoff) {
      back.push_back(FirstBack(*sub_query.group));
    }
  }
  const std::size_t others = call.sub_queries.size() - back.size();
  const std::size_t min_parts = MinSubQueries(call);
  if (back.empty() || min_parts <= others)
    return now;
  std::sort(back.begin(), back.end());
  const Time enough = back[std::min(min_parts - others, back.size()) - 1];
  return enough == kNever ? now : std::max(now, enough);
}

}  // namespace

Duration RetryAfter(const ActiveCall& call, Random* random, Time now) {
  const Duration backoff = EnoughBack(call, now) - now;
  if (backoff > Duration::zero())
    return Scaled(backoff, 1 + kSpread * random->Unit());
  return Scaled(kRecoveryTime, 0.5 + random->Unit());
}

}  // namespace limpetrudder::detail
