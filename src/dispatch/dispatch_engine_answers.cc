// When a call has its final answer, and what that is.

#include <algorithm>
#include <string_view>
#include <utility>

#include "dispatch/dispatch_engine.h"
#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/record_merge.h"
#include "dispatch/internal/return_time.h"
#include "framework/http_status.h"

namespace limpetrudder {

bool DispatchEngine::Settle(ActiveCall* call, Time now) {
  switch (detail::DecideAnswer(*call, now)) {
    case detail::AnswerDecision::kWait:
      return false;
    case detail::AnswerDecision::kAnswer:
      Finish(call, ComposeAnswer(call), now);
      return true;
    case detail::AnswerDecision::kGiveUp:
      Finish(call, ComposeFailure(call, now), now);
      return true;
  }
  return false;
}

void DispatchEngine::Schedule(ActiveCall* call, Time now) {
  Time next = detail::NextAnswerDecision(*call, now);
  for (const Leg& leg : call->legs) {
    if (leg.state == detail::LegState::kOpen)
      next = std::min(next, leg.hedge_at);
  }
  if (next == call->wake)
    return;
  wakes_.erase({call->wake, call->call.id});
  call->wake = next;
  wakes_.emplace(next, call->call.id);
}

void DispatchEngine::Advance(ActiveCall* call, Time now) {
  for (std::size_t i = 0; i < call->legs.size(); ++i) {
    Leg& leg = call->legs[i];
    if (leg.state != detail::LegState::kOpen)
      continue;
    if (leg.hedge_at <= now)
      TryHedge(call, i, now);
  }
  if (now >= call->answer_by && !std::exchange(call->target_passed, true))
    NoteLateSends(call, now);
  if (!Settle(call, now))
    Schedule(call, now);
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
  for (const Leg& leg : call->legs) {
    if (leg.state == detail::LegState::kAnswered) {
      parts.emplace_back(leg.body);
      reply.part_signatures.push_back(leg.signature);
    } else if (call->is_partial()) {
      reply.part_signatures.emplace_back();
      reply.missing_runs.push_back(leg.runs);
    }
  }
  reply.missing_parts =
      static_cast<std::uint32_t>(call->legs.size() - parts.size());
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
  for (const Leg& leg : call->legs) {
    if (leg.state == detail::LegState::kFailed)
      call->record.code = leg.code;
  }
  reply.retry_after = detail::ReturnTime(*call, &random_, now);
  if (!call->may_have_run()) {
    reply.status = http_status::kUnavailable;
  } else {
    reply.status = now >= call->deadline ? http_status::kGatewayTimeout
                                         : http_status::kBadGateway;
  }
  return reply;
}

void DispatchEngine::RefuseForLoad(ActiveCall* call, Time now) {
  CallReply reply;
  reply.status = http_status::kUnavailable;
  reply.retry_after = admission_.ReturnTime(*call->route, &random_);
  call->record.code = ResultCode::kOverloaded;
  call->record.parts_wanted =
      static_cast<std::uint32_t>(call->route->shards.size());
  Finish(call, std::move(reply), now);
}

void DispatchEngine::Finish(ActiveCall* call, CallReply reply, Time now) {
  if (call->call.forwarded) {
    reply.newer_routes = NewerRoutesFor(call->call);
    reply.leaving_servers = LeavingToTell(now);
    if (call->is_partial())
      reply.queue_pressure = admission_.PressureOf(*call->route, now);
  }
  CallRecord& record = call->record;
  record.status = reply.status;
  record.took = now - call->received;
  record.forwarded = call->call.forwarded;
  record.late = record.took > call->route->latency_target;
  record.parts = call->answered;
  for (const Leg& leg : call->legs) {
    if (leg.state == detail::LegState::kAnswered || leg.is_untouched())
      continue;
    const ResultCode code =
        leg.code == ResultCode::kOk ? ResultCode::kNoAnswer : leg.code;
    record.failed_legs.push_back(
        {leg.group->service, leg.last_server, leg.sends, code});
  }
  actions_.emplace_back(
      CompleteCall{call->call.id, std::move(reply), std::move(record)});
  Forget(call, now, /*cancel_now=*/false);
}

void DispatchEngine::Forget(ActiveCall* call, Time now, bool cancel_now) {
  if (call->home_send != 0)
    Abandon(call->home_send, cancel_now, now);
  for (const auto& batch : call->batches) {
    if (batch.send != 0)
      Abandon(batch.send, cancel_now, now);
  }
  for (std::size_t i = 0; i < call->legs.size(); ++i) {
    StopWaiting(*call, i);
    for (const SendId id : call->legs[i].open_sends)
      Abandon(id, cancel_now, now);
  }
  wakes_.erase({call->wake, call->call.id});
  calls_.erase(call->call.id);
  if (cancel_now)
    CancelOrphans(now);
}

}  // namespace limpetrudder
