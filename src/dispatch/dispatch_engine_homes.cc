// The engine's dealings with other instances: calls that a home gathers whole,
// and parts that an instance nearer to their servers gathers.

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "dispatch/dispatch_engine.h"
#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/batch_plan.h"
#include "dispatch/internal/leg_selection.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// What a hop to another instance and back takes besides the way: its work and
// the delay of a busy processor.
constexpr Duration kHopMargin = Millis(12);

// After another instance gave too few parts of a shard, the shard's
// servers are asked directly for about as long as they stay slow or crowded.
constexpr Duration kDirectTime = Millis(2500);

// Whether the other instance refused the call itself, as when its routes are
// newer and lack the one asked for: no server got it.
bool IsRefused(const TargetReply& reply) {
  return reply.outcome == SendOutcome::kAnswered &&
         (reply.not_executed || (reply.status >= http_status::kBadRequest &&
                                 reply.status < http_status::kInternalError));
}

bool IsTaken(const TargetReply& reply) {
  return reply.outcome == SendOutcome::kAnswered && !IsRefused(reply);
}

// Whether servers may have run what the other instance didn't answer.
bool MayHaveRun(const TargetReply& reply) {
  return !IsRefused(reply) && reply.outcome != SendOutcome::kNotSent;
}

}  // namespace

bool DispatchEngine::TryForward(ActiveCall* call, Time now) {
  const Route& route = *call->route;
  if (call->call.forwarded || !route.is_scatter())
    return false;
  const auto home =
      homes_.Choose(route, profiles_.SizesOf(route), &servers_, now);
  if (!home)
    return false;
  call->home_send = next_send_++;
  call->record.home = home->entry().id;
  call->record.parts_wanted = static_cast<std::uint32_t>(route.shards.size());
  ForwardTo(home, call, std::nullopt, call->home_send, {}, now);
  return true;
}

void DispatchEngine::ForwardTo(const std::shared_ptr<ServerLoad>& home,
                               ActiveCall* call,
                               std::optional<std::size_t> batch,
                               SendId id,
                               std::vector<std::string> shards,
                               Time now) {
  home->OnSent(now);
  sends_[id] = {.call = call->call.id,
                .leg = batch.value_or(0),
                .server = home,
                .table = call->table,
                .route = call->route,
                .sent = now,
                .started_ms = home->entry().started_ms};
  const Duration way =
      topology_.RoundTrip(home->entry().data_centre) + kHopMargin;
  const std::size_t wanted = shards.size();
  const bool crowded = admission_.IsCrowded(*call->route, now);
  actions_.emplace_back(ForwardCall{
      id, home->entry().id, home->entry().address, call->call.message,
      call->deadline - now - way, call->answer_by - now - way,
      call->table->version(), std::move(shards),
      detail::SpareOfBatch(*call, wanted, crowded), call->route->top_records});
}

void DispatchEngine::GatherHere(ActiveCall* call, bool repeated, Time now) {
  call->home_send = 0;
  BeginLegs(call, repeated, now);
  Advance(call, now);
}

void DispatchEngine::DelegateFarLegs(ActiveCall* call, Time now) {
  std::map<std::string, bool> fit;  // By data centre.
  const auto is_fit = [&](const std::string& data_centre) {
    const auto [row, is_new] = fit.try_emplace(data_centre, false);
    if (is_new)
      row->second = homes_.HasFit(data_centre, now);
    return row->second;
  };
  std::vector<detail::FarLeg> far;
  for (std::size_t i = 0; i < call->legs.size(); ++i) {
    const Leg& leg = call->legs[i];
    if (leg.state != detail::LegState::kOpen || now < leg.group->direct_until ||
        detail::IsLate(*leg.group, now)) {
      continue;
    }
    auto data_centres = homes_.NearestElsewhere(*leg.group);
    std::erase_if(data_centres, std::not_fn(is_fit));
    far.push_back({i, std::move(data_centres)});
  }
  for (auto& batch : detail::PlanBatches(std::move(far), &random_))
    Delegate(call, batch.data_centre, std::move(batch.legs), now);
}

void DispatchEngine::Delegate(ActiveCall* call,
                              const std::string& data_centre,
                              std::vector<std::size_t> legs,
                              Time now) {
  const auto home = homes_.ChooseIn(data_centre, legs.size(),
                                    profiles_.SizesOf(*call->route), now);
  if (!home)
    return;
  std::vector<std::string> shards;
  for (const std::size_t leg : legs) {
    call->legs[leg].delegated = true;
    call->legs[leg].last_server = home->entry().id;
    shards.push_back(call->legs[leg].group->service);
  }
  call->record.delegated += static_cast<std::uint32_t>(legs.size());
  const SendId id = next_send_++;
  const std::size_t batch = call->batches.size();
  call->batches.push_back({id, std::move(legs)});
  ForwardTo(home, call, batch, id, std::move(shards), now);
}

void DispatchEngine::OnHomeReply(const OpenSend& send,
                                 TargetReply* reply,
                                 Time now) {
  ServerLoad& home = *send.server;
  if (reply->connect_time > Duration::zero())
    topology_.OnConnected(home.entry().data_centre, reply->connect_time);
  if (reply->newer_routes > routes_version())
    actions_.emplace_back(FetchRoutes{home.entry().id, reply->newer_routes});
  for (const auto& leaving : reply->leaving_servers)
    OnLeaving(leaving, now);
  if (reply->outcome == SendOutcome::kAnswered) {
    home.OnHeard(now);
  } else if (reply->outcome == SendOutcome::kNotSent) {
    if (home.OnUnreachable(now))
      Believe(home, ResultCode::kPeerUnreachable, now);
  } else {
    home.OnFailed(now);
  }
  const auto found = calls_.find(send.call);
  if (send.call == 0 || found == calls_.end())
    return;
  ActiveCall* call = found->second.get();
  if (call->home_send == reply->send)
    OnWholeReply(call, reply, now);
  else
    OnBatchReply(call, send.leg, reply, now);
}

void DispatchEngine::OnWholeReply(ActiveCall* call,
                                  TargetReply* reply,
                                  Time now) {
  if (!IsTaken(*reply))
    return GatherHere(call, MayHaveRun(*reply), now);
  call->home_send = 0;
  call->record.parts =
      static_cast<std::uint32_t>(reply->part_signatures.size());
  if (reply->status != http_status::kOk)
    call->record.code = ResultCode::kNoAnswer;
  CallReply final_reply;
  final_reply.status = reply->status;
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
  batch.send = 0;
  if (!IsTaken(*reply)) {
    const bool repeated = MayHaveRun(*reply);
    for (const std::size_t leg : batch.legs)
      BeginLeg(call, leg, repeated, now);
    return Advance(call, now);
  }
  admission_.OnPressure(*call->route, reply->queue_pressure, batch.legs.size(),
                        now);
  const auto& signatures = reply->part_signatures;
  bool body_taken = false;
  std::size_t missing = 0;
  for (std::size_t i = 0; i < batch.legs.size(); ++i) {
    const std::size_t index = batch.legs[i];
    Leg& leg = call->legs[index];
    if (reply->status != http_status::kOk || i >= signatures.size() ||
        signatures[i].empty()) {
      OnPartMissed(leg.group, now);
      // NOTE Without word all servers that the route allows may have run it.
      leg.runs = missing < reply->missing_runs.size()
                     ? reply->missing_runs[missing]
                     : call->route->max_attempts;
      ++missing;
      FailLeg(call, index, ResultCode::kNoAnswer);
      continue;
    }
    leg.group->missed.Add(false, now);
    leg.state = detail::LegState::kAnswered;
    leg.signature = signatures[i];
    ++call->answered;
    // NOTE The records of all the batch's parts come merged.
    if (!std::exchange(body_taken, true))
      leg.body = std::move(reply->body);
  }
  AskMissingHere(call, batch_index, now);
  if (!Settle(call, now))
    Schedule(call, now);
}

void DispatchEngine::AskMissingHere(ActiveCall* call,
                                    std::size_t batch_index,
                                    Time now) {
  for (const std::size_t index : call->batches[batch_index].legs) {
    Leg& leg = call->legs[index];
    if (!detail::IsOutOfReach(*call) || now >= call->deadline)
      return;
    if (leg.state != detail::LegState::kFailed ||
        leg.runs >= call->route->max_attempts ||
        !leg.group->budget.TrySpend()) {
      continue;
    }
    leg.state = detail::LegState::kOpen;
    leg.delegated = false;
    --call->failed;
    TrySend(call, index, now);
  }
}

void DispatchEngine::OnPartMissed(detail::ServerGroup* group, Time now) {
  group->missed.Add(true, now);
  if (!group->missed.IsHigh())
    return;
  if (group->direct_until <= now) {
    for (const auto& server : group->servers)
      NotePace(*server, server->pace().Begin(now));
  }
  group->direct_until = now + kDirectTime;
}

void DispatchEngine::GiveUpHome(const std::shared_ptr<ServerLoad>& home,
                                Time now) {
  std::vector<SendId> ids;
  for (const auto& [id, send] : sends_) {
    if (send.server == home)
      ids.push_back(id);
  }
  if (home->OnUnreachable(now))
    Believe(*home, ResultCode::kPeerUnreachable, now);
  for (const SendId id : ids) {
    actions_.emplace_back(CancelSend{id});
    TargetReply lost;
    lost.send = id;
    lost.outcome = SendOutcome::kBroken;
    OnReply(std::move(lost), now);
  }
}

void DispatchEngine::WatchHomes(Time now, Time* next) {
  const auto due = homes_.Watch(now, next);
  for (const auto& home : due.pings) {
    actions_.emplace_back(
        PingInstance{home->entry().id, home->entry().address});
  }
  for (const auto& home : due.silent)
    GiveUpHome(home, now);
}

void DispatchEngine::OnPing(const std::string& name, bool answered, Time now) {
  homes_.OnPing(name, answered, now);
  const auto home = homes_.Find(name);
  if (!home || !home->OnProbe(answered, now))
    return;
  Believe(*home, ResultCode::kOk, now);
  down_homes_.erase(name);
}

void DispatchEngine::PingDownHomes(Time now) {
  for (auto name = down_homes_.begin(); name != down_homes_.end();) {
    const auto home = homes_.Find(*name);
    if (!home || !home->down()) {
      name = down_homes_.erase(name);
      continue;
    }
    if (home->IsProbeDue(now)) {
      actions_.emplace_back(PingInstance{*name, home->entry().address});
      home->OnProbeSent(now);
    }
    ++name;
  }
}

}  // namespace limpetrudder
