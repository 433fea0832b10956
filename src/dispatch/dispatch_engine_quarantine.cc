// The part of the engine that keeps requests under which servers crash from
// crashing more of them.

#include <algorithm>
#include <set>
#include <utility>

#include "dispatch/dispatch_engine.h"
#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/request_digest.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// A search is suspected when this many servers have broken off under it and
// none has answered: those that don't crash answer in about the same time.
constexpr std::uint32_t kBrokenBeforeSuspicion = 2;

// A server that has answered a request and still runs after this time hasn't
// crashed under it.
constexpr Duration kSurvivalTime = Millis(40);

// A search waits this long for the probe that tells whether a server crashed
// under it: a round trip between regions and some more. If a server has
// answered, it waits for the probe of that one.
constexpr Duration kMaxProbeWait = Millis(60);
constexpr Duration kMaxSurvivalWait = kSurvivalTime + kMaxProbeWait;

// A trial takes about as long as an answer, and its result is passed on at
// once.
constexpr Duration kTrialRetryAfter = Millis(200);

// How long the probe of a server tells whether it crashed under a request:
// servers need seconds to start again.
constexpr Duration kCrashCheckTime = Seconds(1);
constexpr std::size_t kMaxCrashChecks = 256;

}  // namespace

RequestStanding DispatchEngine::StandingOf(const CallRequest& call,
                                           Time now) const {
  return quarantine_.empty()
             ? RequestStanding::kClear
             : quarantine_.StandingOf(
                   detail::DigestOf(*call.message, call.account), now);
}

const std::string& DispatchEngine::DigestOf(ActiveCall* call) {
  if (call->digest.empty())
    call->digest = detail::DigestOf(*call->call.message, call->call.account);
  return call->digest;
}

bool DispatchEngine::RefuseQuarantined(const CallRequest& call, Time now) {
  if (StandingOf(call, now) != RequestStanding::kQuarantined)
    return false;
  const Time next =
      quarantine_.NextSend(detail::DigestOf(*call.message, call.account), now);
  Refuse(call, http_status::kUnavailable, ResultCode::kRequestQuarantined,
         next - now);
  return true;
}

bool DispatchEngine::AssignTrial(ActiveCall* call, Time now) {
  const std::string& digest = DigestOf(call);
  const auto owners =
      trial_owners_.OwnersOf(digest, quarantine_.FailedTrials(digest));
  call->trial_owner = owners.front();
  for (const std::string& owner : owners) {
    const bool is_own = owner == settings_.own.name;
    if (!is_own && (call->call.forwarded || !MayOwnTrial(*call, owner)))
      continue;
    call->trial_owner = is_own ? "" : owner;
    return !is_own || quarantine_.NextSend(digest, now) <= now;
  }
  return false;
}

bool DispatchEngine::MayOwnTrial(const ActiveCall& call,
                                 const std::string& instance) const {
  const auto load = coordinators_.Find(instance);
  return load && !load->down() &&
         call.region_filter.Allows(load->entry().data_centre);
}

void DispatchEngine::RefuseUntried(const CallRequest& call) {
  Refuse(call, http_status::kUnavailable, ResultCode::kRequestSuspected,
         kTrialRetryAfter);
}

void DispatchEngine::EndUntried(ActiveCall* call, bool may_have_run, Time now) {
  if (may_have_run) {
    EndWithout(call, http_status::kBadGateway, ResultCode::kPeerUnreachable,
               kTrialRetryAfter, now);
  } else {
    EndWithout(call, http_status::kUnavailable, ResultCode::kRequestSuspected,
               kTrialRetryAfter, now);
  }
}

bool DispatchEngine::ClaimTrial(ActiveCall* call, Time now) {
  if (!quarantine_.ClaimTrial(DigestOf(call), now))
    return false;
  call->trial_claimed_at = now;
  SendChanges(exchange_.OnOwnChange(), {call->digest}, now);
  return true;
}

bool DispatchEngine::MayNotTry(const ActiveCall& call, Time now) const {
  return call.trial && call.answered == 0 &&
         !quarantine_.HoldsTrial(call.digest, call.trial_claimed_at, now);
}

void DispatchEngine::OnOrphanedTrialReply(const PendingAttempt& attempt,
                                          const TargetReply& reply,
                                          Time now) {
  CrashCheck check{attempt.server->entry().id, attempt.trial_digest,
                   attempt.sent, now};
  if (reply.outcome == AttemptOutcome::kNotSent || reply.not_executed)
    return;
  check.answered = reply.outcome == AttemptOutcome::kAnswered;
  if (check.answered)
    check.due = now + kSurvivalTime;
  CheckCrash(std::move(check), now);
}

void DispatchEngine::StartTrial(ActiveCall* call, Time now) {
  const std::size_t count = call->sub_queries.size();
  const std::size_t first = random_.Below(count);
  for (std::size_t i = 0; i < count && !MayNotTry(*call, now); ++i) {
    const std::size_t index = (first + i) % count;
    SubQuery& sub_query = call->sub_queries[index];
    if (sub_query.state != detail::SubQueryState::kOpen ||
        sub_query.runs >= call->route->max_attempts) {
      continue;
    }
    ResumeSubQuery(call, index, now);
    if (sub_query.state == detail::SubQueryState::kOpen)
      return;
  }
  FailOpenSubQueries(call);
}

void DispatchEngine::ResumeSubQuery(ActiveCall* call,
                                    std::size_t index,
                                    Time now) {
  SubQuery& sub_query = call->sub_queries[index];
  if (sub_query.attempts == 0 && !sub_query.delegated)
    StartSubQuery(call, index, /*repeated=*/false, now);
  else
    RetryOrFail(call, index, now);
}

void DispatchEngine::FailOpenSubQueries(ActiveCall* call) {
  for (std::size_t i = 0; i < call->sub_queries.size(); ++i) {
    if (call->sub_queries[i].state == detail::SubQueryState::kOpen)
      FailSubQuery(call, i, ResultCode::kRequestSuspected);
  }
}

void DispatchEngine::CancelAttempts(ActiveCall* call, Time now) {
  for (std::size_t i = 0; i < call->sub_queries.size(); ++i) {
    SubQuery& sub_query = call->sub_queries[i];
    Dequeue(*call, i);
    sub_query.queued = false;
    sub_query.hedge_at = kNever;
    for (const AttemptId attempt : sub_query.pending_attempts)
      OrphanAttempt(attempt, /*cancel_now=*/true, now);
    sub_query.pending_attempts.clear();
  }
  for (auto& batch : call->batches) {
    if (batch.attempt == 0)
      continue;
    OrphanAttempt(std::exchange(batch.attempt, 0), /*cancel_now=*/true, now);
    // NOTE How many servers ran these parts is only known to the other
    // instance.
    for (const std::size_t index : batch.sub_queries)
      call->sub_queries[index].runs = call->route->max_attempts;
  }
  AbortOrphanedAttempts(now);
}

bool DispatchEngine::OnPossibleCrash(ActiveCall* call,
                                     const PendingAttempt& attempt,
                                     Time now) {
  ++call->broken_attempts;
  const bool is_scatter = call->route->is_scatter();
  const std::string& digest = DigestOf(call);
  const CrashCheck check{attempt.server->entry().id, digest, attempt.sent, now};
  if (call->trial || quarantine_.IsTrial(digest, attempt.sent, now)) {
    CheckCrash(check, now);
    CancelAttempts(call, now);
    FailOpenSubQueries(call);
    return true;
  }
  if (is_scatter) {
    const auto min_broken =
        std::min<std::size_t>(kBrokenBeforeSuspicion, call->sub_queries.size());
    const bool is_suspect = call->broken_attempts >= min_broken;
    if (call->answered > 0 && !(is_suspect && CheckSurvivor(call, now)))
      return false;
    const Duration max_wait =
        call->answered > 0 ? kMaxSurvivalWait : kMaxProbeWait;
    call->suspended_until = std::min(call->suspended_until, now + max_wait);
    if (!is_suspect || call->answered > 0)
      return true;
  }
  quarantine_.Suspect(digest, now);
  CheckCrash(check, now);
  return is_scatter;
}

void DispatchEngine::OnCrashConfirmed(ActiveCall* call, Time now) {
  call->suspended_until = kNever;
  CancelAttempts(call, now);
  if (call->is_partial() || call->trial || !ClaimTrial(call, now)) {
    FailOpenSubQueries(call);
  } else {
    call->trial = true;
    call->survival_checked = false;
    StartTrial(call, now);
  }
}

void DispatchEngine::Resume(ActiveCall* call, Time now) {
  call->suspended_until = kNever;
  if (std::exchange(call->trial, false))
    return ResumeAfterTrial(call, now);
  for (std::size_t i = 0; i < call->sub_queries.size(); ++i) {
    const SubQuery& sub_query = call->sub_queries[i];
    if (sub_query.state == detail::SubQueryState::kOpen && !sub_query.queued &&
        sub_query.pending_attempts.empty() && sub_query.attempts > 0) {
      RetryOrFail(call, i, now);
    }
  }
}

void DispatchEngine::ResumeAfterTrial(ActiveCall* call, Time now) {
  if (call->attempts_started() == 1 && !call->is_partial())
    DelegateRemoteSubQueries(call, now);
  for (std::size_t i = 0; i < call->sub_queries.size(); ++i) {
    const SubQuery& sub_query = call->sub_queries[i];
    const bool waits = sub_query.pending_attempts.empty() &&
                       !sub_query.queued &&
                       sub_query.state == detail::SubQueryState::kOpen;
    if (waits && (!sub_query.delegated || sub_query.runs > 0))
      ResumeSubQuery(call, i, now);
  }
}

void DispatchEngine::EndSuspensions(const CrashCheck& check,
                                    bool crashed,
                                    Time now) {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_) {
    if (call->suspended_until == kNever || call->digest != check.digest)
      continue;
    // NOTE What becomes of a server that answered says more.
    if (!call->survival_checked || check.answered)
      ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const CallId id : ids) {
    const auto found = calls_.find(id);
    if (found == calls_.end())
      continue;
    ActiveCall* call = found->second.get();
    if (crashed)
      OnCrashConfirmed(call, now);
    else
      Resume(call, now);
    if (!TryFinish(call, now))
      ScheduleWakeup(call, now);
  }
}

void DispatchEngine::OnServerAnswered(ActiveCall* call,
                                      const std::string& server,
                                      Time sent,
                                      Time now) {
  const bool in_doubt =
      call->trial ||
      (!quarantine_.empty() && quarantine_.IsInDoubt(DigestOf(call), now));
  if (!in_doubt) {
    if (call->suspended_until != kNever && !call->survival_checked)
      Resume(call, now);
    return;
  }
  if (call->survival_checked)
    return;
  CheckSurvival(call, server, sent, now);
  if (call->route->is_scatter())
    call->suspended_until = now + kMaxSurvivalWait;
}

void DispatchEngine::CheckSurvival(ActiveCall* call,
                                   const std::string& server,
                                   Time sent,
                                   Time now) {
  call->survival_checked = true;
  CheckCrash({.server = server,
              .digest = DigestOf(call),
              .sent = sent,
              .due = now + kSurvivalTime,
              .answered = true},
             now);
}

bool DispatchEngine::CheckSurvivor(ActiveCall* call, Time now) {
  if (call->survival_checked)
    return true;
  for (const SubQuery& sub_query : call->sub_queries) {
    if (sub_query.state != detail::SubQueryState::kAnswered ||
        sub_query.attempts == 0) {
      continue;
    }
    CheckSurvival(call, sub_query.last_server, now, now);
    return true;
  }
  return false;
}

void DispatchEngine::CheckCrash(CrashCheck check, Time now) {
  std::erase_if(crash_checks_, [now](const CrashCheck& old) {
    return now - old.due > kCrashCheckTime;
  });
  if (crash_checks_.size() < kMaxCrashChecks)
    crash_checks_.push_back(std::move(check));
}

void DispatchEngine::ProbeForCrashes(Time now, Time* next) {
  std::set<std::string> probed;
  for (const CrashCheck& check : crash_checks_) {
    if (check.probed)
      probed.insert(check.server);
  }
  for (CrashCheck& check : crash_checks_) {
    if (check.probed)
      continue;
    if (now < check.due) {
      *next = std::min(*next, check.due);
      continue;
    }
    check.probed = true;
    const auto server = servers_.Find(check.server);
    if (server && probed.insert(check.server).second)
      ProbeServer(*server);
  }
}

void DispatchEngine::FinishCrashChecks(const std::string& server,
                                       bool crashed,
                                       Time now) {
  std::vector<CrashCheck> checks;
  std::erase_if(crash_checks_, [&](const CrashCheck& check) {
    if (check.server != server || !check.probed)
      return false;
    if (now - check.due <= kCrashCheckTime)
      checks.push_back(check);
    return true;
  });
  std::vector<std::string> changed;
  for (const CrashCheck& check : checks) {
    if (ApplyCrashCheck(check, crashed, now)) {
      ReportStanding(check.digest, crashed ? server : "", now);
      changed.push_back(check.digest);
    }
    EndSuspensions(check, crashed, now);
  }
  if (!changed.empty())
    SendChanges(exchange_.OnOwnChange(), changed, now);
}

bool DispatchEngine::ApplyCrashCheck(const CrashCheck& check,
                                     bool crashed,
                                     Time now) {
  if (crashed)
    return quarantine_.OnCrash(check.digest, check.sent, now);
  if (check.answered)
    return quarantine_.OnAnswered(check.digest, now);
  quarantine_.OnNoCrash(check.digest);
  return false;
}

void DispatchEngine::OnQuarantineNotices(
    const std::vector<QuarantineNotice>& notices,
    NoticeScope scope,
    Time now) {
  if (scope == NoticeScope::kAll)
    exchange_.OnHeard();
  std::vector<std::string> changed;
  for (const QuarantineNotice& notice : notices) {
    if (!quarantine_.Apply(notice, now))
      continue;
    ReportStanding(notice.digest, "", now);
    changed.push_back(notice.digest);
  }
  if (!changed.empty())
    SendChanges(exchange_.OnToldChange(), changed, now);
}

std::vector<QuarantineNotice> DispatchEngine::QuarantineNotices(
    Time now) const {
  return quarantine_.Notices(now);
}

void DispatchEngine::ExchangeNotices(const std::vector<std::size_t>& peers,
                                     Time now) {
  if (peers.empty())
    return;
  const auto notices = quarantine_.Notices(now);
  exchange_.OnExchange(notices.size());
  SendNotices(peers, NoticeScope::kAll, notices);
}

void DispatchEngine::SendChanges(const std::vector<std::size_t>& peers,
                                 const std::vector<std::string>& digests,
                                 Time now) {
  if (!peers.empty())
    SendNotices(peers, NoticeScope::kChanges,
                quarantine_.NoticesOf(digests, now));
}

void DispatchEngine::SendNotices(const std::vector<std::size_t>& peers,
                                 NoticeScope scope,
                                 const std::vector<QuarantineNotice>& notices) {
  for (const std::size_t peer : peers) {
    actions_.emplace_back(ExchangeQuarantine{
        peers_[peer].name, peers_[peer].peer_address, scope, notices});
  }
}

void DispatchEngine::ReportStanding(const std::string& digest,
                                    const std::string& server,
                                    Time now) {
  const Duration left =
      std::max(quarantine_.NextSend(digest, now) - now, Duration(0));
  actions_.emplace_back(RequestStandingChange{
      digest, quarantine_.StandingOf(digest, now), server, left});
}

}  // namespace limpetrudder
