// The engine's dealings with the parts of a call: where each is asked for, a
// second time too, and what becomes of it.

#include <algorithm>
#include <utility>

#include "dispatch/dispatch_engine.h"
#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/hedge_policy.h"
#include "dispatch/internal/leg_selection.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// Servers that another instance may have asked for one leg before it was lost:
// the first one and a hedge.
constexpr std::uint32_t kRunsOfLostHome = 2;

// Sends for one leg, refusals included.
constexpr std::uint32_t kMostSends = 4;

// A hedge is put off by this if no server can take it at the moment.
constexpr Duration kHedgeRetry = Millis(15);

ResultCode CodeOf(const TargetReply& reply) {
  if (reply.outcome == SendOutcome::kNotSent)
    return ResultCode::kConnectFailed;
  if (reply.outcome == SendOutcome::kTooLarge)
    return ResultCode::kAnswerTooLarge;
  if (reply.outcome != SendOutcome::kAnswered)
    return ResultCode::kTransportFailed;
  if (reply.misdirected)
    return ResultCode::kServerLeaving;
  if (reply.not_executed)
    return ResultCode::kServerShed;
  return reply.status >= http_status::kInternalError
             ? ResultCode::kServerFailed
             : ResultCode::kAnswerMalformed;
}

// Why a part that no server can take has failed.
ResultCode CodeOf(detail::PlacementStatus status) {
  return status == detail::PlacementStatus::kBackoff
             ? ResultCode::kServerBackoff
             : ResultCode::kNoServer;
}

}  // namespace

void DispatchEngine::BeginLegs(ActiveCall* call, bool repeated, Time now) {
  const Route& route = *call->route;
  if (route.is_scatter()) {
    const auto& shards =
        call->is_partial() ? call->call.only_shards : route.shards;
    call->legs.resize(shards.size());
    for (std::size_t i = 0; i < call->legs.size(); ++i)
      call->legs[i].group = servers_.Group(shards[i]);
  } else {
    call->legs.resize(1);
    const std::size_t backend = split_.Next(route);
    call->legs[0].group = servers_.Group(route.backends[backend].service);
  }
  call->record.parts_wanted = static_cast<std::uint32_t>(call->legs.size());
  if (!repeated && route.is_scatter())
    LeaveOutLegs(call, now);
  if (detail::IsOutOfReach(*call))
    return;
  if (!repeated && route.is_scatter() && !call->is_partial())
    DelegateFarLegs(call, now);
  for (std::size_t i = 0; i < call->legs.size(); ++i) {
    const Leg& leg = call->legs[i];
    if (leg.state == detail::LegState::kOpen && !leg.delegated)
      BeginLeg(call, i, repeated, now);
  }
}

void DispatchEngine::LeaveOutLegs(ActiveCall* call, Time now) {
  std::vector<detail::ServerGroup*> groups;
  for (const Leg& leg : call->legs)
    groups.push_back(leg.group);
  const Duration target = call->answer_by - now;
  const detail::LegSelection selection =
      detail::SelectLegs(groups, detail::FewestLegs(*call), target, now);
  for (const auto& [leg, reason] : selection.left_out)
    FailLeg(call, leg, reason);
  for (const auto& [leg, server] : selection.reserved)
    call->legs[leg].reserved = server;
}

void DispatchEngine::DropSpareLegs(Time now) {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_)
    ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const CallId id : ids) {
    ActiveCall* call = calls_.at(id).get();
    if (!call->route->is_scatter())
      continue;
    const auto spare = detail::SpareLegs(*call, now);
    for (const std::size_t leg : spare)
      DropLeg(call, leg, now);
    if (!spare.empty() && !Settle(call, now))
      Schedule(call, now);
  }
}

void DispatchEngine::DropLeg(ActiveCall* call,
                             std::size_t leg_index,
                             Time now) {
  Leg& leg = call->legs[leg_index];
  StopWaiting(*call, leg_index);
  leg.waiting = false;
  for (const SendId send : leg.open_sends)
    Abandon(send, /*cancel_now=*/true, now);
  leg.open_sends.clear();
  FailLeg(call, leg_index, ResultCode::kOverloaded);
}

void DispatchEngine::BeginLeg(ActiveCall* call,
                              std::size_t leg_index,
                              bool repeated,
                              Time now) {
  Leg& leg = call->legs[leg_index];
  leg.delegated = false;
  // NOTE What another instance may have sent counts for what the route allows.
  leg.runs = repeated ? kRunsOfLostHome : 0;
  if (leg.runs >= call->route->max_attempts)
    return FailLeg(call, leg_index, ResultCode::kPeerUnreachable);
  if (!repeated) {
    leg.group->budget.OnRequest();
  } else if (!leg.group->budget.TrySpend()) {
    ++call->record.budget_refusals;
    return FailLeg(call, leg_index, ResultCode::kRetryBudgetSpent);
  }
  TrySend(call, leg_index, now);
}

void DispatchEngine::TrySend(ActiveCall* call,
                             std::size_t leg_index,
                             Time now) {
  Leg& leg = call->legs[leg_index];
  const auto reserved = std::exchange(leg.reserved, nullptr);
  if (reserved && reserved->TakesWork(now)) {
    return Send(call, leg_index, {detail::PlacementStatus::kFound, reserved},
                now);
  }
  const detail::PlacingRequest request{
      call->route, profiles_.TimesOf(*call->route), &leg.asked};
  const detail::Placement choice = placer_.Choose(*leg.group, request, now);
  switch (choice.status) {
    case detail::PlacementStatus::kFound:
      return Send(call, leg_index, choice, now);
    case detail::PlacementStatus::kFull:
      return Wait(call, leg_index, now);
    case detail::PlacementStatus::kBackoff:
      return FailLeg(call, leg_index, CodeOf(choice.status));
    case detail::PlacementStatus::kNoServer:
      return FailLeg(
          call, leg_index,
          leg.code == ResultCode::kOk ? CodeOf(choice.status) : leg.code);
  }
}

void DispatchEngine::Send(ActiveCall* call,
                          std::size_t leg_index,
                          const detail::Placement& choice,
                          Time now) {
  Leg& leg = call->legs[leg_index];
  const SendId id = next_send_++;
  const ServerEntry& entry = choice.server->entry();
  leg.open_sends.push_back(id);
  leg.asked.push_back(choice.server.get());
  leg.last_server = entry.id;
  leg.waiting = false;
  ++leg.sends;
  ++leg.runs;
  ++leg.arrivals;
  ++call->record.sends;
  call->record.far_sends += IsFar(*choice.server) ? 1 : 0;
  choice.server->OnSent(now);
  sends_[id] = {.call = call->call.id,
                .leg = leg_index,
                .server = choice.server,
                .group = leg.group,
                .table = call->table,
                .route = call->route,
                .sent = now,
                .started_ms = entry.started_ms};
  actions_.emplace_back(SendToServer{
      id, entry.id, entry.address, call->call.message, call->deadline - now,
      !call->may_repeat(), detail::MostBodyBytes(*call->route)});
  if (leg.open_sends.size() == 1)
    PlanHedge(call, &leg, *choice.server, now);
}

bool DispatchEngine::IsFar(const ServerLoad& server) const {
  return topology_.DistanceTo(server.entry().data_centre) ==
         detail::Distance::kOtherRegion;
}

void DispatchEngine::PlanHedge(ActiveCall* call,
                               Leg* leg,
                               const ServerLoad& first,
                               Time now) {
  leg->hedge_at = kNever;
  if (!call->may_repeat() || leg->runs >= call->route->max_attempts)
    return;
  detail::HedgeInputs inputs;
  inputs.work = profiles_.TimesOf(*call->route);
  inputs.round_trip = topology_.RoundTrip(first.entry().data_centre);
  inputs.other_round_trip = Duration::max();
  for (const auto& server : leg->group->servers) {
    if (server.get() == &first || !server->TakesWork(now))
      continue;
    inputs.other_round_trip =
        std::min(inputs.other_round_trip,
                 topology_.RoundTrip(server->entry().data_centre));
  }
  if (inputs.other_round_trip == Duration::max())
    return;
  inputs.time_to_target = call->answer_by - now;
  leg->hedge_at = now + detail::HedgeDelay(inputs);
}

void DispatchEngine::TryHedge(ActiveCall* call,
                              std::size_t leg_index,
                              Time now) {
  Leg& leg = call->legs[leg_index];
  leg.hedge_at = kNever;
  if (leg.open_sends.size() != 1 || leg.runs >= call->route->max_attempts)
    return;
  const detail::WorkTimes work = profiles_.TimesOf(*call->route);
  const detail::PlacingRequest request{call->route, work, &leg.asked};
  const detail::Placement choice = placer_.Choose(*leg.group, request, now);
  if (choice.status != detail::PlacementStatus::kFound)
    return;
  if (placer_.IsQuiet(*choice.server, work.high, now)) {
    leg.hedge_at = now + kHedgeRetry;
    return;
  }
  if (!leg.group->budget.TrySpend()) {
    ++call->record.budget_refusals;
    return;
  }
  ++call->record.hedges;
  call->record.far_hedges += IsFar(*choice.server) ? 1 : 0;
  Send(call, leg_index, choice, now);
}

void DispatchEngine::Wait(ActiveCall* call, std::size_t leg_index, Time now) {
  Leg& leg = call->legs[leg_index];
  leg.waiting = true;
  leg.waiting_since = now;
  leg.group->waiting.insert(
      {call->route->priority, call->deadline, call->call.id, leg_index});
  waiting_groups_.insert(leg.group);
}

void DispatchEngine::StopWaiting(const ActiveCall& call,
                                 std::size_t leg_index) {
  const Leg& leg = call.legs[leg_index];
  if (leg.waiting) {
    leg.group->waiting.erase(
        {call.route->priority, call.deadline, call.call.id, leg_index});
  }
}

void DispatchEngine::ServeWaiting(detail::ServerGroup* group, Time now) {
  while (!group->waiting.empty()) {
    const detail::WaitingLeg first = *group->waiting.begin();
    ActiveCall* call = calls_.at(first.call).get();
    Leg& leg = call->legs[first.leg];
    const detail::PlacingRequest request{
        call->route, profiles_.TimesOf(*call->route), &leg.asked};
    const detail::Placement choice = placer_.Choose(*group, request, now);
    if (choice.status == detail::PlacementStatus::kFull)
      return;
    group->waiting.erase(group->waiting.begin());
    leg.waiting = false;
    leg.waited = now - leg.waiting_since;
    if (choice.status == detail::PlacementStatus::kFound) {
      Send(call, first.leg, choice, now);
      Schedule(call, now);
    } else {
      FailLeg(call, first.leg, CodeOf(choice.status));
      Advance(call, now);
    }
  }
}

void DispatchEngine::OnVerdict(ActiveCall* call,
                               std::size_t leg_index,
                               TargetReply* reply,
                               Verdict verdict,
                               Time now) {
  Leg& leg = call->legs[leg_index];
  std::erase(leg.open_sends, reply->send);
  if (verdict == Verdict::kRejected) {
    ++call->record.rejections;
    --leg.runs;
    if (reply->outcome == SendOutcome::kNotSent)
      --leg.arrivals;
  }
  if (verdict == Verdict::kGood) {
    leg.state = detail::LegState::kAnswered;
    ++call->answered;
    StopWaiting(*call, leg_index);
    for (const SendId loser : leg.open_sends)
      Abandon(loser, /*cancel_now=*/false, now);
    leg.open_sends.clear();
    if (call->route->is_scatter()) {
      leg.signature = std::move(reply->signature);
      leg.body = std::move(reply->body);
    } else {
      call->final_reply = std::move(*reply);
    }
    Settle(call, now);
    return;
  }
  leg.code = CodeOf(*reply);
  if (verdict == Verdict::kFailed)
    call->final_reply = std::move(*reply);
  if (leg.open_sends.empty() && !leg.waiting)
    RetryOrFail(call, leg_index, now);
  if (!Settle(call, now))
    Schedule(call, now);
}

void DispatchEngine::RetryOrFail(ActiveCall* call,
                                 std::size_t leg_index,
                                 Time now) {
  Leg& leg = call->legs[leg_index];
  leg.hedge_at = kNever;
  const bool may_run_again =
      leg.runs == 0 ||
      (call->may_repeat() && leg.runs < call->route->max_attempts);
  if (!may_run_again || leg.sends >= kMostSends || now >= call->deadline)
    return FailLeg(call, leg_index, leg.code);
  if (leg.arrivals > 0 && !leg.group->budget.TrySpend()) {
    ++call->record.budget_refusals;
    return FailLeg(call, leg_index, ResultCode::kRetryBudgetSpent);
  }
  TrySend(call, leg_index, now);
}

void DispatchEngine::FailLeg(ActiveCall* call,
                             std::size_t leg_index,
                             ResultCode code) {
  Leg& leg = call->legs[leg_index];
  leg.state = detail::LegState::kFailed;
  leg.code = code;
  leg.hedge_at = kNever;
  ++call->failed;
}

}  // namespace limpetrudder
