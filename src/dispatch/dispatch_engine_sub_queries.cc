// The part of the engine that sends the sub-queries of a call, retries and
// hedges them, and handles their replies.

#include <algorithm>
#include <utility>

#include "dispatch/dispatch_engine.h"
#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/hedge_policy.h"
#include "dispatch/internal/server_eligibility.h"
#include "dispatch/internal/sub_query_selection.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// The most servers that may have run a sub-query for a coordinator that was
// lost: the first one and a hedge.
constexpr std::uint32_t kRunsOfLostCoordinator = 2;

// Attempts for one sub-query, including rejected ones.
constexpr std::uint32_t kMaxAttempts = 4;

// A hedge that can't be sent yet, for instance since the chosen server is
// unresponsive as well, is postponed by this.
constexpr Duration kHedgeRetry = Millis(15);

// Whether the connection ended before the answer did, as when a server crashes.
// A server that crashes before it answered on a new connection looks like one
// that rejects the connection.
bool IsBrokenOff(const TargetReply& reply) {
  return reply.outcome == AttemptOutcome::kBroken ||
         reply.outcome == AttemptOutcome::kConnectionRejected;
}

ResultCode CodeOf(const TargetReply& reply) {
  if (reply.outcome == AttemptOutcome::kNotSent)
    return ResultCode::kConnectFailed;
  if (reply.outcome == AttemptOutcome::kTooLarge)
    return ResultCode::kAnswerTooLarge;
  if (reply.outcome != AttemptOutcome::kAnswered)
    return ResultCode::kTransportFailed;
  if (reply.misdirected)
    return ResultCode::kServerLeaving;
  if (reply.not_executed)
    return ResultCode::kServerShed;
  return reply.status >= http_status::kInternalError
             ? ResultCode::kServerFailed
             : ResultCode::kAnswerMalformed;
}

}  // namespace

void DispatchEngine::StartSubQueries(ActiveCall* call,
                                     bool repeated,
                                     Time now) {
  const Route& route = *call->route;
  if (route.is_scatter()) {
    const auto& shards =
        call->is_partial() ? call->call.only_shards : route.shards;
    call->sub_queries.resize(shards.size());
    for (std::size_t i = 0; i < call->sub_queries.size(); ++i)
      call->sub_queries[i].group = servers_.Group(shards[i]);
  } else {
    call->sub_queries.resize(1);
    const std::size_t backend = split_.Next(route);
    call->sub_queries[0].group =
        servers_.Group(route.backends[backend].service);
  }
  call->record.parts_wanted =
      static_cast<std::uint32_t>(call->sub_queries.size());
  if (!repeated && route.is_scatter())
    OmitSubQueries(call, now);
  if (detail::HasTooManyFailures(*call))
    return;
  if (call->trial && route.is_scatter())
    return StartTrial(call, now);
  if (!repeated && route.is_scatter() && !call->is_partial())
    DelegateRemoteSubQueries(call, now);
  for (std::size_t i = 0; i < call->sub_queries.size(); ++i) {
    const SubQuery& sub_query = call->sub_queries[i];
    if (sub_query.state == detail::SubQueryState::kOpen && !sub_query.delegated)
      StartSubQuery(call, i, repeated, now);
  }
}

void DispatchEngine::OmitSubQueries(ActiveCall* call, Time now) {
  std::vector<detail::ServerGroup*> groups;
  for (const SubQuery& sub_query : call->sub_queries)
    groups.push_back(sub_query.group);
  const Duration target = call->answer_by - now;
  const detail::SubQuerySelection selection = detail::SelectSubQueries(
      groups, call->region_filter, detail::MinSubQueries(*call), target, now);
  for (const auto& [sub_query, reason] : selection.omitted)
    FailSubQuery(call, sub_query, reason);
  for (const auto& [sub_query, server] : selection.reserved)
    call->sub_queries[sub_query].reserved = server;
}

void DispatchEngine::CancelOptionalSubQueries(Time now) {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_)
    ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const CallId id : ids) {
    ActiveCall* call = calls_.at(id).get();
    if (!call->route->is_scatter())
      continue;
    const auto optional = detail::OptionalSubQueries(*call, now);
    for (const std::size_t sub_query : optional)
      CancelSubQuery(call, sub_query, now);
    if (!optional.empty() && !TryFinish(call, now))
      ScheduleWakeup(call, now);
  }
}

void DispatchEngine::CancelSubQuery(ActiveCall* call,
                                    std::size_t index,
                                    Time now) {
  SubQuery& sub_query = call->sub_queries[index];
  Dequeue(*call, index);
  sub_query.queued = false;
  for (const AttemptId attempt : sub_query.pending_attempts)
    OrphanAttempt(attempt, /*cancel_now=*/true, now);
  sub_query.pending_attempts.clear();
  FailSubQuery(call, index, ResultCode::kOverloaded);
}

void DispatchEngine::StartSubQuery(ActiveCall* call,
                                   std::size_t index,
                                   bool repeated,
                                   Time now) {
  SubQuery& sub_query = call->sub_queries[index];
  sub_query.delegated = false;
  // NOTE Attempts that the lost coordinator may have made count towards the
  // route's maximum.
  sub_query.runs = repeated ? kRunsOfLostCoordinator : 0;
  if (sub_query.runs >= call->route->max_attempts ||
      (repeated && !call->is_idempotent()))
    return FailSubQuery(call, index, ResultCode::kPeerUnreachable);
  if (!repeated) {
    sub_query.group->budget.OnRequest();
  } else if (!sub_query.group->budget.TrySpend()) {
    ++call->record.budget_refusals;
    return FailSubQuery(call, index, ResultCode::kRetryBudgetSpent);
  }
  TrySend(call, index, now);
}

void DispatchEngine::TrySend(ActiveCall* call, std::size_t index, Time now) {
  SubQuery& sub_query = call->sub_queries[index];
  if (MayNotTry(*call, now))
    return FailSubQuery(call, index, ResultCode::kRequestSuspected);
  const auto reserved = std::exchange(sub_query.reserved, nullptr);
  if (reserved && reserved->AcceptsRequests(now)) {
    return Send(call, index, reserved, now);
  }
  const detail::PlacementRequest request{
      call->route, profiles_.TimesOf(*call->route), &call->region_filter,
      &sub_query.tried_servers};
  const detail::Placement placement =
      placer_.Choose(*sub_query.group, request, now);
  switch (placement.status) {
    case detail::PlacementStatus::kFound:
      return Send(call, index, placement.server, now);
    case detail::PlacementStatus::kFull:
      return Enqueue(call, index, now);
    case detail::PlacementStatus::kUnavailable: {
      // NOTE Why the last attempt failed says more than that no server is left.
      const bool has_cause = sub_query.code != ResultCode::kOk &&
                             placement.reason != ResultCode::kServerBackoff &&
                             placement.reason != ResultCode::kServerLimited;
      return FailSubQuery(call, index,
                          has_cause ? sub_query.code : placement.reason);
    }
  }
}

void DispatchEngine::Send(ActiveCall* call,
                          std::size_t index,
                          const std::shared_ptr<ServerLoad>& server,
                          Time now) {
  SubQuery& sub_query = call->sub_queries[index];
  const AttemptId id = next_attempt_++;
  const ServerEntry& entry = server->entry();
  sub_query.pending_attempts.push_back(id);
  sub_query.tried_servers.push_back(server.get());
  sub_query.last_server = entry.id;
  sub_query.queued = false;
  ++sub_query.attempts;
  ++sub_query.runs;
  ++sub_query.delivered_attempts;
  ++call->record.attempts;
  call->record.cross_region_attempts += IsCrossRegion(*server) ? 1 : 0;
  server->OnSent(now);
  contact_.OnSent(entry.id, now);
  attempts_[id] = {.call = call->call.id,
                   .sub_query = index,
                   .server = server,
                   .group = sub_query.group,
                   .table = call->table,
                   .route = call->route,
                   .sent = now,
                   .started_ms = entry.started_ms};
  actions_.emplace_back(
      SendToServer{id, entry.id, entry.address, call->call.message,
                   call->deadline - now, !call->is_idempotent(),
                   detail::MaxBodyBytes(*call->route), call->call.account});
  if (call->trial && call->answered == 0) {
    attempts_[id].trial_digest = DigestOf(call);
    actions_.emplace_back(
        RequestTrial{call->call.message->request_id, DigestOf(call), entry.id});
  }
  if (sub_query.pending_attempts.size() == 1)
    ScheduleHedge(call, &sub_query, *server, now);
}

bool DispatchEngine::IsCrossRegion(const ServerLoad& server) const {
  return topology_.DistanceTo(server.entry().data_centre) ==
         detail::Distance::kOtherRegion;
}

void DispatchEngine::ScheduleHedge(ActiveCall* call,
                                   SubQuery* sub_query,
                                   const ServerLoad& first,
                                   Time now) {
  sub_query->hedge_at = kNever;
  if (!call->is_idempotent() || call->trial ||
      sub_query->runs >= call->route->max_attempts)
    return;
  detail::HedgeInputs inputs;
  inputs.work = profiles_.TimesOf(*call->route);
  inputs.round_trip = topology_.RoundTrip(first.entry().data_centre);
  inputs.other_round_trip = Duration::max();
  for (const auto& server : sub_query->group->servers) {
    if (server.get() == &first ||
        detail::CheckEligibility(*server, call->region_filter, now) !=
            ResultCode::kOk) {
      continue;
    }
    inputs.other_round_trip =
        std::min(inputs.other_round_trip,
                 topology_.RoundTrip(server->entry().data_centre));
  }
  if (inputs.other_round_trip == Duration::max())
    return;
  inputs.time_to_target = call->answer_by - now;
  sub_query->hedge_at = now + detail::HedgeDelay(inputs);
  sub_query->hedge_held_until =
      now + detail::MaxHedgeDelay(inputs.work, inputs.time_to_target);
}

bool DispatchEngine::HoldsHedge(const ActiveCall& call,
                                const SubQuery& sub_query,
                                Time now) const {
  if (!call.route->is_scatter())
    return false;
  // NOTE More requests would only lengthen the queues.
  if (admission_.AreQueuesForming(*call.route, now))
    return true;
  return now < sub_query.hedge_held_until &&
         !detail::IsStraggler(call.answered, call.sub_queries.size());
}

void DispatchEngine::TryHedge(ActiveCall* call, std::size_t index, Time now) {
  SubQuery& sub_query = call->sub_queries[index];
  sub_query.hedge_at = kNever;
  if (call->suspended_until != kNever) {
    sub_query.hedge_at = call->suspended_until;
    return;
  }
  if (sub_query.pending_attempts.size() != 1 ||
      sub_query.runs >= call->route->max_attempts)
    return;
  if (HoldsHedge(*call, sub_query, now)) {
    sub_query.hedge_at = now + kHedgeRetry;
    return;
  }
  const detail::WorkTimes work = profiles_.TimesOf(*call->route);
  const detail::PlacementRequest request{
      call->route, work, &call->region_filter, &sub_query.tried_servers};
  const detail::Placement placement =
      placer_.Choose(*sub_query.group, request, now);
  if (placement.status != detail::PlacementStatus::kFound)
    return;
  if (placer_.IsUnresponsive(*placement.server, work.high, now)) {
    sub_query.hedge_at = now + kHedgeRetry;
    return;
  }
  if (!sub_query.group->budget.TrySpend()) {
    ++call->record.budget_refusals;
    return;
  }
  ++call->record.hedges;
  call->record.cross_region_hedges += IsCrossRegion(*placement.server) ? 1 : 0;
  Send(call, index, placement.server, now);
}

void DispatchEngine::Enqueue(ActiveCall* call, std::size_t index, Time now) {
  SubQuery& sub_query = call->sub_queries[index];
  sub_query.queued = true;
  sub_query.queued_at = now;
  sub_query.group->queue.insert(
      {call->priority(), call->deadline, call->call.id, index});
  queued_groups_.insert(sub_query.group);
}

void DispatchEngine::Dequeue(const ActiveCall& call, std::size_t index) {
  const SubQuery& sub_query = call.sub_queries[index];
  if (sub_query.queued) {
    sub_query.group->queue.erase(
        {call.priority(), call.deadline, call.call.id, index});
  }
}

void DispatchEngine::DispatchQueued(detail::ServerGroup* group, Time now) {
  while (!group->queue.empty()) {
    const detail::QueuedSubQuery first = *group->queue.begin();
    ActiveCall* call = calls_.at(first.call).get();
    SubQuery& sub_query = call->sub_queries[first.sub_query];
    const detail::PlacementRequest request{
        call->route, profiles_.TimesOf(*call->route), &call->region_filter,
        &sub_query.tried_servers, /*first_in_queue=*/true};
    const detail::Placement placement =
        MayNotTry(*call, now)
            ? detail::Placement{detail::PlacementStatus::kUnavailable, nullptr,
                                ResultCode::kRequestSuspected}
            : placer_.Choose(*group, request, now);
    if (placement.status == detail::PlacementStatus::kFull)
      return;
    group->queue.erase(group->queue.begin());
    sub_query.queued = false;
    sub_query.queued_for = now - sub_query.queued_at;
    if (placement.status == detail::PlacementStatus::kFound) {
      Send(call, first.sub_query, placement.server, now);
      ScheduleWakeup(call, now);
    } else {
      FailSubQuery(call, first.sub_query, placement.reason);
      Advance(call, now);
    }
  }
}

void DispatchEngine::ReportLostAttempt(ActiveCall* call,
                                       const PendingAttempt& attempt,
                                       AttemptOutcome outcome,
                                       Time now) {
  const ServerEntry& entry = attempt.server->entry();
  actions_.emplace_back(AttemptLost{call->call.message->request_id,
                                    DigestOf(call), entry.id, entry.service,
                                    outcome, now - attempt.sent});
}

void DispatchEngine::OnSubQueryReply(ActiveCall* call,
                                     const PendingAttempt& attempt,
                                     TargetReply* reply,
                                     ReplyClass reply_class,
                                     Time now) {
  const std::size_t index = attempt.sub_query;
  SubQuery& sub_query = call->sub_queries[index];
  std::erase(sub_query.pending_attempts, reply->attempt);
  if (reply_class == ReplyClass::kRejected) {
    ++call->record.rejections;
    --sub_query.runs;
    if (reply->outcome == AttemptOutcome::kNotSent)
      --sub_query.delivered_attempts;
  }
  if (reply_class == ReplyClass::kUsable) {
    sub_query.state = detail::SubQueryState::kAnswered;
    ++call->answered;
    Dequeue(*call, index);
    for (const AttemptId slower : sub_query.pending_attempts)
      OrphanAttempt(slower, /*cancel_now=*/false, now);
    sub_query.pending_attempts.clear();
    if (call->route->is_scatter()) {
      sub_query.signature = std::move(reply->signature);
      sub_query.body = std::move(reply->body);
    } else {
      call->final_reply = std::move(*reply);
    }
    OnServerAnswered(call, attempt.server->entry().id, attempt.sent, now);
    if (!TryFinish(call, now))
      ScheduleWakeup(call, now);
    return;
  }
  sub_query.code = CodeOf(*reply);
  bool handled = false;
  if (IsBrokenOff(*reply)) {
    ReportLostAttempt(call, attempt, reply->outcome, now);
    handled = OnPossibleCrash(call, attempt, now);
  }
  if (reply_class == ReplyClass::kFailed) {
    OnServerAnswered(call, attempt.server->entry().id, attempt.sent, now);
    call->final_reply = std::move(*reply);
  }
  handled |= call->trial && call->suspended_until != kNever;
  if (!handled && sub_query.state == detail::SubQueryState::kOpen &&
      sub_query.pending_attempts.empty() && !sub_query.queued)
    RetryOrFail(call, index, now);
  if (!handled && call->trial && call->route->is_scatter() &&
      sub_query.state == detail::SubQueryState::kFailed)
    StartTrial(call, now);
  if (!TryFinish(call, now))
    ScheduleWakeup(call, now);
}

void DispatchEngine::RetryOrFail(ActiveCall* call,
                                 std::size_t index,
                                 Time now) {
  SubQuery& sub_query = call->sub_queries[index];
  sub_query.hedge_at = kNever;
  const bool may_run_again =
      sub_query.runs == 0 ||
      (call->is_idempotent() && sub_query.runs < call->route->max_attempts);
  if (!may_run_again || sub_query.attempts >= kMaxAttempts ||
      now >= call->deadline)
    return FailSubQuery(call, index, sub_query.code);
  if (sub_query.delivered_attempts > 0 && !sub_query.group->budget.TrySpend()) {
    ++call->record.budget_refusals;
    return FailSubQuery(call, index, ResultCode::kRetryBudgetSpent);
  }
  TrySend(call, index, now);
}

void DispatchEngine::FailSubQuery(ActiveCall* call,
                                  std::size_t index,
                                  ResultCode code) {
  SubQuery& sub_query = call->sub_queries[index];
  sub_query.state = detail::SubQueryState::kFailed;
  sub_query.code = code;
  sub_query.hedge_at = kNever;
  ++call->failed;
}

}  // namespace limpetrudder
