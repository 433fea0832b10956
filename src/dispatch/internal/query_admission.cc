#include "dispatch/internal/query_admission.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace limpetrudder::detail {
namespace {

// Until the first answer, the work time of a part is taken as this fraction of
// the latency target. Then it is a running mean with this weight of new
// samples.
constexpr int kInitialWorkDivisor = 8;
constexpr int kWorkWeightDivisor = 16;

// A sample of the admission rate consists of delays from this fraction of the
// shards.
constexpr std::size_t kSampleDivisor = 2;

// The slack time for queues is at least this fraction of the latency target.
constexpr int kMinSlackDivisor = 4;

// Callers make their first retry within their patience, a third of a second or
// two. A longer delay would amount to telling them to give up.
constexpr Duration kMinRetryAfter = Millis(100);
constexpr Duration kMaxRetryAfter = Seconds(2);

// Limiting is reported when the admitted share falls below this, and its end
// when all queries are admitted again.
constexpr double kLimitedShare = 0.9;

Duration SlackTime(const Route& route, Duration work) {
  return std::max(route.latency_target - work * 2,
                  route.latency_target / kMinSlackDivisor);
}

// Returns the highest priority, as the lowest number, that a call on the route
// may have: an account's precedes the route's.
std::uint32_t HighestPriority(const Route& route,
                              const AccountDirectory& accounts) {
  if (!accounts.is_configured())
    return route.priority;
  std::optional<std::uint32_t> highest;
  if (route.is_public)
    highest = route.priority;
  for (const ClientAccount& account : accounts) {
    const std::uint32_t priority = account.priority.value_or(route.priority);
    highest = std::min(highest.value_or(priority), priority);
  }
  return highest.value_or(route.priority);
}

}  // namespace

const QueryAdmission::ShardSet* QueryAdmission::Find(const Route& route) const {
  const auto found = sets_.find(route.shards.front());
  return found == sets_.end() ? nullptr : &found->second;
}

QueryAdmission::ShardSet* QueryAdmission::Find(const Route& route) {
  return const_cast<ShardSet*>(std::as_const(*this).Find(route));
}

void QueryAdmission::RetainOnly(const RouteTable& table) {
  std::unordered_map<std::string, ShardSet> kept;
  for (const Route& route : table.routes()) {
    if (!route.is_scatter())
      continue;
    const auto [row, is_new] = kept.try_emplace(route.shards.front());
    ShardSet& set = row->second;
    if (is_new) {
      if (const ShardSet* before = Find(route))
        set = *before;
      else
        set.rate = AdmissionRate(route.shards.size() / kSampleDivisor);
      set.highest_priority = HighestPriority(route, table.accounts());
    }
    set.highest_priority = std::min(set.highest_priority,
                                    HighestPriority(route, table.accounts()));
  }
  sets_ = std::move(kept);
}

void QueryAdmission::OnPart(const Route& route,
                            const PartDelay& delay,
                            Time now) {
  ShardSet* set = Find(route);
  if (set == nullptr)
    return;
  if (set->work == Duration::zero())
    set->work = route.latency_target / kInitialWorkDivisor;
  // NOTE Times beyond twice the mean are due to a pause or a slow server rather
  // than to the work itself.
  if (delay.load.waiting == 0 && delay.server_time > Duration::zero()) {
    const Duration server_time = std::min(delay.server_time, set->work * 2);
    set->work += (server_time - set->work) / kWorkWeightDivisor;
  }
  const std::uint32_t slots = std::max(1U, delay.load.slots);
  const Duration queue = set->work * delay.load.waiting / slots;
  const Duration total_wait = delay.local_wait + queue;
  // NOTE A refusal by a server with queued requests counts as full pressure. A
  // server that refuses with an empty queue has another reason to do so.
  const bool full = delay.refused && delay.load.waiting > 0;
  const double pressure =
      full ? 1 : RatioOf(total_wait, SlackTime(route, set->work));
  set->rate.OnDelay(pressure, 1, now);
}

void QueryAdmission::OnPressure(const Route& route,
                                double pressure,
                                std::size_t parts,
                                Time now) {
  if (ShardSet* set = Find(route))
    set->rate.OnDelay(pressure, parts, now);
}

void QueryAdmission::OnServed(const Route& route, Time now) {
  if (ShardSet* set = Find(route))
    set->rate.OnServed(now);
}

bool QueryAdmission::Admit(const Route& route,
                           std::uint32_t priority,
                           Time now) {
  ShardSet* set = Find(route);
  return set == nullptr ||
         set->rate.Admit(priority <= set->highest_priority, now);
}

double QueryAdmission::PressureOf(const Route& route, Time now) const {
  const ShardSet* set = Find(route);
  return set == nullptr ? 0 : set->rate.pressure(now);
}

std::vector<AdmissionChange> QueryAdmission::TakeChanges(Time now) {
  std::vector<AdmissionChange> changes;
  for (auto& [shard, set] : sets_) {
    const double share = set.rate.share();
    const bool limited = set.limited ? share < 1 : share < kLimitedShare;
    if (limited == set.limited)
      continue;
    set.limited = limited;
    changes.push_back({shard, limited, share, set.rate.pressure(now)});
  }
  return changes;
}

Duration QueryAdmission::RetryAfter(const Route& route, Random* random) const {
  const ShardSet* set = Find(route);
  const Duration recovery =
      set == nullptr ? Duration(0) : set->rate.RecoveryTime();
  const Duration delay = std::clamp(recovery, kMinRetryAfter, kMaxRetryAfter);
  return Scaled(delay, 0.75 + 0.5 * random->Unit());
}

}  // namespace limpetrudder::detail
