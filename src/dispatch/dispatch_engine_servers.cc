// What the engine learns of servers from requests that end there.

#include <algorithm>
#include <utility>

#include "dispatch/dispatch_engine.h"
#include "dispatch/internal/answer_policy.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// A request that nobody waits for goes on this long, so that a paused server
// answers it and keeps its connection: pauses take a quarter of a second.
constexpr Duration kOrphanTime = Millis(350);

// Other instances are told of a leaving server for this long: each forwards
// several calls a second, and the store's list tells all of them after about a
// second.
constexpr Duration kLeavingNewsTime = Seconds(2);

// Leaving servers told of in one answer; each takes about 30 bytes.
constexpr std::size_t kMostLeavingTold = 16;

// Whether the status says that a request has not run and never will.
bool PromisesNotRun(int status) {
  return status == http_status::kRequestTimeout ||
         status == http_status::kMisdirected ||
         status == http_status::kTooManyRequests ||
         status == http_status::kUnavailable;
}

double LatencyRatio(Duration latency, Duration usual) {
  return RatioOf(std::max(latency, Duration(0)), std::max(usual, Duration(1)));
}

}  // namespace

DispatchEngine::Verdict DispatchEngine::Judge(const OpenSend& send,
                                              const TargetReply& reply) const {
  if (reply.outcome == SendOutcome::kNotSent)
    return Verdict::kRejected;
  if (reply.outcome != SendOutcome::kAnswered)
    return Verdict::kLost;
  if (reply.misdirected || reply.not_executed)
    return Verdict::kRejected;
  if (http_status::IsSuccess(reply.status))
    return reply.signature.empty() ? Verdict::kLost : Verdict::kGood;
  if (PromisesNotRun(reply.status))
    return Verdict::kLost;
  if (reply.status >= http_status::kInternalError || send.route->is_scatter())
    return Verdict::kFailed;
  return Verdict::kGood;
}

void DispatchEngine::Heed(ServerLoad& server,
                          bool leaving,
                          std::optional<Duration> backoff,
                          Time now) {
  const ServerEntry& entry = server.entry();
  if (leaving)
    OnLeaving({entry.id, entry.started_ms}, now);
  if (!backoff || !server.notice().OnBackoff(*backoff, now))
    return;
  backing_off_.insert(entry.id);
  actions_.emplace_back(BackoffBelief{entry.id, entry.service, true, *backoff});
}

void DispatchEngine::OnLeaving(const LeavingServer& leaving, Time now) {
  if (!servers_.OnLeaving(leaving))
    return;
  leaving_news_.push_back({leaving, now + kLeavingNewsTime});
  if (leaving_news_.size() > kMostLeavingTold)
    leaving_news_.pop_front();
  if (const auto server = servers_.Find(leaving.id))
    Believe(*server, ResultCode::kServerLeaving, now);
}

std::vector<LeavingServer> DispatchEngine::LeavingToTell(Time now) {
  while (!leaving_news_.empty() && leaving_news_.front().until <= now)
    leaving_news_.pop_front();
  std::vector<LeavingServer> leaving;
  for (const auto& news : leaving_news_)
    leaving.push_back(news.server);
  return leaving;
}

void DispatchEngine::EndBackoffs(Time now, Time* next) {
  for (auto id = backing_off_.begin(); id != backing_off_.end();) {
    const auto server = servers_.Find(*id);
    if (server && server->notice().IsBackingOff(now)) {
      *next = std::min(*next, server->notice().backoff_until());
      ++id;
      continue;
    }
    if (server) {
      actions_.emplace_back(
          BackoffBelief{*id, server->entry().service, false, Duration(0)});
    }
    id = backing_off_.erase(id);
  }
}

void DispatchEngine::LearnDelay(const OpenSend& send,
                                const TargetReply& reply,
                                Time now) {
  if (!send.route->is_scatter() || !reply.load)
    return;
  detail::PartDelay delay;
  delay.load = *reply.load;
  delay.refused = reply.not_executed;
  delay.took = now - send.sent - reply.connect_time -
               topology_.RoundTrip(send.server->entry().data_centre);
  const auto call = calls_.find(send.call);
  if (send.call != 0 && call != calls_.end())
    delay.waited_here = call->second->legs[send.leg].waited;
  admission_.OnPart(*send.route, delay, now);
}

void DispatchEngine::LearnPace(const OpenSend& send, Time now) {
  if (!send.route->is_scatter())
    return;
  const Duration target =
      detail::TargetHere(*send.route, /*new_connection=*/false);
  detail::ServerPace& pace = send.server->pace();
  if (send.known_late)
    pace.OnLateAnswer();
  else
    NotePace(*send.server, pace.OnAnswer(target, send.sent, now));
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
    NotePace(*first.server, first.server->pace().OnLate(first.sent, now));
  }
}

void DispatchEngine::NotePace(ServerLoad& server, detail::PaceChange change) {
  if (change == detail::PaceChange::kNone)
    return;
  const bool paced = change == detail::PaceChange::kStarted;
  pace_started_ |= paced;
  actions_.emplace_back(PaceBelief{server.entry().id, server.entry().service,
                                   paced, server.pace().rate(),
                                   server.in_flight()});
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
  // NOTE Another server at the same address speaks for itself only.
  if (!reply.misdirected)
    Heed(server, reply.leaving, reply.backoff, now);
  switch (verdict) {
    case Verdict::kGood: {
      LearnPace(send, now);
      const Duration work = now - send.sent - reply.connect_time -
                            topology_.RoundTrip(data_centre);
      const Duration median = profiles_.TimesOf(*send.route).median;
      server.OnAnswer(LatencyRatio(work, median), now);
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

void DispatchEngine::Abandon(SendId send, bool cancel_now, Time now) {
  sends_.at(send).call = 0;
  if (cancel_now)
    orphans_.emplace_front(now, send);
  else
    orphans_.emplace_back(now + kOrphanTime, send);
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
    if (send.group == nullptr || !send.IsCurrent())
      continue;
    const Duration elapsed = now - send.sent;
    const double ratio =
        LatencyRatio(elapsed, profiles_.TimesOf(*send.route).median);
    if (server.OnUnanswered(ratio, elapsed, now))
      Believe(server, ResultCode::kConnectionSilent, now);
    groups.insert(send.group);
  }
  for (detail::ServerGroup* group : groups)
    ServeWaiting(group, now);
}

void DispatchEngine::SendProbes(Time now) {
  for (auto id = down_.begin(); id != down_.end();) {
    const auto server = servers_.Find(id->first);
    if (!server || server->gone() || !server->down()) {
      id = down_.erase(id);
      continue;
    }
    if (server->IsProbeDue(now)) {
      const ServerEntry& entry = server->entry();
      id->second = entry.started_ms;
      actions_.emplace_back(ProbeHealth{
          entry.id, entry.address, servers_.Group(entry.service)->health_path});
      server->OnProbeSent(now);
    }
    ++id;
  }
}

void DispatchEngine::OnProbe(const std::string& id,
                             const ProbeReply& reply,
                             Time now) {
  const auto server = servers_.Find(id);
  const auto probed = down_.find(id);
  if (!server || probed == down_.end() ||
      probed->second != server->entry().started_ms) {
    return;
  }
  Heed(*server, reply.leaving, reply.backoff, now);
  if (!server->OnProbe(reply.healthy, now))
    return;
  Believe(*server, ResultCode::kOk, now);
  down_.erase(id);
  ServeWaiting(servers_.Group(server->entry().service), now);
}

void DispatchEngine::Believe(const ServerLoad& server,
                             ResultCode reason,
                             Time now) {
  if (server.down()) {
    const ServerEntry& entry = server.entry();
    if (entry.service.empty())
      down_homes_.insert(entry.id);
    else
      down_.try_emplace(entry.id, entry.started_ms);
  }
  std::optional<Duration> unheard;
  if (server.last_heard() != Time{})
    unheard = now - server.last_heard();
  actions_.emplace_back(ServerBelief{server.entry().id, server.entry().service,
                                     reason, unheard, server.in_flight()});
}

}  // namespace limpetrudder
