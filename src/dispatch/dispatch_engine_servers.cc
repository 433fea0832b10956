// The part of the engine that updates the state of servers from their replies
// and from requests without one.

#include <algorithm>
#include <utility>

#include "dispatch/dispatch_engine.h"
#include "dispatch/internal/answer_policy.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// An orphaned attempt is aborted after this time. Until then a server that
// pauses, which takes a quarter of a second, can still answer it, and the
// connection stays usable.
constexpr Duration kOrphanTime = Millis(350);

// A leaving server is announced to other instances for this long: each of them
// forwards several calls per second, and all of them learn it from the store
// after about a second.
constexpr Duration kLeavingNoticeTime = Seconds(2);

// Leaving servers announced in one reply; each takes about 30 bytes.
constexpr std::size_t kMaxLeavingNotices = 16;

// Whether the status means that a request has not run and won't run.
bool MeansNotRun(int status) {
  return status == http_status::kRequestTimeout ||
         status == http_status::kMisdirected ||
         status == http_status::kTooManyRequests ||
         status == http_status::kUnavailable;
}

double LatencyRatio(Duration latency, Duration usual) {
  return RatioOf(std::max(latency, Duration(0)), std::max(usual, Duration(1)));
}

}  // namespace

DispatchEngine::ReplyClass DispatchEngine::ClassifyReply(
    const PendingAttempt& attempt,
    const TargetReply& reply) const {
  if (reply.outcome == AttemptOutcome::kNotSent)
    return ReplyClass::kRejected;
  if (reply.outcome != AttemptOutcome::kAnswered)
    return ReplyClass::kLost;
  if (reply.misdirected || reply.not_executed)
    return ReplyClass::kRejected;
  if (http_status::IsSuccess(reply.status))
    return reply.signature.empty() ? ReplyClass::kLost : ReplyClass::kUsable;
  if (MeansNotRun(reply.status))
    return ReplyClass::kLost;
  if (reply.status >= http_status::kInternalError ||
      attempt.route->is_scatter())
    return ReplyClass::kFailed;
  return ReplyClass::kUsable;
}

void DispatchEngine::ApplyServerDirectives(ServerLoad& server,
                                           bool leaving,
                                           std::optional<Duration> backoff,
                                           Time now) {
  const ServerEntry& entry = server.entry();
  if (leaving)
    OnLeaving({entry.id, entry.started_ms}, now);
  if (!backoff || !server.directives().OnBackoff(*backoff, now))
    return;
  backing_off_servers_.insert(entry.id);
  actions_.emplace_back(BackoffChange{entry.id, entry.service, true, *backoff});
}

void DispatchEngine::ApplyRateLimit(const PendingAttempt& attempt,
                                    const RateLimitNotice& notice,
                                    Time now) {
  if (!servers_.OnRateLimit(*attempt.server, notice, attempt.sent, now))
    return;
  detail::RateLimiter& limiter = attempt.server->rate_limiter();
  const ServerEntry& entry = attempt.server->entry();
  actions_.emplace_back(RateLimitChange{entry.id, entry.service,
                                        limiter.limit(), limiter.rate(),
                                        limiter.TakeSentCount()});
}

void DispatchEngine::OnLeaving(const LeavingServer& leaving, Time now) {
  if (!servers_.OnLeaving(leaving))
    return;
  leaving_notices_.push_back({leaving, now + kLeavingNoticeTime});
  if (leaving_notices_.size() > kMaxLeavingNotices)
    leaving_notices_.pop_front();
  if (const auto server = servers_.Find(leaving.id))
    ReportServerState(*server, ResultCode::kServerLeaving, now);
}

std::vector<LeavingServer> DispatchEngine::RecentLeavingServers(Time now) {
  while (!leaving_notices_.empty() && leaving_notices_.front().until <= now)
    leaving_notices_.pop_front();
  std::vector<LeavingServer> leaving;
  for (const auto& notice : leaving_notices_)
    leaving.push_back(notice.server);
  return leaving;
}

void DispatchEngine::EndBackoffs(Time now, Time* next) {
  for (auto id = backing_off_servers_.begin();
       id != backing_off_servers_.end();) {
    const auto server = servers_.Find(*id);
    if (server && server->directives().IsBackingOff(now)) {
      *next = std::min(*next, server->directives().backoff_until());
      ++id;
      continue;
    }
    if (server) {
      actions_.emplace_back(
          BackoffChange{*id, server->entry().service, false, Duration(0)});
    }
    id = backing_off_servers_.erase(id);
  }
}

void DispatchEngine::OnPossibleRestart(const PendingAttempt& attempt,
                                       Time now) {
  ServerLoad& server = *attempt.server;
  if (!servers_.OnColdDoubt(server, now))
    return;
  ReportWarmupChanges();
  // NOTE A server that is down is probed anyway.
  if (!server.down()) {
    probed_servers_.try_emplace(server.entry().id, server.entry().started_ms);
    ProbeServer(server);
  }
}

void DispatchEngine::ReportWarmupChanges() {
  for (auto& cold : servers_.TakeColdServers())
    actions_.emplace_back(std::move(cold));
}

void DispatchEngine::RecordQueueDelay(const PendingAttempt& attempt,
                                      const TargetReply& reply,
                                      Time now) {
  if (!attempt.route->is_scatter() || !reply.load)
    return;
  detail::PartDelay delay;
  delay.load = *reply.load;
  delay.refused = reply.not_executed;
  delay.server_time = now - attempt.sent - reply.connect_time -
                      topology_.RoundTrip(attempt.server->entry().data_centre);
  const auto call = calls_.find(attempt.call);
  if (attempt.call != 0 && call != calls_.end())
    delay.local_wait = call->second->sub_queries[attempt.sub_query].queued_for;
  admission_.OnPart(*attempt.route, delay, now);
}

void DispatchEngine::UpdatePacing(const PendingAttempt& attempt, Time now) {
  if (!attempt.route->is_scatter())
    return;
  const Duration target =
      detail::LocalLatencyTarget(*attempt.route, /*new_connection=*/false);
  detail::ServerPacer& pacer = attempt.server->pacer();
  if (attempt.late_recorded)
    pacer.OnLateAnswer();
  else
    ReportPacing(*attempt.server, pacer.OnAnswer(target, attempt.sent, now));
}

void DispatchEngine::RecordLateAttempts(ActiveCall* call, Time now) {
  if (!call->route->is_scatter())
    return;
  for (const SubQuery& sub_query : call->sub_queries) {
    // NOTE Second attempts had less time, so they don't show yet whether their
    // servers are late.
    if (sub_query.pending_attempts.empty() ||
        sub_query.attempts != sub_query.pending_attempts.size())
      continue;
    PendingAttempt& first = attempts_.at(sub_query.pending_attempts.front());
    first.late_recorded = true;
    ReportPacing(*first.server, first.server->pacer().OnLate(first.sent, now));
  }
}

void DispatchEngine::ReportPacing(ServerLoad& server,
                                  detail::PacerTransition transition) {
  if (transition == detail::PacerTransition::kNone)
    return;
  const bool paced = transition == detail::PacerTransition::kStarted;
  pacing_started_ |= paced;
  actions_.emplace_back(PacingChange{server.entry().id, server.entry().service,
                                     paced, server.pacer().rate(),
                                     server.in_flight()});
}

void DispatchEngine::RecordReply(const PendingAttempt& attempt,
                                 const TargetReply& reply,
                                 ReplyClass reply_class,
                                 Time now) {
  ServerLoad& server = *attempt.server;
  const std::string& data_centre = server.entry().data_centre;
  if (reply.connect_time > Duration::zero())
    topology_.OnConnected(data_centre, reply.connect_time);
  if (reply.load)
    server.OnLoad(*reply.load, now);
  // NOTE If another server has the address now, what it asks for concerns only
  // itself.
  if (!reply.misdirected) {
    ApplyServerDirectives(server, reply.leaving, reply.backoff, now);
    if (reply.outcome == AttemptOutcome::kAnswered)
      ApplyRateLimit(attempt, reply.rate_limit, now);
  }
  switch (reply_class) {
    case ReplyClass::kUsable: {
      UpdatePacing(attempt, now);
      const Duration work = now - attempt.sent - reply.connect_time -
                            topology_.RoundTrip(data_centre);
      const Duration median = profiles_.TimesOf(*attempt.route).median;
      server.OnAnswer(LatencyRatio(work, median), now);
      profiles_.Record(*attempt.route, work, reply.body.size());
      return;
    }
    case ReplyClass::kRejected:
      if (reply.outcome == AttemptOutcome::kNotSent) {
        if (server.OnConnectionFailed(now))
          ReportServerState(server, ResultCode::kConnectFailed, now);
        OnPossibleRestart(attempt, now);
      } else if (reply.misdirected) {
        server.MarkGone();
        ReportServerState(server, ResultCode::kServerLeaving, now);
      } else {
        server.OnRejected(now);
      }
      return;
    case ReplyClass::kFailed:
    case ReplyClass::kLost:
      if (reply.outcome == AttemptOutcome::kConnectionRejected) {
        server.OnConnectionRejected(now);
      } else if (reply.outcome == AttemptOutcome::kBroken) {
        server.OnConnectionBroken(now);
        OnPossibleRestart(attempt, now);
      } else {
        server.OnFailed(now);
      }
      return;
  }
}

void DispatchEngine::OrphanAttempt(AttemptId attempt,
                                   bool cancel_now,
                                   Time now) {
  PendingAttempt& orphan = attempts_.at(attempt);
  orphan.call = 0;
  // NOTE The result of a trial concerns other callers as well.
  if (cancel_now && orphan.trial_digest.empty())
    orphaned_attempts_.emplace_front(now, attempt);
  else
    orphaned_attempts_.emplace_back(now + kOrphanTime, attempt);
}

void DispatchEngine::AbortOrphanedAttempts(Time now) {
  detail::GroupSet groups;
  while (!orphaned_attempts_.empty() &&
         orphaned_attempts_.front().first <= now) {
    const AttemptId id = orphaned_attempts_.front().second;
    orphaned_attempts_.pop_front();
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
      continue;
    const PendingAttempt attempt = std::move(found->second);
    attempts_.erase(found);
    ServerLoad& server = *attempt.server;
    server.OnRequestEnded();
    actions_.emplace_back(AbortAttempt{id});
    if (attempt.group == nullptr || !attempt.IsCurrent())
      continue;
    const Duration elapsed = now - attempt.sent;
    const double ratio =
        LatencyRatio(elapsed, profiles_.TimesOf(*attempt.route).median);
    if (server.OnUnanswered(ratio, elapsed, now))
      ReportServerState(server, ResultCode::kConnectionSilent, now);
    groups.insert(attempt.group);
  }
  for (detail::ServerGroup* group : groups)
    DispatchQueued(group, now);
}

void DispatchEngine::SendProbes(Time now) {
  for (auto id = probed_servers_.begin(); id != probed_servers_.end();) {
    const auto server = servers_.Find(id->first);
    if (!server || server->gone() ||
        (!server->down() && !server->warmup().InDoubt(now))) {
      id = probed_servers_.erase(id);
      continue;
    }
    if (server->IsProbeDue(now)) {
      id->second = server->entry().started_ms;
      ProbeServer(*server);
      server->OnProbeSent(now);
    }
    ++id;
  }
}

void DispatchEngine::ProbeServer(const ServerLoad& server) {
  const ServerEntry& entry = server.entry();
  actions_.emplace_back(ProbeHealth{
      entry.id, entry.address, servers_.Group(entry.service)->health_path});
}

void DispatchEngine::OnProbe(const std::string& id,
                             const ProbeReply& reply,
                             Time now) {
  // NOTE A connection that is reset tells nothing: servers reset those above
  // their limit.
  if (reply.reachable || reply.refused)
    FinishCrashChecks(id, reply.refused, now);
  if (reply.reachable)
    OnServerResponse(now);
  const auto server = servers_.Find(id);
  const auto probed = probed_servers_.find(id);
  if (!server || probed == probed_servers_.end() ||
      probed->second != server->entry().started_ms) {
    return;
  }
  ApplyServerDirectives(*server, reply.leaving, reply.backoff, now);
  if (reply.healthy) {
    servers_.OnWarmup(*server, reply.warmup_left, now);
    ReportWarmupChanges();
  }
  if (!server->OnProbe(reply.healthy, now))
    return;
  ReportServerState(*server, ResultCode::kOk, now);
  probed_servers_.erase(id);
  DispatchQueued(servers_.Group(server->entry().service), now);
}

void DispatchEngine::OnServerResponse(Time now) {
  if (!contact_.OnResponse(now))
    return;
  actions_.emplace_back(ServerContactChange{false, std::nullopt});
}

void DispatchEngine::CheckServerContact(Time now, Time* next) {
  if (contact_.Check(now)) {
    std::optional<Duration> since_last_response;
    if (contact_.last_response() != Time{})
      since_last_response = now - contact_.last_response();
    actions_.emplace_back(ServerContactChange{true, since_last_response});
  }
  if (contact_.TakeProbe(now)) {
    if (const auto server = servers_.RandomServer(&random_))
      ProbeServer(*server);
  }
  *next = std::min(*next, contact_.NextCheck());
}

void DispatchEngine::ReportServerState(const ServerLoad& server,
                                       ResultCode reason,
                                       Time now) {
  coordinators_.ClearDistances();
  if (server.down()) {
    const ServerEntry& entry = server.entry();
    if (entry.service.empty())
      down_coordinators_.insert(entry.id);
    else
      probed_servers_.try_emplace(entry.id, entry.started_ms);
  }
  std::optional<Duration> since_last_response;
  if (server.last_response() != Time{})
    since_last_response = now - server.last_response();
  actions_.emplace_back(
      ServerStateChange{server.entry().id, server.entry().service, reason,
                        since_last_response, server.in_flight()});
}

}  // namespace limpetrudder
