#include "dispatch/dispatch_engine.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "dispatch/internal/answer_policy.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// The final answer leaves this long before the caller stops waiting.
constexpr Duration kDeadlineMargin = Millis(25);

// For a request that names no time and a route that names none.
constexpr Duration kDefaultTimeout = Seconds(30);

// Legs that wait for room look for it this often besides whenever a request
// leaves a server, since a server may take another connection by then.
constexpr Duration kWaitPoll = Millis(10);

// How long a larger number of instances counts.
constexpr Duration kCountMemory = Seconds(20);

// Servers have found the dead connections of a lost instance by then.
constexpr Duration kStartTime = Seconds(10);

// When a caller may come back: configuration and servers are read by then.
constexpr Duration kRetryAfterStart = Millis(500);

// Whether the route sends to each of the shards.
bool NamesAll(const Route& route, const std::vector<std::string>& shards) {
  const std::unordered_set<std::string_view> named(route.shards.begin(),
                                                   route.shards.end());
  return std::all_of(
      shards.begin(), shards.end(),
      [&](const std::string& shard) { return named.count(shard) > 0; });
}

}  // namespace

DispatchEngine::DispatchEngine(DispatchSettings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      topology_(settings_.own.data_centre, settings_.regions),
      servers_(settings_.retry_budget),
      homes_(settings_.own, &topology_, &random_),
      placer_(&topology_, &random_) {}

void DispatchEngine::OnRoutes(std::shared_ptr<const RouteTable> routes,
                              Time now) {
  if (routes_ && routes->version() <= routes_->version())
    return;
  if (!routes_)
    started_until_ = now + kStartTime;
  routes_ = std::move(routes);
  servers_.Apply(*routes_);
  homes_.ForgetDistances();
  profiles_.Keep(*routes_);
  split_.Keep(*routes_);
  admission_.Keep(*routes_);
  Turn(now);
}

void DispatchEngine::OnServers(const DirectoryChange& change, Time now) {
  servers_.Apply(change);
  homes_.ForgetDistances();
  for (const auto& entry : change.updated)
    ServeWaiting(servers_.Group(entry.service), now);
}

void DispatchEngine::OnInstances(const std::vector<InstanceEntry>& instances,
                                 Time now) {
  homes_.Update(instances);
  // NOTE Shares of connections and budgets grow late: entries may be missing
  // because the store was away.
  FleetComposition fleet{0, 0, 0};
  for (const auto& instance : instances) {
    ++fleet.instances;
    fleet.same_size += instance.cores == settings_.own.cores ? 1 : 0;
    fleet.larger += instance.cores > settings_.own.cores ? 1 : 0;
  }
  if (fleet.same_size == 0 || (fleet.instances < counted_instances_ &&
                               now - counted_at_ < kCountMemory)) {
    return;
  }
  counted_instances_ = fleet.instances;
  counted_at_ = now;
  servers_.SetFleet(fleet);
}

std::uint64_t DispatchEngine::NewerRoutesFor(const CallRequest& call) const {
  return call.forwarded && call.routes_version < routes_version()
             ? routes_version()
             : 0;
}

void DispatchEngine::Refuse(const CallRequest& call,
                            int status,
                            ResultCode code,
                            std::optional<Duration> retry_after) {
  CompleteCall action;
  action.call = call.id;
  action.reply.status = status;
  action.reply.retry_after = retry_after;
  action.reply.newer_routes = NewerRoutesFor(call);
  action.record.request_id = call.message->request_id;
  action.record.routes_version = routes_version();
  action.record.status = status;
  action.record.code = code;
  action.record.forwarded = call.forwarded;
  actions_.emplace_back(std::move(action));
}

void DispatchEngine::OnCall(CallRequest call, Time now) {
  if (!routes_)
    return Refuse(call, http_status::kUnavailable, ResultCode::kNotReady,
                  kRetryAfterStart);
  // NOTE The other instance gathers by itself rather than under older routes.
  if (call.forwarded && call.routes_version > routes_->version())
    return Refuse(call, http_status::kUnavailable, ResultCode::kRevisionTooLow,
                  std::nullopt);
  const Route* route = routes_->Find(call.message->host, call.message->target);
  if (route == nullptr)
    return Refuse(call, http_status::kNotFound, ResultCode::kNoSuchPath,
                  std::nullopt);
  // NOTE An instance that has used newer routes doesn't go back for the sake
  // of one that hasn't heard of them.
  if (NewerRoutesFor(call) > 0 && !NamesAll(*route, call.only_shards))
    return Refuse(call, http_status::kUnavailable, ResultCode::kRoutesOutdated,
                  std::nullopt);
  auto owned = std::make_unique<ActiveCall>();
  ActiveCall* active = owned.get();
  active->call = std::move(call);
  active->table = routes_;
  active->route = route;
  active->received = now;
  Duration timeout =
      route->timeout > Duration::zero() ? route->timeout : kDefaultTimeout;
  if (active->call.caller_timeout > Duration::zero())
    timeout = std::min(timeout, active->call.caller_timeout);
  if (!active->call.forwarded)
    timeout = std::max(timeout - kDeadlineMargin, timeout / 2);
  active->deadline = now + timeout;
  const Duration target =
      active->call.forwarded
          ? active->call.target_left
          : detail::TargetHere(*route, active->call.new_connection);
  active->answer_by =
      std::min(active->deadline, now + std::max(target, Duration(0)));
  active->record.request_id = active->call.message->request_id;
  active->record.route = route->name;
  active->record.routes_version = routes_->version();
  calls_[active->call.id] = std::move(owned);
  if (TryForward(active, now))
    return Schedule(active, now);
  if (route->is_scatter() && !active->is_partial() &&
      !admission_.Admit(*route, now)) {
    return RefuseForLoad(active, now);
  }
  GatherHere(active, /*repeated=*/false, now);
}

void DispatchEngine::OnReply(TargetReply reply, Time now) {
  const auto found = sends_.find(reply.send);
  if (found == sends_.end())
    return;
  const OpenSend send = std::move(found->second);
  sends_.erase(found);
  send.server->OnSettled();
  if (send.group == nullptr)
    return OnHomeReply(send, &reply, now);
  LearnDelay(send, reply, now);
  const Verdict verdict = Judge(send, reply);
  if (send.IsCurrent())
    Learn(send, reply, verdict, now);
  const auto call = calls_.find(send.call);
  if (send.call != 0 && call != calls_.end())
    OnVerdict(call->second.get(), send.leg, &reply, verdict, now);
  ServeWaiting(send.group, now);
}

void DispatchEngine::OnCallerLeft(CallId call, Time now) {
  const auto found = calls_.find(call);
  if (found != calls_.end())
    Forget(found->second.get(), now, /*cancel_now=*/true);
}

Time DispatchEngine::Turn(Time now) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    const CallId id = wakes_.begin()->second;
    wakes_.erase(wakes_.begin());
    ActiveCall* call = calls_.at(id).get();
    call->wake = kNever;
    Advance(call, now);
  }
  if (std::exchange(pace_started_, false))
    DropSpareLegs(now);
  CancelOrphans(now);
  SendProbes(now);
  PingDownHomes(now);
  Time next = kNever;
  WatchHomes(now, &next);
  EndBackoffs(now, &next);
  for (auto& change : admission_.TakeChanges(now))
    actions_.emplace_back(std::move(change));
  if (now >= started_until_) {
    started_until_ = kNever;
    servers_.SetStarting(false);
  }
  const auto groups = waiting_groups_;
  for (detail::ServerGroup* group : groups) {
    ServeWaiting(group, now);
    if (group->waiting.empty())
      waiting_groups_.erase(group);
  }
  if (!wakes_.empty())
    next = std::min(next, wakes_.begin()->first);
  if (!orphans_.empty())
    next = std::min(next, orphans_.front().first);
  if (!waiting_groups_.empty())
    next = std::min(next, now + kWaitPoll);
  for (const auto& name : down_homes_) {
    if (const auto home = homes_.Find(name))
      next = std::min(next, home->next_probe());
  }
  for (const auto& [id, started_ms] : down_) {
    if (const auto server = servers_.Find(id))
      next = std::min(next, server->next_probe());
  }
  return next;
}

std::vector<DispatchAction> DispatchEngine::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace limpetrudder
