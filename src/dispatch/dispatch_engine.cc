#include "dispatch/dispatch_engine.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/hedge_policy.h"
#include "dispatch/internal/leg_selection.h"
#include "dispatch/internal/record_merge.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// Time that an answer takes to its caller, there and back for its request, and
// for a connection that the request opened: the way to callers is 1 to 3 ms.
constexpr Duration kCallerRoundTrip = Millis(11);
constexpr Duration kConnectAllowance = Millis(7);

// The final answer leaves this long before the caller stops waiting.
constexpr Duration kDeadlineMargin = Millis(25);

// For a request that names no time and a route that names none.
constexpr Duration kDefaultTimeout = Seconds(30);

// A request that nobody waits for goes on this long, so that a paused server
// answers it and keeps its connection: pauses take a quarter of a second.
constexpr Duration kOrphanTime = Millis(350);

// Servers that another instance may have asked for one leg before it was lost:
// the first one and a hedge.
constexpr std::uint32_t kRunsOfLostHome = 2;

// Sends for one leg, refusals included.
constexpr std::uint32_t kMostSends = 4;

// A hedge is put off by this if no server can take it at the moment.
constexpr Duration kHedgeRetry = Millis(15);

// Legs that wait for room look for it this often besides whenever a request
// leaves a server, since a server may take another connection by then.
constexpr Duration kWaitPoll = Millis(10);

// How long a larger number of instances counts.
constexpr Duration kCountMemory = Seconds(20);

// Servers have found the dead connections of a lost instance by then.
constexpr Duration kStartTime = Seconds(10);

// When a caller may come back: after servers had time to recover.
constexpr Duration kRetryAfterStart = Millis(500);
constexpr Duration kRetryAfterFailure = Millis(300);

bool IsSuccess(int status) {
  return status >= http_status::kOk && status < http_status::kMultipleChoices;
}

// Whether the status says that a request has not run and never will.
bool PromisesNotRun(int status) {
  return status == http_status::kRequestTimeout ||
         status == http_status::kMisdirected ||
         status == http_status::kTooManyRequests ||
         status == http_status::kUnavailable;
}

ResultCode CodeOf(const TargetReply& reply) {
  if (reply.outcome == SendOutcome::kNotSent)
    return ResultCode::kConnectFailed;
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

double RatioOf(Duration latency, Duration usual) {
  return static_cast<double>(std::max(latency, Duration(0)).count()) /
         static_cast<double>(std::max<std::int64_t>(usual.count(), 1));
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
  FleetShare fleet{0, 0, 0};
  for (const auto& instance : instances) {
    ++fleet.instances;
    fleet.as_large += instance.cores == settings_.own.cores ? 1 : 0;
    fleet.larger += instance.cores > settings_.own.cores ? 1 : 0;
  }
  if (fleet.as_large == 0 || (fleet.instances < counted_instances_ &&
                              now - counted_at_ < kCountMemory)) {
    return;
  }
  counted_instances_ = fleet.instances;
  counted_at_ = now;
  servers_.SetFleet(fleet);
}

void DispatchEngine::Refuse(const CallRequest& call,
                            int status,
                            ResultCode code,
                            std::optional<Duration> retry_after) {
  CompleteCall action;
  action.call = call.id;
  action.reply.status = status;
  action.reply.retry_after = retry_after;
  action.record.request_id = call.message->request_id;
  action.record.routes_version = routes_version();
  action.record.status = status;
  action.record.code = code;
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
  Duration way = kCallerRoundTrip;
  if (active->call.new_connection)
    way += kConnectAllowance;
  const Duration target = active->call.forwarded ? active->call.target_left
                                                 : route->latency_target - way;
  active->answer_by =
      std::min(active->deadline, now + std::max(target, Duration(0)));
  active->record.request_id = active->call.message->request_id;
  active->record.route = route->name;
  active->record.routes_version = routes_->version();
  calls_[active->call.id] = std::move(owned);
  if (TryForward(active, now))
    return Schedule(active, now);
  GatherHere(active, /*repeated=*/false, now);
}

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
  for (const auto& [leg, reason] :
       detail::SelectLegs(groups, detail::FewestLegs(*call), target, now)) {
    FailLeg(call, leg, reason);
  }
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
  for (const SendId send : leg.open_sends) {
    sends_[send].call = 0;
    orphans_.emplace_front(now, send);
  }
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
  const detail::PlacingRequest request{
      call->route, profiles_.TimesOf(*call->route), &leg.asked};
  const detail::Placement choice = placer_.Choose(*leg.group, request, now);
  switch (choice.status) {
    case detail::PlacementStatus::kFound:
      return Send(call, leg_index, choice, now);
    case detail::PlacementStatus::kFull:
      return Wait(call, leg_index);
    case detail::PlacementStatus::kNoServer:
      return FailLeg(
          call, leg_index,
          leg.code == ResultCode::kOk ? ResultCode::kNoServer : leg.code);
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
  choice.server->OnSent(now);
  sends_[id] = {call->call.id, leg_index,   choice.server, leg.group,
                call->table,   call->route, now,           false};
  actions_.emplace_back(SendToServer{id, entry.id, entry.address,
                                     call->call.message, call->deadline - now,
                                     !call->may_repeat()});
  if (leg.open_sends.size() == 1)
    PlanHedge(call, &leg, *choice.server, now);
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
    if (server.get() == &first || !server->usable())
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
  Send(call, leg_index, choice, now);
}

void DispatchEngine::Wait(ActiveCall* call, std::size_t leg_index) {
  Leg& leg = call->legs[leg_index];
  leg.waiting = true;
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
    if (choice.status == detail::PlacementStatus::kFound) {
      Send(call, first.leg, choice, now);
      Schedule(call, now);
    } else {
      FailLeg(call, first.leg, ResultCode::kNoServer);
      Advance(call, now);
    }
  }
}

DispatchEngine::Verdict DispatchEngine::Judge(const OpenSend& send,
                                              const TargetReply& reply) const {
  if (reply.outcome == SendOutcome::kNotSent)
    return Verdict::kRejected;
  if (reply.outcome != SendOutcome::kAnswered)
    return Verdict::kLost;
  if (reply.misdirected || reply.not_executed)
    return Verdict::kRejected;
  if (IsSuccess(reply.status))
    return reply.signature.empty() ? Verdict::kLost : Verdict::kGood;
  if (PromisesNotRun(reply.status))
    return Verdict::kLost;
  if (reply.status >= http_status::kInternalError || send.route->is_scatter())
    return Verdict::kFailed;
  return Verdict::kGood;
}

void DispatchEngine::LearnPace(const OpenSend& send, Time now) {
  if (!send.route->is_scatter())
    return;
  const Duration target = send.route->latency_target - kCallerRoundTrip;
  detail::ServerPace& pace = send.server->pace();
  if (send.known_late)
    pace.OnLateAnswer();
  else
    pace_started_ |= pace.OnAnswer(target, send.sent, now);
}

void DispatchEngine::NoteLateSends(ActiveCall* call, Time now) {
  if (!call->route->is_scatter())
    return;
  for (const Leg& leg : call->legs) {
    // NOTE Second sends had less time; they say nothing yet.
    if (leg.open_sends.empty() || leg.sends != leg.open_sends.size())
      continue;
    OpenSend& first = sends_.at(leg.open_sends.front());
    first.known_late = true;
    pace_started_ |= first.server->pace().OnLate(first.sent, now);
  }
}

void DispatchEngine::Learn(const OpenSend& send,
                           const TargetReply& reply,
                           Verdict verdict,
                           Time now) {
  ServerLoad& server = *send.server;
  const std::string& data_centre = server.entry().data_centre;
  if (reply.connect_time > Duration::zero())
    topology_.OnConnected(data_centre, reply.connect_time);
  if (reply.load)
    server.OnLoad(*reply.load, now);
  switch (verdict) {
    case Verdict::kGood: {
      LearnPace(send, now);
      const Duration work = now - send.sent - reply.connect_time -
                            topology_.RoundTrip(data_centre);
      const Duration median = profiles_.TimesOf(*send.route).median;
      server.OnAnswer(RatioOf(work, median), now);
      profiles_.Record(*send.route, work, reply.body.size());
      return;
    }
    case Verdict::kRejected:
      if (reply.outcome == SendOutcome::kNotSent) {
        if (server.OnUnreachable(now))
          Believe(server, ResultCode::kConnectFailed, now);
      } else if (reply.misdirected) {
        server.MarkGone();
        Believe(server, ResultCode::kServerLeaving, now);
      } else {
        server.OnRejected(now);
      }
      return;
    case Verdict::kFailed:
    case Verdict::kLost:
      if (reply.outcome == SendOutcome::kTurnedAway)
        server.OnTurnedAway(now);
      else
        server.OnFailed(now);
      return;
  }
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
  const Verdict verdict = Judge(send, reply);
  Learn(send, reply, verdict, now);
  const auto call = calls_.find(send.call);
  if (send.call != 0 && call != calls_.end())
    OnVerdict(call->second.get(), send.leg, &reply, verdict, now);
  ServeWaiting(send.group, now);
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
    for (const SendId loser : leg.open_sends) {
      sends_[loser].call = 0;
      orphans_.emplace_back(now + kOrphanTime, loser);
    }
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
    }
  }
  reply.missing_parts =
      static_cast<std::uint32_t>(call->legs.size() - parts.size());
  reply.body = detail::MergeGreatest(parts, call->route->top_records);
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
  reply.retry_after = Duration(static_cast<std::int64_t>(
      static_cast<double>(kRetryAfterFailure.count()) *
      (0.5 + random_.Unit())));
  if (!call->may_have_run()) {
    reply.status = http_status::kUnavailable;
  } else {
    reply.status = now >= call->deadline ? http_status::kGatewayTimeout
                                         : http_status::kBadGateway;
  }
  return reply;
}

void DispatchEngine::Finish(ActiveCall* call, CallReply reply, Time now) {
  CallRecord& record = call->record;
  record.status = reply.status;
  record.took = now - call->received;
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
  const auto orphan = [&](SendId id) {
    sends_[id].call = 0;
    if (cancel_now)
      orphans_.emplace_front(now, id);
    else
      orphans_.emplace_back(now + kOrphanTime, id);
  };
  if (call->home_send != 0)
    orphan(call->home_send);
  for (const auto& batch : call->batches) {
    if (batch.send != 0)
      orphan(batch.send);
  }
  for (std::size_t i = 0; i < call->legs.size(); ++i) {
    StopWaiting(*call, i);
    for (const SendId id : call->legs[i].open_sends)
      orphan(id);
  }
  wakes_.erase({call->wake, call->call.id});
  calls_.erase(call->call.id);
  if (cancel_now)
    CancelOrphans(now);
}

void DispatchEngine::OnCallerLeft(CallId call, Time now) {
  const auto found = calls_.find(call);
  if (found != calls_.end())
    Forget(found->second.get(), now, /*cancel_now=*/true);
}

void DispatchEngine::CancelOrphans(Time now) {
  detail::GroupSet groups;
  while (!orphans_.empty() && orphans_.front().first <= now) {
    const SendId id = orphans_.front().second;
    orphans_.pop_front();
    const auto found = sends_.find(id);
    if (found == sends_.end())
      continue;
    const OpenSend send = std::move(found->second);
    sends_.erase(found);
    ServerLoad& server = *send.server;
    server.OnSettled();
    actions_.emplace_back(CancelSend{id});
    if (send.group == nullptr)
      continue;
    const Duration elapsed = now - send.sent;
    const double ratio =
        RatioOf(elapsed, profiles_.TimesOf(*send.route).median);
    if (server.OnUnanswered(ratio, elapsed, now))
      Believe(server, ResultCode::kConnectionSilent, now);
    groups.insert(send.group);
  }
  for (detail::ServerGroup* group : groups)
    ServeWaiting(group, now);
}

void DispatchEngine::SendProbes(Time now) {
  for (auto id = down_.begin(); id != down_.end();) {
    const auto server = servers_.Find(*id);
    if (!server || server->gone() || !server->down()) {
      id = down_.erase(id);
      continue;
    }
    if (server->IsProbeDue(now)) {
      const ServerEntry& entry = server->entry();
      actions_.emplace_back(ProbeHealth{
          entry.id, entry.address, servers_.Group(entry.service)->health_path});
      server->OnProbeSent(now);
    }
    ++id;
  }
}

void DispatchEngine::OnProbe(const std::string& id, bool healthy, Time now) {
  const auto server = servers_.Find(id);
  if (!server || !server->OnProbe(healthy, now))
    return;
  Believe(*server, ResultCode::kOk, now);
  down_.erase(id);
  ServeWaiting(servers_.Group(server->entry().service), now);
}

void DispatchEngine::Believe(const ServerLoad& server,
                             ResultCode reason,
                             Time now) {
  if (server.down()) {
    auto& down = server.entry().service.empty() ? down_homes_ : down_;
    down.insert(server.entry().id);
  }
  actions_.emplace_back(ServerBelief{server.entry().id, server.entry().service,
                                     reason, now - server.last_heard(),
                                     server.in_flight()});
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
  for (const auto& id : down_) {
    if (const auto server = servers_.Find(id))
      next = std::min(next, server->next_probe());
  }
  return next;
}

std::vector<DispatchAction> DispatchEngine::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace limpetrudder
