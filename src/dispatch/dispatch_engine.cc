#include "dispatch/dispatch_engine.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/retry_after.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// The final answer is sent this long before the caller's timeout.
constexpr Duration kDeadlineMargin = Millis(25);

// Applies if neither the request nor its route sets a timeout.
constexpr Duration kDefaultTimeout = Seconds(30);

// Queued sub-queries are dispatched when a request to one of their servers
// ends and, in addition, at this interval, since a server may accept another
// connection by then.
constexpr Duration kQueuePollInterval = Millis(10);

// A smaller fleet size is applied only after this time.
constexpr Duration kFleetSizeMemory = Seconds(20);

// By then servers have detected the dead connections of a lost instance.
constexpr Duration kStartupTime = Seconds(10);

// By then another instance has told it which requests are quarantined.
constexpr Duration kRetryUninformed = Millis(100);

// Whether the route includes all of the shards.
bool IncludesAll(const Route& route, const std::vector<std::string>& shards) {
  const std::unordered_set<std::string_view> named(route.shards.begin(),
                                                   route.shards.end());
  return std::all_of(
      shards.begin(), shards.end(),
      [&](const std::string& shard) { return named.count(shard) > 0; });
}

// Returns the time that the instance has to answer the call.
Duration TimeoutOf(const CallRequest& call, const Route& route) {
  Duration timeout =
      route.timeout > Duration::zero() ? route.timeout : kDefaultTimeout;
  if (call.caller_timeout > Duration::zero())
    timeout = std::min(timeout, call.caller_timeout);
  return call.forwarded ? timeout
                        : std::max(timeout - kDeadlineMargin, timeout / 2);
}

}  // namespace

DispatchEngine::DispatchEngine(DispatchSettings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      topology_(settings_.own.data_centre, settings_.regions),
      servers_(settings_.retry_budget,
               settings_.warmup,
               settings_.own.name,
               &topology_),
      coordinators_(settings_.own, &topology_, &random_),
      placer_(&topology_, &random_),
      trial_owners_(settings_.own.name),
      exchange_(~settings_.seed) {}

void DispatchEngine::OnRoutes(std::shared_ptr<const RouteTable> routes,
                              Time now) {
  if (routes_ && routes->version() <= routes_->version())
    return;
  if (!routes_)
    starting_until_ = now + kStartupTime;
  routes_ = std::move(routes);
  NarrowActiveCalls();
  servers_.Apply(*routes_, now);
  coordinators_.ClearDistances();
  profiles_.RetainOnly(*routes_);
  split_.RetainOnly(*routes_);
  admission_.RetainOnly(*routes_);
  UpdateQuotas(now);
  Tick(now);
}

void DispatchEngine::NarrowActiveCalls() {
  for (const auto& [id, call] : calls_) {
    const RequestMessage& message = *call->call.message;
    const Route* route = routes_->Find(message.host, message.target);
    if (route != nullptr)
      call->region_filter.Narrow(route->allowed_regions);
    const ClientAccount* account = routes_->accounts().Find(call->call.account);
    if (account != nullptr)
      call->region_filter.Narrow(account->allowed_regions);
  }
}

void DispatchEngine::OnServers(const DirectoryChange& change, Time now) {
  servers_.Apply(change, now);
  ReportWarmupChanges();
  coordinators_.ClearDistances();
  for (const auto& entry : change.updated)
    DispatchQueued(servers_.Group(entry.service), now);
}

void DispatchEngine::OnEvacuations(const std::set<std::string>& data_centres,
                                   Time now) {
  servers_.SetEvacuated(data_centres, now);
  coordinators_.ClearDistances();
  ReportWarmupChanges();
  Tick(now);
}

void DispatchEngine::OnInstances(const std::vector<InstanceEntry>& instances,
                                 Time now) {
  coordinators_.Update(instances);
  // Shares that last are divided among the instances that stay.
  std::vector<InstanceEntry> staying = instances;
  std::erase_if(staying,
                [](const InstanceEntry& entry) { return entry.stopping; });
  servers_.SetInstances(staying, now);
  peers_.clear();
  is_listed_ = false;
  for (const auto& instance : instances) {
    if (instance.name != settings_.own.name)
      peers_.push_back(instance);
    else
      is_listed_ = !instance.stopping;
  }
  exchange_.SetPeerCount(peers_.size());
  trial_owners_.SetInstances(staying);
  if (!members_known_at_)
    members_known_at_ = now;
  SetQuotaMembers(now);
  // NOTE The instance's share of connections and budgets grows with a delay:
  // entries may be missing only because the store was unavailable.
  FleetComposition fleet{0, 0, 0};
  for (const auto& instance : staying) {
    ++fleet.instances;
    fleet.same_size += instance.cores == settings_.own.cores ? 1 : 0;
    fleet.larger += instance.cores > settings_.own.cores ? 1 : 0;
  }
  if (fleet.same_size == 0 || (fleet.instances < fleet_size_ &&
                               now - fleet_size_at_ < kFleetSizeMemory)) {
    return;
  }
  fleet_size_ = fleet.instances;
  fleet_size_at_ = now;
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
  action.record.account = call.account;
  action.record.routes_version = routes_version();
  action.record.status = status;
  action.record.code = code;
  action.record.forwarded = call.forwarded;
  actions_.emplace_back(std::move(action));
}

void DispatchEngine::OnCall(CallRequest call, Time now) {
  if (!routes_) {
    if (!without_routes_since_)
      without_routes_since_ = now;
    return Refuse(
        call, http_status::kUnavailable, ResultCode::kNotReady,
        detail::RetryAfterOutage(now - *without_routes_since_, &random_));
  }
  if (!exchange_.IsInformed(now))
    return Refuse(call, http_status::kUnavailable, ResultCode::kNotReady,
                  kRetryUninformed);
  // NOTE The forwarding instance coordinates the query itself rather than have
  // it answered under older routes.
  if (call.forwarded && call.routes_version > routes_->version())
    return Refuse(call, http_status::kUnavailable, ResultCode::kRevisionTooLow,
                  std::nullopt);
  const Route* route = routes_->Find(call.message->host, call.message->target);
  if (route == nullptr)
    return Refuse(call, http_status::kNotFound, ResultCode::kNoSuchPath,
                  std::nullopt);
  // NOTE Once an instance uses newer routes it no longer sends to shards of
  // older ones, also not for an instance that hasn't received the newer ones.
  if (NewerRoutesFor(call) > 0 && !IncludesAll(*route, call.only_shards))
    return Refuse(call, http_status::kUnavailable, ResultCode::kRoutesOutdated,
                  std::nullopt);
  const ClientAccount* account = nullptr;
  if (!IdentifyAccount(&call, *route, &account, now))
    return;
  if (call.forwarded && contact_.lost())
    return Refuse(call, http_status::kUnavailable,
                  ResultCode::kServersUnreachable, std::nullopt);
  if (RefuseQuarantined(call, now))
    return;
  const Duration timeout = TimeoutOf(call, *route);
  if (now + timeout > end_)
    return Refuse(call, http_status::kUnavailable, ResultCode::kStopping,
                  Duration(0));
  auto owned = std::make_unique<ActiveCall>();
  ActiveCall* active = owned.get();
  active->call = std::move(call);
  active->table = routes_;
  active->route = route;
  active->account = account;
  active->region_filter = detail::RegionFilter(
      &topology_,
      route->allowed_regions.Intersect(active->call.allowed_regions));
  if (account != nullptr)
    active->region_filter.Narrow(account->allowed_regions);
  active->received = now;
  active->deadline = now + timeout;
  const Duration target =
      active->call.forwarded
          ? active->call.target_left
          : detail::LocalLatencyTarget(*route, active->call.new_connection);
  active->answer_by =
      std::min(active->deadline, now + std::max(target, Duration(0)));
  active->record.request_id = active->call.message->request_id;
  active->record.route = route->name;
  active->record.account = active->call.account;
  active->record.routes_version = routes_->version();
  active->trial = !active->is_partial() &&
                  StandingOf(active->call, now) == RequestStanding::kSuspected;
  if (active->trial && !AssignTrial(active, now))
    return RefuseUntried(active->call);
  if (active->call.forwarded && LacksServers(*active))
    return Refuse(active->call, http_status::kUnavailable,
                  ResultCode::kServersUnreachable, std::nullopt);
  calls_[active->call.id] = std::move(owned);
  if (TakeToken(active, now))
    StartAdmitted(active, now);
}

void DispatchEngine::StartAdmitted(ActiveCall* call, Time now) {
  if (TryForward(call, now))
    return ScheduleWakeup(call, now);
  StartLocally(call, now);
}

void DispatchEngine::StartLocally(ActiveCall* call, Time now) {
  if (!call->trial_owner.empty())
    return EndUntried(call, /*may_have_run=*/false, now);
  if (contact_.lost())
    return RefuseUnreachable(call, now);
  if (call->route->is_scatter() && !call->is_partial() &&
      !admission_.Admit(*call->route, call->account, call->priority(), now)) {
    return RefuseOverloaded(call, now);
  }
  CoordinateLocally(call, /*repeated=*/false, now);
}

void DispatchEngine::OnReply(TargetReply reply, Time now) {
  const auto found = attempts_.find(reply.attempt);
  if (found == attempts_.end())
    return;
  const PendingAttempt attempt = std::move(found->second);
  attempts_.erase(found);
  attempt.server->OnRequestEnded();
  // What may be said of another request doesn't let this one run twice.
  if (reply.maybe_foreign &&
      attempt.route->kind == RequestKind::kNonIdempotent) {
    reply.not_executed = false;
    reply.misdirected = false;
  }
  if (attempt.group == nullptr)
    return OnCoordinatorReply(attempt, &reply, now);
  if (reply.outcome == AttemptOutcome::kAnswered ||
      reply.outcome == AttemptOutcome::kTooLarge) {
    OnServerResponse(now);
  }
  RecordQueueDelay(attempt, reply, now);
  const ReplyClass reply_class = ClassifyReply(attempt, reply);
  if (attempt.IsCurrent())
    RecordReply(attempt, reply, reply_class, now);
  const auto call = calls_.find(attempt.call);
  if (attempt.call != 0 && call != calls_.end())
    OnSubQueryReply(call->second.get(), attempt, &reply, reply_class, now);
  else if (!attempt.trial_digest.empty())
    OnOrphanedTrialReply(attempt, reply, now);
  DispatchQueued(attempt.group, now);
}

void DispatchEngine::OnCallerLeft(CallId call, Time now) {
  const auto found = calls_.find(call);
  if (found != calls_.end())
    ReleaseCall(found->second.get(), now, /*cancel_now=*/true);
}

void DispatchEngine::OnStopping(Time end) {
  end_ = end;
}

void DispatchEngine::GiveUpCalls(Time now) {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_)
    ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const CallId id : ids)
    GiveUp(calls_.at(id).get(), now);
}

Time DispatchEngine::Tick(Time now) {
  while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
    const CallId id = wakeups_.begin()->second;
    wakeups_.erase(wakeups_.begin());
    ActiveCall* call = calls_.at(id).get();
    call->wake_at = kNever;
    Advance(call, now);
  }
  if (std::exchange(pacing_started_, false))
    CancelOptionalSubQueries(now);
  AbortOrphanedAttempts(now);
  SendProbes(now);
  PingDownCoordinators(now);
  Time next = kNever;
  PingSubstitutes(now, &next);
  MonitorCoordinators(now, &next);
  CheckServerContact(now, &next);
  ProbeForCrashes(now, &next);
  EndBackoffs(now, &next);
  quarantine_.RemoveExpired(now);
  ExchangeNotices(exchange_.Tick(quarantine_.StateOfNotices(now), now, &next),
                  now);
  if (quotas_) {
    next = std::min(next, quotas_->Tick(now));
    HandleQuotaOutputs(now);
  }
  for (auto& change : admission_.TakeChanges(now))
    actions_.emplace_back(std::move(change));
  if (now >= starting_until_) {
    starting_until_ = kNever;
    servers_.SetStarting(false);
  }
  const auto groups = queued_groups_;
  for (detail::ServerGroup* group : groups) {
    DispatchQueued(group, now);
    if (group->queue.empty())
      queued_groups_.erase(group);
  }
  if (!wakeups_.empty())
    next = std::min(next, wakeups_.begin()->first);
  if (!orphaned_attempts_.empty())
    next = std::min(next, orphaned_attempts_.front().first);
  if (!queued_groups_.empty())
    next = std::min(next, now + kQueuePollInterval);
  for (const auto& name : down_coordinators_) {
    if (const auto coordinator = coordinators_.Find(name))
      next = std::min(next, coordinator->next_probe());
  }
  for (const auto& [id, started_ms] : probed_servers_) {
    if (const auto server = servers_.Find(id))
      next = std::min(next, server->next_probe());
  }
  return next;
}

std::vector<DispatchAction> DispatchEngine::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace limpetrudder
