// The part of the engine that forwards work to other instances: whole calls to
// a coordinator, and batches of sub-queries to an instance near their servers.

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "dispatch/dispatch_engine.h"
#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/batch_plan.h"
#include "dispatch/internal/server_eligibility.h"
#include "dispatch/internal/sub_query_selection.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// Time that a hop to another instance takes besides the round trip: its
// processing and the scheduling delay of a busy processor.
constexpr Duration kHopMargin = Millis(12);

// A coordinator that hasn't been heard lately is pinged before it gets a call,
// since a call that is lost with its coordinator can't be made again: its parts
// may have run. The call waits this long for the answer, besides the round
// trip, and for this many coordinators one after the other.
constexpr Duration kCandidateTimeout = Millis(60);
constexpr std::uint32_t kMaxSilentCandidates = 2;

// After coordinators failed to return too many parts of a shard, this instance
// sends to the shard's servers directly, for about as long as servers stay slow
// or overloaded.
constexpr Duration kDirectTime = Millis(2500);

// A call for which this instance reaches too few servers is refused once this
// many other instances, in different data centres if possible, have refused it
// for the same reason.
constexpr std::size_t kMaxUnreachable = 3;

// Likewise, once this many have refused it for other reasons. Each of them
// costs a round trip, and during a rolling restart several refuse.
constexpr std::size_t kMaxRefusals = 6;
constexpr Duration kUnreachableRetryAfter = Millis(500);

// While calls find no instance to serve them, those that are down are pinged at
// this interval, a few at a time, since one that was frozen may be back.
constexpr Duration kSubstitutePingInterval = Millis(100);
constexpr Duration kSubstituteWantedTime = Seconds(1);
constexpr std::size_t kMaxSubstitutePings = 8;

// The callers of these come back spread over this fraction of the time.
constexpr double kRetrySpread = 0.5;

// Whether the coordinator refused the call before it reached any server, for
// instance since its routes are newer and lack the requested one.
bool IsRefused(const TargetReply& reply) {
  return reply.outcome == AttemptOutcome::kAnswered && !reply.from_server &&
         (reply.not_executed || (reply.status >= http_status::kBadRequest &&
                                 reply.status < http_status::kInternalError));
}

bool IsAccepted(const TargetReply& reply) {
  return reply.outcome == AttemptOutcome::kAnswered && !IsRefused(reply);
}

// Whether servers may have run what the coordinator didn't answer.
bool MayHaveRun(const TargetReply& reply) {
  return !IsRefused(reply) && reply.outcome != AttemptOutcome::kNotSent;
}

}  // namespace

bool DispatchEngine::LacksServers(const ActiveCall& call) {
  if (contact_.lost())
    return true;
  if (probed_servers_.empty())
    return false;
  const Route& route = *call.route;
  const auto all_down = [&](const std::string& service) {
    return detail::AreAllDown(*servers_.Group(service), call.region_filter);
  };
  if (call.is_partial()) {
    // NOTE A batch is answered with the parts that there are, unless this
    // instance is the likely reason for those that there aren't.
    const auto& shards = call.call.only_shards;
    const auto down = std::count_if(shards.begin(), shards.end(), all_down);
    return 2 * static_cast<std::size_t>(down) > shards.size();
  }
  if (route.is_scatter()) {
    const auto down =
        std::count_if(route.shards.begin(), route.shards.end(), all_down);
    return route.shards.size() - static_cast<std::size_t>(down) <
           detail::MinParts(route);
  }
  return std::all_of(
      route.backends.begin(), route.backends.end(),
      [&](const auto& backend) { return all_down(backend.service); });
}

std::shared_ptr<detail::ServerLoad> DispatchEngine::ChooseCoordinator(
    ActiveCall* call,
    Time now) {
  const Route& route = *call->route;
  if (call->call.forwarded)
    return nullptr;
  if (call->trial)
    return coordinators_.Find(call->trial_owner);
  if (!call->unreachable_from.empty() || LacksServers(*call)) {
    if (call->unreachable_from.size() >= kMaxUnreachable ||
        call->refused_by.size() >= kMaxRefusals) {
      return nullptr;
    }
    auto substitute = coordinators_.ChooseSubstitute(
        call->region_filter, call->unreachable_from, call->refused_by, now);
    if (!substitute)
      substitute_wanted_until_ = now + kSubstituteWantedTime;
    return substitute;
  }
  if (!route.is_scatter())
    return nullptr;
  return coordinators_.Choose(route, call->region_filter,
                              profiles_.SizesOf(route), &servers_, now);
}

bool DispatchEngine::TryForward(ActiveCall* call, Time now) {
  const auto coordinator = ChooseCoordinator(call, now);
  if (!coordinator)
    return false;
  if (detail::CoordinatorSet::WasHeardLately(*coordinator, now))
    ForwardWhole(call, coordinator, now);
  else if (call->silent_candidates < kMaxSilentCandidates)
    AwaitCandidate(call, coordinator, now);
  else
    return false;
  return true;
}

void DispatchEngine::ForwardWhole(
    ActiveCall* call,
    const std::shared_ptr<ServerLoad>& coordinator,
    Time now) {
  call->coordinator_attempt = next_attempt_++;
  call->was_forwarded = true;
  call->record.coordinator = coordinator->entry().id;
  call->record.parts_wanted =
      call->route->is_scatter()
          ? static_cast<std::uint32_t>(call->route->shards.size())
          : 1;
  ForwardTo(coordinator, call, std::nullopt, call->coordinator_attempt, {},
            now);
}

void DispatchEngine::AwaitCandidate(ActiveCall* call,
                                    std::shared_ptr<ServerLoad> candidate,
                                    Time now) {
  const bool is_pinged = std::any_of(
      calls_.begin(), calls_.end(),
      [&](const auto& entry) { return entry.second->candidate == candidate; });
  if (!is_pinged) {
    actions_.emplace_back(
        PingInstance{candidate->entry().id, candidate->entry().address});
  }
  call->candidate_until = now + kCandidateTimeout +
                          topology_.RoundTrip(candidate->entry().data_centre);
  call->candidate = std::move(candidate);
}

void DispatchEngine::OnCandidateAlive(const ServerLoad& candidate, Time now) {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_) {
    if (call->candidate.get() == &candidate)
      ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const CallId id : ids) {
    ActiveCall* call = calls_.at(id).get();
    const auto coordinator = std::exchange(call->candidate, nullptr);
    // NOTE Newer routes may have narrowed the regions meanwhile.
    if (!call->region_filter.Allows(candidate.entry().data_centre)) {
      StartLocally(call, now);
      continue;
    }
    ForwardWhole(call, coordinator, now);
    ScheduleWakeup(call, now);
  }
}

void DispatchEngine::OnCandidateSilent(ActiveCall* call, Time now) {
  const auto candidate = std::exchange(call->candidate, nullptr);
  ++call->silent_candidates;
  if (candidate->OnUnreachable(now))
    ReportServerState(*candidate, ResultCode::kPeerUnreachable, now);
  if (call->trial && !AssignTrial(call, now))
    return EndUntried(call, /*may_have_run=*/false, now);
  if (TryForward(call, now))
    return ScheduleWakeup(call, now);
  StartLocally(call, now);
}

void DispatchEngine::ForwardTo(const std::shared_ptr<ServerLoad>& coordinator,
                               ActiveCall* call,
                               std::optional<std::size_t> batch,
                               AttemptId id,
                               std::vector<std::string> shards,
                               Time now) {
  coordinator->OnSent(now);
  attempts_[id] = {.call = call->call.id,
                   .sub_query = batch.value_or(0),
                   .server = coordinator,
                   .table = call->table,
                   .route = call->route,
                   .sent = now,
                   .started_ms = coordinator->entry().started_ms};
  const Duration hop_time =
      topology_.RoundTrip(coordinator->entry().data_centre) + kHopMargin;
  const std::size_t batch_size = shards.size();
  const bool overloaded =
      call->route->is_scatter() && admission_.IsOverloaded(*call->route, now);
  actions_.emplace_back(ForwardCall{
      id, coordinator->entry().id, coordinator->entry().address,
      call->call.message, call->deadline - now - hop_time,
      call->answer_by - now - hop_time, call->table->version(),
      call->region_filter.regions(), std::move(shards),
      detail::MaxMissingInBatch(*call, batch_size, overloaded),
      call->route->top_records, !call->route->is_scatter(),
      !call->is_idempotent(), call->call.account, call->call.account_checked});
}

void DispatchEngine::CoordinateLocally(ActiveCall* call,
                                       bool repeated,
                                       Time now) {
  call->coordinator_attempt = 0;
  if (!call->trial_owner.empty())
    return EndUntried(call, /*may_have_run=*/repeated, now);
  if (call->trial && !ClaimTrial(call, now))
    return EndUntried(call, /*may_have_run=*/false, now);
  StartSubQueries(call, repeated, now);
  Advance(call, now);
}

void DispatchEngine::DelegateRemoteSubQueries(ActiveCall* call, Time now) {
  std::map<std::string, bool> available;  // Keyed by data centre.
  const auto is_available = [&](const std::string& data_centre) {
    const auto [row, is_new] = available.try_emplace(data_centre, false);
    if (is_new)
      row->second = coordinators_.HasAvailable(data_centre, now);
    return row->second;
  };
  std::vector<detail::RemoteSubQuery> remote;
  for (std::size_t i = 0; i < call->sub_queries.size(); ++i) {
    const SubQuery& sub_query = call->sub_queries[i];
    if (sub_query.state != detail::SubQueryState::kOpen ||
        now < sub_query.group->direct_until ||
        detail::IsLate(*sub_query.group, call->region_filter, now)) {
      continue;
    }
    auto data_centres = coordinators_.NearestRemoteDataCentres(
        *sub_query.group, call->region_filter);
    std::erase_if(data_centres, std::not_fn(is_available));
    remote.push_back({i, std::move(data_centres)});
  }
  for (auto& batch : detail::PlanBatches(std::move(remote), &random_))
    DelegateBatch(call, batch.data_centre, std::move(batch.sub_queries), now);
}

void DispatchEngine::DelegateBatch(ActiveCall* call,
                                   const std::string& data_centre,
                                   std::vector<std::size_t> sub_queries,
                                   Time now) {
  const auto coordinator = coordinators_.ChooseIn(
      data_centre, sub_queries.size(), profiles_.SizesOf(*call->route), now);
  if (!coordinator)
    return;
  std::vector<std::string> shards;
  for (const std::size_t sub_query : sub_queries) {
    call->sub_queries[sub_query].delegated = true;
    call->sub_queries[sub_query].last_server = coordinator->entry().id;
    shards.push_back(call->sub_queries[sub_query].group->service);
  }
  call->record.delegated += static_cast<std::uint32_t>(sub_queries.size());
  const AttemptId id = next_attempt_++;
  const std::size_t batch = call->batches.size();
  call->batches.push_back({id, std::move(sub_queries)});
  ForwardTo(coordinator, call, batch, id, std::move(shards), now);
}

void DispatchEngine::OnCoordinatorReply(const PendingAttempt& attempt,
                                        TargetReply* reply,
                                        Time now) {
  ServerLoad& coordinator = *attempt.server;
  if (reply->connect_time > Duration::zero())
    topology_.OnConnected(coordinator.entry().data_centre, reply->connect_time);
  if (reply->newer_routes > routes_version())
    actions_.emplace_back(
        FetchRoutes{coordinator.entry().id, reply->newer_routes});
  for (const auto& leaving : reply->leaving_servers)
    OnLeaving(leaving, now);
  if (reply->outcome == AttemptOutcome::kAnswered) {
    coordinator.OnAlive(now);
    if (reply->servers_unreachable) {
      coordinators_.OnServersUnreachable(coordinator.entry().id, now);
      if (coordinator.OnUnreachable(now))
        ReportServerState(coordinator, ResultCode::kServersUnreachable, now);
    }
  } else if (reply->outcome == AttemptOutcome::kNotSent) {
    if (coordinator.OnUnreachable(now))
      ReportServerState(coordinator, ResultCode::kPeerUnreachable, now);
  } else {
    coordinator.OnFailed(now);
  }
  const auto found = calls_.find(attempt.call);
  if (attempt.call == 0 || found == calls_.end())
    return;
  ActiveCall* call = found->second.get();
  if (call->coordinator_attempt == reply->attempt)
    OnForwardedCallReply(call, coordinator, reply, now);
  else
    OnBatchReply(call, attempt.sub_query, reply, now);
}

void DispatchEngine::OnSubstituteRefused(ActiveCall* call,
                                         const ServerLoad& instance,
                                         bool servers_unreachable,
                                         Time now) {
  call->coordinator_attempt = 0;
  if (!call->trial_owner.empty())
    return EndUntried(call, /*may_have_run=*/false, now);
  if (servers_unreachable) {
    call->unreachable_from.push_back(instance.entry().data_centre);
  } else {
    call->refused_by.push_back(instance.entry().id);
    coordinators_.OnRefused(instance.entry().id, now);
  }
  if (TryForward(call, now))
    return ScheduleWakeup(call, now);
  RefuseUnreachable(call, now);
}

void DispatchEngine::RefuseUnreachable(ActiveCall* call, Time now) {
  EndWithout(call, http_status::kUnavailable, ResultCode::kServersUnreachable,
             Scaled(kUnreachableRetryAfter, 1 + kRetrySpread * random_.Unit()),
             now);
}

void DispatchEngine::OnForwardedCallReply(ActiveCall* call,
                                          const ServerLoad& coordinator,
                                          TargetReply* reply,
                                          Time now) {
  if (reply->servers_unreachable ||
      (!MayHaveRun(*reply) && LacksServers(*call))) {
    return OnSubstituteRefused(call, coordinator, reply->servers_unreachable,
                               now);
  }
  const bool lacks_server = !call->route->is_scatter() &&
                            http_status::IsSuccess(reply->status) &&
                            !reply->from_server;
  if (!IsAccepted(*reply) || lacks_server)
    return CoordinateLocally(call, MayHaveRun(*reply), now);
  call->coordinator_attempt = 0;
  call->answered =
      reply->from_server
          ? 1
          : static_cast<std::uint32_t>(reply->part_signatures.size());
  if (reply->status != http_status::kOk && !reply->from_server)
    call->record.code = ResultCode::kNoAnswer;
  CallReply final_reply;
  final_reply.status = reply->status;
  final_reply.headers = std::move(reply->headers);
  final_reply.from_server = reply->from_server;
  final_reply.body = std::move(reply->body);
  final_reply.part_signatures = std::move(reply->part_signatures);
  final_reply.missing_parts = reply->missing_parts;
  final_reply.retry_after = reply->retry_after;
  Finish(call, std::move(final_reply), now);
}

void DispatchEngine::OnBatchReply(ActiveCall* call,
                                  std::size_t batch_index,
                                  TargetReply* reply,
                                  Time now) {
  detail::Batch& batch = call->batches[batch_index];
  batch.attempt = 0;
  if (!IsAccepted(*reply)) {
    const bool repeated = MayHaveRun(*reply);
    for (const std::size_t sub_query : batch.sub_queries)
      StartSubQuery(call, sub_query, repeated, now);
    return Advance(call, now);
  }
  admission_.OnPressure(*call->route, reply->queue_pressure,
                        batch.sub_queries.size(), now);
  const auto& signatures = reply->part_signatures;
  bool body_taken = false;
  std::size_t missing = 0;
  for (std::size_t i = 0; i < batch.sub_queries.size(); ++i) {
    const std::size_t index = batch.sub_queries[i];
    SubQuery& sub_query = call->sub_queries[index];
    if (reply->status != http_status::kOk || i >= signatures.size() ||
        signatures[i].empty()) {
      OnPartMissing(sub_query.group, now);
      // NOTE If the reply doesn't say how many servers ran the part, assume as
      // many as the route allows.
      sub_query.runs = missing < reply->missing_runs.size()
                           ? reply->missing_runs[missing]
                           : call->route->max_attempts;
      ++missing;
      FailSubQuery(call, index, ResultCode::kNoAnswer);
      continue;
    }
    sub_query.group->delegation_failures.Add(false, now);
    sub_query.state = detail::SubQueryState::kAnswered;
    sub_query.signature = signatures[i];
    ++call->answered;
    // NOTE The reply has one merged body for all parts of the batch, which is
    // stored with the first of them.
    if (!std::exchange(body_taken, true))
      sub_query.body = std::move(reply->body);
  }
  RetryMissingLocally(call, batch_index, now);
  if (!TryFinish(call, now))
    ScheduleWakeup(call, now);
}

void DispatchEngine::RetryMissingLocally(ActiveCall* call,
                                         std::size_t batch_index,
                                         Time now) {
  for (const std::size_t index : call->batches[batch_index].sub_queries) {
    SubQuery& sub_query = call->sub_queries[index];
    if (!detail::HasTooManyFailures(*call) || now >= call->deadline)
      return;
    if (sub_query.state != detail::SubQueryState::kFailed ||
        sub_query.runs >= call->route->max_attempts ||
        !sub_query.group->budget.TrySpend()) {
      continue;
    }
    sub_query.state = detail::SubQueryState::kOpen;
    sub_query.delegated = false;
    --call->failed;
    TrySend(call, index, now);
  }
}

void DispatchEngine::OnPartMissing(detail::ServerGroup* group, Time now) {
  group->delegation_failures.Add(true, now);
  if (!group->delegation_failures.IsHigh())
    return;
  if (group->direct_until <= now) {
    for (const auto& server : group->servers)
      ReportPacing(*server, server->pacer().OnReportedLate(now));
  }
  group->direct_until = now + kDirectTime;
}

void DispatchEngine::MarkCoordinatorDown(
    const std::shared_ptr<ServerLoad>& coordinator,
    Time now) {
  std::vector<AttemptId> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.server == coordinator)
      ids.push_back(id);
  }
  if (coordinator->OnUnreachable(now))
    ReportServerState(*coordinator, ResultCode::kPeerUnreachable, now);
  for (const AttemptId id : ids) {
    actions_.emplace_back(AbortAttempt{id});
    TargetReply lost;
    lost.attempt = id;
    lost.outcome = AttemptOutcome::kBroken;
    OnReply(std::move(lost), now);
  }
}

void DispatchEngine::MonitorCoordinators(Time now, Time* next) {
  const auto checks = coordinators_.CheckHealth(now, next);
  for (const auto& coordinator : checks.pings) {
    actions_.emplace_back(
        PingInstance{coordinator->entry().id, coordinator->entry().address});
  }
  for (const auto& data_centre : checks.silent)
    actions_.emplace_back(DataCentreChange{data_centre, true});
  for (const auto& data_centre : checks.heard_again)
    actions_.emplace_back(DataCentreChange{data_centre, false});
  for (const auto& coordinator : checks.unresponsive)
    MarkCoordinatorDown(coordinator, now);
}

void DispatchEngine::OnPing(const std::string& name, bool answered, Time now) {
  coordinators_.OnPing(name, answered, now);
  const auto coordinator = coordinators_.Find(name);
  if (coordinator && answered)
    OnCandidateAlive(*coordinator, now);
  if (!coordinator || !coordinator->OnProbe(answered, now))
    return;
  ReportServerState(*coordinator, ResultCode::kOk, now);
  down_coordinators_.erase(name);
}

void DispatchEngine::PingSubstitutes(Time now, Time* next) {
  if (now >= substitute_wanted_until_ || down_coordinators_.empty())
    return;
  if (now >= next_substitute_ping_) {
    next_substitute_ping_ = now + kSubstitutePingInterval;
    std::vector<std::string> names(down_coordinators_.begin(),
                                   down_coordinators_.end());
    const std::size_t first = random_.Below(names.size());
    const std::size_t count = std::min(names.size(), kMaxSubstitutePings);
    for (std::size_t i = 0; i < count; ++i) {
      const std::string& name = names[(first + i) % names.size()];
      if (const auto coordinator = coordinators_.Find(name))
        actions_.emplace_back(PingInstance{name, coordinator->entry().address});
    }
  }
  *next = std::min(*next, next_substitute_ping_);
}

void DispatchEngine::PingDownCoordinators(Time now) {
  for (auto name = down_coordinators_.begin();
       name != down_coordinators_.end();) {
    const auto coordinator = coordinators_.Find(*name);
    if (!coordinator || !coordinator->down()) {
      name = down_coordinators_.erase(name);
      continue;
    }
    if (coordinator->IsProbeDue(now)) {
      actions_.emplace_back(PingInstance{*name, coordinator->entry().address});
      coordinator->OnProbeSent(now);
    }
    ++name;
  }
}

}  // namespace limpetrudder
