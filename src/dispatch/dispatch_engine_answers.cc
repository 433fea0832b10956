// The part of the engine that decides when a call is answered, and composes its
// answer.

#include <algorithm>
#include <string_view>
#include <utility>

#include "dispatch/dispatch_engine.h"
#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/record_merge.h"
#include "dispatch/internal/retry_after.h"
#include "framework/http_status.h"

namespace limpetrudder {

bool DispatchEngine::TryFinish(ActiveCall* call, Time now) {
  switch (detail::DecideAnswer(*call, now)) {
    case detail::AnswerDecision::kWait:
      return false;
    case detail::AnswerDecision::kAnswer:
      if (call->route->is_scatter() && !call->is_partial() &&
          now <= call->answer_by)
        admission_.OnServed(*call->route, now);
      Finish(call, ComposeAnswer(call), now);
      return true;
    case detail::AnswerDecision::kGiveUp:
      EndFailed(call, now);
      return true;
  }
  return false;
}

void DispatchEngine::EndFailed(ActiveCall* call, Time now) {
  Complete(call, ComposeFailure(call, now), now);
  // NOTE What it left in the servers' queues would make other searches fail.
  ReleaseCall(call, now,
              /*cancel_now=*/call->route->is_scatter() &&
                  admission_.AreQueuesForming(*call->route, now));
}

void DispatchEngine::GiveUp(ActiveCall* call, Time now) {
  const bool suffices =
      call->is_partial() || call->answered >= detail::MinSubQueries(*call);
  if (suffices && !call->sub_queries.empty())
    return Finish(call, ComposeAnswer(call), now);
  CallReply reply = ComposeFailure(call, now);
  if (!call->may_have_run())
    call->record.code = ResultCode::kStopping;
  Finish(call, std::move(reply), now);
}

void DispatchEngine::ScheduleWakeup(ActiveCall* call, Time now) {
  Time next =
      std::min(detail::NextAnswerDecision(*call, now), call->suspended_until);
  for (const SubQuery& sub_query : call->sub_queries) {
    if (sub_query.state == detail::SubQueryState::kOpen)
      next = std::min(next, sub_query.hedge_at);
  }
  if (next == call->wake_at)
    return;
  wakeups_.erase({call->wake_at, call->call.id});
  call->wake_at = next;
  wakeups_.emplace(next, call->call.id);
}

void DispatchEngine::Advance(ActiveCall* call, Time now) {
  if (call->candidate && now >= call->candidate_until)
    return OnCandidateSilent(call, now);
  if (now >= call->suspended_until)
    Resume(call, now);
  for (std::size_t i = 0; i < call->sub_queries.size(); ++i) {
    SubQuery& sub_query = call->sub_queries[i];
    if (sub_query.state != detail::SubQueryState::kOpen)
      continue;
    if (sub_query.hedge_at <= now)
      TryHedge(call, i, now);
  }
  if (now >= call->answer_by && !std::exchange(call->target_passed, true))
    RecordLateAttempts(call, now);
  if (!TryFinish(call, now))
    ScheduleWakeup(call, now);
}

CallReply DispatchEngine::ComposeAnswer(ActiveCall* call) const {
  CallReply reply;
  if (!call->route->is_scatter()) {
    reply.status = call->final_reply->status;
    reply.headers = std::move(call->final_reply->headers);
    reply.body = std::move(call->final_reply->body);
    reply.from_server = true;
    return reply;
  }
  std::vector<std::string_view> parts;
  for (const SubQuery& sub_query : call->sub_queries) {
    if (sub_query.state == detail::SubQueryState::kAnswered) {
      parts.emplace_back(sub_query.body);
      reply.part_signatures.push_back(sub_query.signature);
    } else if (call->is_partial()) {
      reply.part_signatures.emplace_back();
      reply.missing_runs.push_back(sub_query.runs);
    }
  }
  reply.missing_parts =
      static_cast<std::uint32_t>(call->sub_queries.size() - parts.size());
  const std::uint32_t top_records = call->call.top_records > 0
                                        ? call->call.top_records
                                        : call->route->top_records;
  reply.body = detail::MergeGreatest(parts, top_records);
  return reply;
}

CallReply DispatchEngine::ComposeFailure(ActiveCall* call, Time now) {
  CallReply reply;
  if (!call->route->is_scatter() && call->final_reply) {
    reply.status = call->final_reply->status;
    reply.headers = std::move(call->final_reply->headers);
    reply.body = std::move(call->final_reply->body);
    reply.from_server = true;
    call->record.code = ResultCode::kServerFailed;
    return reply;
  }
  call->record.code =
      now >= call->deadline ? ResultCode::kNoAnswer : ResultCode::kOverloaded;
  for (const SubQuery& sub_query : call->sub_queries) {
    if (sub_query.state == detail::SubQueryState::kFailed)
      call->record.code = sub_query.code;
  }
  reply.retry_after = detail::RetryAfter(*call, &random_, now);
  if (!call->may_have_run()) {
    reply.status = http_status::kUnavailable;
  } else {
    reply.status = now >= call->deadline ? http_status::kGatewayTimeout
                                         : http_status::kBadGateway;
  }
  return reply;
}

void DispatchEngine::RefuseOverloaded(ActiveCall* call, Time now) {
  CallReply reply;
  reply.status = http_status::kUnavailable;
  reply.retry_after = admission_.RetryAfter(*call->route, &random_);
  call->record.code = ResultCode::kOverloaded;
  call->record.parts_wanted =
      static_cast<std::uint32_t>(call->route->shards.size());
  Finish(call, std::move(reply), now);
}

void DispatchEngine::EndWithout(ActiveCall* call,
                                int status,
                                ResultCode code,
                                Duration retry_after,
                                Time now) {
  CallReply reply;
  reply.status = status;
  reply.retry_after = retry_after;
  call->record.code = code;
  Finish(call, std::move(reply), now);
}

void DispatchEngine::Finish(ActiveCall* call, CallReply reply, Time now) {
  Complete(call, std::move(reply), now);
  ReleaseCall(call, now, /*cancel_now=*/false);
}

void DispatchEngine::Complete(ActiveCall* call, CallReply reply, Time now) {
  if (call->call.forwarded) {
    reply.newer_routes = NewerRoutesFor(call->call);
    reply.leaving_servers = RecentLeavingServers(now);
    if (call->is_partial())
      reply.queue_pressure = admission_.PressureOf(*call->route, now);
  }
  CallRecord& record = call->record;
  record.status = reply.status;
  record.took = now - call->received;
  record.forwarded = call->call.forwarded;
  record.late = record.took > call->route->latency_target;
  record.parts = call->answered;
  for (const SubQuery& sub_query : call->sub_queries) {
    if (sub_query.state == detail::SubQueryState::kAnswered ||
        sub_query.not_started())
      continue;
    const ResultCode code = sub_query.code == ResultCode::kOk
                                ? ResultCode::kNoAnswer
                                : sub_query.code;
    record.failed_sub_queries.push_back({sub_query.group->service,
                                         sub_query.last_server,
                                         sub_query.attempts, code});
  }
  actions_.emplace_back(
      CompleteCall{call->call.id, std::move(reply), std::move(record)});
}

void DispatchEngine::ReleaseCall(ActiveCall* call, Time now, bool cancel_now) {
  if (call->trial_claimed_at != Time::min() && !call->may_have_run())
    quarantine_.ReleaseTrial(call->digest, call->trial_claimed_at);
  ReleaseToken(*call, now);
  if (call->coordinator_attempt != 0)
    OrphanAttempt(call->coordinator_attempt, cancel_now, now);
  for (const auto& batch : call->batches) {
    if (batch.attempt != 0)
      OrphanAttempt(batch.attempt, cancel_now, now);
  }
  for (std::size_t i = 0; i < call->sub_queries.size(); ++i) {
    Dequeue(*call, i);
    for (const AttemptId id : call->sub_queries[i].pending_attempts)
      OrphanAttempt(id, cancel_now, now);
  }
  wakeups_.erase({call->wake_at, call->call.id});
  calls_.erase(call->call.id);
  if (cancel_now)
    AbortOrphanedAttempts(now);
}

}  // namespace limpetrudder
