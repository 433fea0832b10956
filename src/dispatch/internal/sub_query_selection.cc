#include "dispatch/internal/sub_query_selection.h"

#include <algorithm>
#include <utility>

#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/server_eligibility.h"

namespace limpetrudder::detail {
namespace {

// If more than this fraction of the shards seem late, the cause is more likely
// this instance's own processor or network link.
constexpr std::size_t kLateDivisor = 2;

// A shard whose servers all answer late.
struct LateShard {
  std::size_t sub_query = 0;
  std::shared_ptr<ServerLoad> server;  // Null: no server has room.
  double tokens = 0;
};

// Whether the wait for a server's rate limit leaves half of the time to the
// latency target.
bool IsFreeSoon(const ServerGroup& group,
                const ServerLoad& server,
                Duration target,
                Time now) {
  return WaitForLimit(group, server, group.queue.size(), now) <= target / 2;
}

// Returns why no server of the shard accepts requests, or kOk if one does, now
// or soon.
ResultCode UnavailableReason(const ServerGroup& group,
                             const RegionFilter& filter,
                             Duration target,
                             Time now) {
  ResultCode reason = ResultCode::kNoServer;
  for (const auto& server : group.servers) {
    ResultCode eligibility = CheckEligibility(*server, filter, now);
    if (eligibility == ResultCode::kServerLimited &&
        IsFreeSoon(group, *server, target, now)) {
      eligibility = ResultCode::kOk;
    }
    reason = SoonerEnding(reason, eligibility);
  }
  return reason;
}

// Returns the server whose pacer allows a request and has the most tokens.
LateShard FindServerWithRoom(const ServerGroup& group,
                             const RegionFilter& filter,
                             std::size_t sub_query,
                             Duration target,
                             bool needed,
                             Time now) {
  LateShard shard;
  shard.sub_query = sub_query;
  for (const auto& server : group.servers) {
    if (CheckEligibility(*server, filter, now) != ResultCode::kOk ||
        !HasRoom(group, *server, now)) {
      continue;
    }
    const ServerPacer& pacer = server->pacer();
    const double tokens = pacer.tokens(now);
    if (!pacer.Allows(server->in_flight(), target, needed, now) ||
        (shard.server != nullptr && tokens <= shard.tokens)) {
      continue;
    }
    shard.server = server;
    shard.tokens = tokens;
  }
  return shard;
}

// Returns how many of the late shards get a sub-query: `needed` if the answer
// depends on them, or none if fewer have room; else all that have room.
std::size_t CountSelected(const std::vector<LateShard>& late,
                          std::size_t needed) {
  const auto with_room = static_cast<std::size_t>(std::count_if(
      late.begin(), late.end(),
      [](const LateShard& shard) { return shard.server != nullptr; }));
  if (needed == 0)
    return with_room;
  return with_room < needed ? 0 : needed;
}

void RecordHeldBack(const ServerGroup& group, Time now) {
  for (const auto& server : group.servers)
    server->pacer().OnHeldBack(now);
}

}  // namespace

bool IsLate(const ServerGroup& group, const RegionFilter& filter, Time now) {
  return std::all_of(group.servers.begin(), group.servers.end(),
                     [&filter, now](const auto& server) {
                       return !server->usable() ||
                              server->pacer().active(now) ||
                              !filter.Allows(server->entry().data_centre);
                     });
}

SubQuerySelection SelectSubQueries(const std::vector<ServerGroup*>& groups,
                                   const RegionFilter& filter,
                                   std::uint32_t min_parts,
                                   Duration target,
                                   Time now) {
  SubQuerySelection selection;
  std::vector<std::size_t> late_sub_queries;
  for (std::size_t sub_query = 0; sub_query < groups.size(); ++sub_query) {
    const ResultCode reason =
        UnavailableReason(*groups[sub_query], filter, target, now);
    if (reason != ResultCode::kOk)
      selection.omitted.push_back({sub_query, reason});
    else if (IsLate(*groups[sub_query], filter, now))
      late_sub_queries.push_back(sub_query);
  }
  const std::size_t served = groups.size() - selection.omitted.size();
  if (served < min_parts ||
      late_sub_queries.size() > groups.size() / kLateDivisor)
    return selection;
  const std::size_t timely = served - late_sub_queries.size();
  const std::size_t needed = min_parts > timely ? min_parts - timely : 0;
  std::vector<LateShard> late;
  for (const std::size_t sub_query : late_sub_queries)
    late.push_back(FindServerWithRoom(*groups[sub_query], filter, sub_query,
                                      target, needed > 0, now));
  std::stable_sort(late.begin(), late.end(),
                   [](const LateShard& a, const LateShard& b) {
                     return std::make_pair(a.server != nullptr, a.tokens) >
                            std::make_pair(b.server != nullptr, b.tokens);
                   });
  const std::size_t selected = CountSelected(late, needed);
  for (std::size_t i = 0; i < late.size(); ++i) {
    if (i < selected) {
      late[i].server->pacer().OnRequestSent(now);
      selection.reserved.push_back({late[i].sub_query, late[i].server});
      continue;
    }
    selection.omitted.push_back({late[i].sub_query, ResultCode::kOverloaded});
    RecordHeldBack(*groups[late[i].sub_query], now);
  }
  return selection;
}

std::vector<std::size_t> OptionalSubQueries(const ActiveCall& call, Time now) {
  std::vector<std::size_t> late;
  std::uint32_t others = call.answered;
  for (std::size_t i = 0; i < call.sub_queries.size(); ++i) {
    const SubQuery& sub_query = call.sub_queries[i];
    if (sub_query.state != SubQueryState::kOpen)
      continue;
    if (!sub_query.delegated &&
        IsLate(*sub_query.group, call.region_filter, now))
      late.push_back(i);
    else
      ++others;
  }
  if (late.empty() || late.size() > call.sub_queries.size() / kLateDivisor)
    return {};
  const std::uint32_t min_parts = MinSubQueries(call);
  const std::size_t kept = std::min<std::size_t>(
      late.size(), min_parts - std::min(min_parts, others));
  std::rotate(
      late.begin(),
      late.begin() + static_cast<std::ptrdiff_t>(call.call.id % late.size()),
      late.end());
  return {late.begin() + static_cast<std::ptrdiff_t>(kept), late.end()};
}

}  // namespace limpetrudder::detail
