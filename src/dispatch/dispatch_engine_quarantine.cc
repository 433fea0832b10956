// The part of the engine that keeps requests under which servers crash from
// crashing more of them.

#include <algorithm>
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

// Retries of a suspected search wait this long for the probe that tells whether
// a server crashed under it: a round trip between regions and some more.
constexpr Duration kMaxSuspension = Millis(60);

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
             : quarantine_.StandingOf(detail::DigestOf(*call.message), now);
}

const std::string& DispatchEngine::DigestOf(ActiveCall* call) {
  if (call->digest.empty())
    call->digest = detail::DigestOf(*call->call.message);
  return call->digest;
}

bool DispatchEngine::RefuseQuarantined(const CallRequest& call, Time now) {
  const RequestStanding standing = StandingOf(call, now);
  // NOTE The instance that delegated a batch has cleared its request.
  const bool is_batch = !call.only_shards.empty();
  if (standing == RequestStanding::kClear ||
      (is_batch && standing == RequestStanding::kSuspected)) {
    return false;
  }
  const Time next = quarantine_.NextSend(detail::DigestOf(*call.message), now);
  if (next <= now)
    return false;
  if (standing == RequestStanding::kQuarantined) {
    Refuse(call, http_status::kUnavailable, ResultCode::kRequestQuarantined,
           next - now);
  } else {
    Refuse(call, http_status::kUnavailable, ResultCode::kRequestSuspected,
           std::min(next - now, kTrialRetryAfter));
  }
  return true;
}

void DispatchEngine::StartTrial(ActiveCall* call, Time now) {
  const std::size_t count = call->sub_queries.size();
  const std::size_t first = random_.Below(count);
  for (std::size_t i = 0; i < count; ++i) {
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
  if (is_scatter && !call->trial) {
    if (call->answered > 0)
      return false;
    call->suspended_until =
        std::min(call->suspended_until, now + kMaxSuspension);
    if (call->broken_attempts <
        std::min<std::size_t>(kBrokenBeforeSuspicion, call->sub_queries.size()))
      return true;
  }
  const std::string& digest = DigestOf(call);
  const bool was_trial =
      call->trial || quarantine_.IsTrial(digest, attempt.sent, now);
  quarantine_.Suspect(digest, now);
  CheckCrash(attempt, digest, now);
  if (was_trial) {
    CancelAttempts(call, now);
    FailOpenSubQueries(call);
    return true;
  }
  return is_scatter;
}

void DispatchEngine::OnCrashConfirmed(ActiveCall* call, Time now) {
  call->suspended_until = kNever;
  CancelAttempts(call, now);
  if (call->is_partial()) {
    FailOpenSubQueries(call);
  } else {
    call->trial = true;
    StartTrial(call, now);
  }
}

void DispatchEngine::ResumeRetries(ActiveCall* call, Time now) {
  call->suspended_until = kNever;
  for (std::size_t i = 0; i < call->sub_queries.size(); ++i) {
    const SubQuery& sub_query = call->sub_queries[i];
    if (sub_query.state == detail::SubQueryState::kOpen && !sub_query.queued &&
        sub_query.pending_attempts.empty() && sub_query.attempts > 0) {
      RetryOrFail(call, i, now);
    }
  }
}

void DispatchEngine::EndSuspensions(const std::string& digest,
                                    bool crashed,
                                    Time now) {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_) {
    if (call->suspended_until != kNever && call->digest == digest)
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
      ResumeRetries(call, now);
    if (!TryFinish(call, now))
      ScheduleWakeup(call, now);
  }
}

void DispatchEngine::OnServerAnswered(ActiveCall* call, Time now) {
  if (!quarantine_.empty()) {
    const std::string& digest = DigestOf(call);
    if (quarantine_.OnAnswered(digest, now)) {
      ReportStanding(digest, "", now);
      SendNotices(exchange_.OnOwnChange(), now);
    }
  }
  if (call->suspended_until != kNever)
    ResumeRetries(call, now);
  if (!std::exchange(call->trial, false) || !call->route->is_scatter())
    return;
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

void DispatchEngine::CheckCrash(const PendingAttempt& attempt,
                                const std::string& digest,
                                Time now) {
  std::erase_if(crash_checks_, [now](const CrashCheck& check) {
    return now - check.since > kCrashCheckTime;
  });
  if (crash_checks_.size() >= kMaxCrashChecks)
    return;
  const ServerEntry& entry = attempt.server->entry();
  const bool is_probed = std::any_of(
      crash_checks_.begin(), crash_checks_.end(),
      [&entry](const CrashCheck& check) { return check.server == entry.id; });
  crash_checks_.push_back({entry.id, digest, attempt.sent, now});
  if (!is_probed) {
    actions_.emplace_back(
        ProbeHealth{entry.id, entry.address, attempt.group->health_path});
  }
}

void DispatchEngine::FinishCrashChecks(const std::string& server,
                                       bool crashed,
                                       Time now) {
  std::vector<CrashCheck> checks;
  std::erase_if(crash_checks_, [&](const CrashCheck& check) {
    if (check.server != server)
      return false;
    if (now - check.since <= kCrashCheckTime)
      checks.push_back(check);
    return true;
  });
  bool changed = false;
  for (const CrashCheck& check : checks) {
    if (!crashed) {
      quarantine_.OnNoCrash(check.digest);
    } else if (quarantine_.OnCrash(check.digest, check.sent, now)) {
      ReportStanding(check.digest, server, now);
      changed = true;
    }
    EndSuspensions(check.digest, crashed, now);
  }
  if (changed)
    SendNotices(exchange_.OnOwnChange(), now);
}

void DispatchEngine::OnQuarantineNotices(
    const std::vector<QuarantineNotice>& notices,
    Time now) {
  bool changed = false;
  for (const QuarantineNotice& notice : notices) {
    if (!quarantine_.Apply(notice, now))
      continue;
    ReportStanding(notice.digest, "", now);
    changed = true;
  }
  if (changed)
    SendNotices(exchange_.OnToldChange(), now);
}

std::vector<QuarantineNotice> DispatchEngine::QuarantineNotices(
    Time now) const {
  return quarantine_.Notices(now);
}

void DispatchEngine::SendNotices(const std::vector<std::size_t>& peers,
                                 Time now) {
  if (peers.empty())
    return;
  const auto notices = quarantine_.Notices(now);
  for (const std::size_t peer : peers) {
    actions_.emplace_back(ExchangeQuarantine{
        peers_[peer].name, peers_[peer].peer_address, notices});
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
