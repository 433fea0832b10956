#include "dispatch/internal/leg_selection.h"

#include <algorithm>
#include <utility>

#include "dispatch/internal/answer_policy.h"

namespace limpetrudder::detail {
namespace {

// If more than this part of the shards seem late, the cause is rather this
// instance's processor or link.
constexpr std::size_t kLateDivisor = 2;

// A shard whose servers all answer late.
struct LateShard {
  std::size_t leg = 0;
  std::shared_ptr<ServerLoad> server;  // With room; null: none has.
  double tokens = 0;
};

// Why the shard can't be asked now; kOk: it can.
ResultCode WhyNotServed(const ServerGroup& group, Time now) {
  ResultCode reason = ResultCode::kNoServer;
  for (const auto& server : group.servers) {
    if (server->TakesWork(now))
      return ResultCode::kOk;
    if (server->usable())
      reason = ResultCode::kServerBackoff;
  }
  return reason;
}

LateShard FindRoom(const ServerGroup& group,
                   std::size_t leg,
                   Duration target,
                   bool needed,
                   Time now) {
  LateShard shard;
  shard.leg = leg;
  for (const auto& server : group.servers) {
    if (!server->TakesWork(now) || !HasRoom(group, *server, now))
      continue;
    const ServerPace& pace = server->pace();
    const double tokens = pace.tokens(now);
    if (!pace.Allows(server->in_flight(), target, needed, now) ||
        (shard.server != nullptr && tokens <= shard.tokens)) {
      continue;
    }
    shard.server = server;
    shard.tokens = tokens;
  }
  return shard;
}

// Of the late shards, `needed` must be asked for an answer; without need, all
// that have room.
std::size_t CountAsked(const std::vector<LateShard>& late, std::size_t needed) {
  const auto with_room = static_cast<std::size_t>(std::count_if(
      late.begin(), late.end(),
      [](const LateShard& shard) { return shard.server != nullptr; }));
  if (needed == 0)
    return with_room;
  return with_room < needed ? 0 : needed;
}

void HoldBack(const ServerGroup& group, Time now) {
  for (const auto& server : group.servers)
    server->pace().OnHeldBack(now);
}

}  // namespace

bool IsLate(const ServerGroup& group, Time now) {
  return std::all_of(group.servers.begin(), group.servers.end(),
                     [now](const auto& server) {
                       return !server->usable() || server->pace().active(now);
                     });
}

LegSelection SelectLegs(const std::vector<ServerGroup*>& groups,
                        std::uint32_t fewest,
                        Duration target,
                        Time now) {
  LegSelection selection;
  std::vector<std::size_t> late_legs;
  for (std::size_t leg = 0; leg < groups.size(); ++leg) {
    const ResultCode reason = WhyNotServed(*groups[leg], now);
    if (reason != ResultCode::kOk)
      selection.left_out.push_back({leg, reason});
    else if (IsLate(*groups[leg], now))
      late_legs.push_back(leg);
  }
  const std::size_t served = groups.size() - selection.left_out.size();
  if (served < fewest || late_legs.size() > groups.size() / kLateDivisor)
    return selection;
  const std::size_t timely = served - late_legs.size();
  const std::size_t needed = fewest > timely ? fewest - timely : 0;
  std::vector<LateShard> late;
  for (const std::size_t leg : late_legs)
    late.push_back(FindRoom(*groups[leg], leg, target, needed > 0, now));
  std::stable_sort(late.begin(), late.end(),
                   [](const LateShard& a, const LateShard& b) {
                     return std::make_pair(a.server != nullptr, a.tokens) >
                            std::make_pair(b.server != nullptr, b.tokens);
                   });
  const std::size_t asked = CountAsked(late, needed);
  for (std::size_t i = 0; i < late.size(); ++i) {
    if (i < asked) {
      late[i].server->pace().OnTaken(now);
      selection.reserved.push_back({late[i].leg, late[i].server});
      continue;
    }
    selection.left_out.push_back({late[i].leg, ResultCode::kOverloaded});
    HoldBack(*groups[late[i].leg], now);
  }
  return selection;
}

std::vector<std::size_t> SpareLegs(const ActiveCall& call, Time now) {
  std::vector<std::size_t> late;
  std::uint32_t others = call.answered;
  for (std::size_t i = 0; i < call.legs.size(); ++i) {
    const Leg& leg = call.legs[i];
    if (leg.state != LegState::kOpen)
      continue;
    if (!leg.delegated && IsLate(*leg.group, now))
      late.push_back(i);
    else
      ++others;
  }
  if (late.empty() || late.size() > call.legs.size() / kLateDivisor)
    return {};
  const std::uint32_t fewest = FewestLegs(call);
  const std::size_t kept =
      std::min<std::size_t>(late.size(), fewest - std::min(fewest, others));
  std::rotate(
      late.begin(),
      late.begin() + static_cast<std::ptrdiff_t>(call.call.id % late.size()),
      late.end());
  return {late.begin() + static_cast<std::ptrdiff_t>(kept), late.end()};
}

}  // namespace limpetrudder::detail
