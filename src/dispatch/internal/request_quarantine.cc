#include "dispatch/internal/request_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace limpetrudder::detail {
namespace {

// Returns the duration of a quarantine after `earlier` ones of the request.
Duration QuarantineTime(std::uint32_t earlier) {
  switch (earlier) {
    case 0:
      return RequestQuarantine::kFirstQuarantine;
    case 1:
      return RequestQuarantine::kSecondQuarantine;
    default:
      return RequestQuarantine::kLastQuarantine;
  }
}

// Notices of other instances that are as old as this say nothing new.
constexpr Duration kMaxNoticeAge =
    RequestQuarantine::kLastQuarantine + RequestQuarantine::kSuspicion;

// By how much ages may differ between instances.
constexpr Duration kAgeError = Seconds(1);

}  // namespace

bool RequestQuarantine::Row::IsSuspected(Time now) const {
  const Duration duration = confirmed ? kSuspicion : kUnconfirmedTime;
  return suspected_at != Time{} && cleared_at < SuspectedSince() &&
         now - SuspectedSince() < duration;
}

bool RequestQuarantine::Row::IsBeingTried(Time now) const {
  return tried_at >= SuspectedSince() && tried_at > cleared_at &&
         now - tried_at < kTrialClaim;
}

RequestStanding RequestQuarantine::StandingOf(const Row& row, Time now) {
  if (now < row.until)
    return RequestStanding::kQuarantined;
  return row.confirmed && row.IsSuspected(now) ? RequestStanding::kSuspected
                                               : RequestStanding::kClear;
}

RequestStanding RequestQuarantine::StandingOf(const std::string& digest,
                                              Time now) const {
  const auto found = rows_.find(digest);
  return found == rows_.end() ? RequestStanding::kClear
                              : StandingOf(found->second, now);
}

Time RequestQuarantine::NextSend(const std::string& digest, Time now) const {
  const auto found = rows_.find(digest);
  if (found == rows_.end())
    return now;
  switch (StandingOf(found->second, now)) {
    case RequestStanding::kClear:
      return now;
    case RequestStanding::kSuspected:
      return found->second.IsBeingTried(now)
                 ? found->second.tried_at + kTrialClaim
                 : now;
    case RequestStanding::kQuarantined:
      return found->second.until;
  }
  return now;
}

std::uint32_t RequestQuarantine::FailedTrials(const std::string& digest) const {
  const auto found = rows_.find(digest);
  return found == rows_.end() ? 0 : found->second.quarantines;
}

bool RequestQuarantine::ClaimTrial(const std::string& digest, Time now) {
  const auto found = rows_.find(digest);
  if (found == rows_.end() ||
      StandingOf(found->second, now) != RequestStanding::kSuspected ||
      found->second.IsBeingTried(now)) {
    return false;
  }
  Row& row = found->second;
  row.claimed_at = row.tried_at = row.changed_at = now;
  return true;
}

void RequestQuarantine::ReleaseTrial(const std::string& digest, Time claimed) {
  const auto found = rows_.find(digest);
  if (found != rows_.end() && found->second.claimed_at == claimed)
    found->second.claimed_at = found->second.tried_at = Time::min();
}

bool RequestQuarantine::HoldsTrial(const std::string& digest,
                                   Time claimed,
                                   Time now) const {
  const auto found = rows_.find(digest);
  return found != rows_.end() && found->second.claimed_at == claimed &&
         now - claimed < kTrialClaim &&
         StandingOf(found->second, now) == RequestStanding::kSuspected;
}

bool RequestQuarantine::IsTrial(const std::string& digest,
                                Time sent,
                                Time now) const {
  const auto found = rows_.find(digest);
  return found != rows_.end() && found->second.confirmed &&
         found->second.IsSuspected(now) &&
         sent >= found->second.SuspectedSince();
}

RequestQuarantine::Row& RequestQuarantine::Add(const std::string& digest,
                                               Time now) {
  const auto found = rows_.find(digest);
  if (found != rows_.end())
    return found->second;
  if (rows_.size() >= kMaxRequests) {
    // NOTE A request that is or was quarantined has cost servers; whoever fills
    // the table with others only removes those others.
    const auto least = std::min_element(
        rows_.begin(), rows_.end(), [now](const auto& a, const auto& b) {
          const auto order = [now](const Row& row) {
            return std::make_tuple(StandingOf(row, now), row.quarantines,
                                   row.changed_at);
          };
          return order(a.second) < order(b.second);
        });
    rows_.erase(least);
  }
  return rows_[digest];
}

bool RequestQuarantine::IsInDoubt(const std::string& digest, Time now) const {
  const auto found = rows_.find(digest);
  return found != rows_.end() &&
         (now < found->second.until || found->second.IsSuspected(now));
}

void RequestQuarantine::Suspect(const std::string& digest, Time now) {
  Row& row = Add(digest, now);
  if (now < row.until || row.IsSuspected(now))
    return;
  row.confirmed = false;
  row.suspected_at = row.changed_at = now;
}

bool RequestQuarantine::OnCrash(const std::string& digest,
                                Time sent,
                                Time now) {
  Row& row = Add(digest, now);
  // NOTE An answer after the attempt was sent has cleared the request.
  if (now < row.until || row.cleared_at >= sent)
    return false;
  const bool was_confirmed = std::exchange(row.confirmed, true);
  if (!row.IsSuspected(now)) {
    row.suspected_at = now;
  } else if (sent >= row.SuspectedSince()) {
    row.suspected_at = now;
    row.until = now + QuarantineTime(row.quarantines++);
  } else if (was_confirmed) {
    return false;
  }
  row.changed_at = now;
  row.cleared = false;
  ++row.revision;
  return true;
}

void RequestQuarantine::OnNoCrash(const std::string& digest) {
  const auto found = rows_.find(digest);
  if (found != rows_.end() && !found->second.confirmed)
    rows_.erase(found);
}

bool RequestQuarantine::OnAnswered(const std::string& digest, Time now) {
  if (!IsInDoubt(digest, now))
    return false;
  Row& row = rows_.at(digest);
  row.until = Time::min();
  row.cleared_at = row.changed_at = now;
  row.cleared = true;
  ++row.revision;
  return row.confirmed;
}

bool RequestQuarantine::IsNewer(const QuarantineNotice& notice,
                                const Row& row,
                                Time now) {
  const bool clears = notice.standing == RequestStanding::kClear;
  const Time since = now - notice.age;
  if (row.cleared && !clears && since > row.cleared_at + kAgeError)
    return true;
  if (!row.cleared && clears && since + kAgeError < row.suspected_at)
    return false;
  const std::uint32_t revision =
      notice.revision != 0 ? notice.revision : row.revision;
  // NOTE An answer counts more than a crash found at the same time.
  return std::make_tuple(revision, clears, notice.quarantines) >
         std::make_tuple(row.revision, row.cleared, row.quarantines);
}

bool RequestQuarantine::Apply(const QuarantineNotice& notice, Time now) {
  const bool clears = notice.standing == RequestStanding::kClear;
  if (notice.age > kMaxNoticeAge)
    return false;
  const Time since = now - notice.age;
  const auto found = rows_.find(notice.digest);
  // NOTE Whoever has forgotten a request may have found it anew since.
  if (clears && notice.age >= kRecent &&
      (found == rows_.end() || since <= found->second.suspected_at)) {
    return false;
  }
  const Time tried_at =
      notice.trial_age ? now - *notice.trial_age : Time::min();
  if (found != rows_.end()) {
    found->second.tried_at = std::max(found->second.tried_at, tried_at);
    if (found->second.confirmed && !IsNewer(notice, found->second, now))
      return false;
  }
  Row& row = Add(notice.digest, now);
  const bool was_suspected = row.confirmed && !row.cleared;
  row.revision = std::max(notice.revision,
                          row.revision + (row.cleared && !clears ? 1 : 0));
  row.confirmed = true;
  row.cleared = clears;
  row.quarantines = std::max(row.quarantines, notice.quarantines);
  row.changed_at = now;
  if (clears) {
    row.until = Time::min();
    row.cleared_at = std::max(since, row.suspected_at);
    return was_suspected;
  }
  row.suspected_at = since;
  row.cleared_at = std::min(row.cleared_at, since - Duration(1));
  if (notice.standing == RequestStanding::kQuarantined)
    row.until = now + std::min(notice.quarantine_left, kLastQuarantine);
  row.tried_at = std::max(row.tried_at, tried_at);
  return true;
}

void RequestQuarantine::RemoveExpired(Time now) {
  std::erase_if(rows_, [now](const auto& row) {
    return now >= row.second.until && !row.second.IsSuspected(now) &&
           now - row.second.changed_at >= kRecent;
  });
}

bool RequestQuarantine::HasNotice(const Row& row, Time now) {
  // NOTE A request that was cleared may still be suspected elsewhere.
  return row.confirmed && (StandingOf(row, now) != RequestStanding::kClear ||
                           now - row.changed_at < kRecent);
}

NoticeState RequestQuarantine::StateOfNotices(Time now) const {
  NoticeState state = NoticeState::kNone;
  for (const auto& [digest, row] : rows_) {
    if (!HasNotice(row, now))
      continue;
    if (now - row.changed_at < kRecent)
      return NoticeState::kRecent;
    state = NoticeState::kOld;
  }
  return state;
}

QuarantineNotice RequestQuarantine::NoticeOf(const std::string& digest,
                                             const Row& row,
                                             Time now) {
  QuarantineNotice notice;
  notice.digest = digest;
  notice.standing = StandingOf(row, now);
  notice.quarantines = row.quarantines;
  notice.age =
      now - (notice.standing == RequestStanding::kClear ? row.cleared_at
                                                        : row.suspected_at);
  if (notice.standing == RequestStanding::kQuarantined)
    notice.quarantine_left = row.until - now;
  if (row.IsBeingTried(now))
    notice.trial_age = now - row.tried_at;
  notice.revision = row.revision;
  return notice;
}

std::vector<QuarantineNotice> RequestQuarantine::Notices(Time now) const {
  std::vector<std::pair<Time, QuarantineNotice>> latest;
  for (const auto& [digest, row] : rows_) {
    if (HasNotice(row, now))
      latest.emplace_back(row.changed_at, NoticeOf(digest, row, now));
  }
  std::sort(latest.begin(), latest.end(), [](const auto& a, const auto& b) {
    return std::tie(b.first, a.second.digest) <
           std::tie(a.first, b.second.digest);
  });
  latest.resize(std::min(latest.size(), kMaxNotices));
  std::vector<QuarantineNotice> notices;
  for (auto& [changed_at, notice] : latest)
    notices.push_back(std::move(notice));
  return notices;
}

std::vector<QuarantineNotice> RequestQuarantine::NoticesOf(
    const std::vector<std::string>& digests,
    Time now) const {
  std::vector<QuarantineNotice> notices;
  for (const std::string& digest : digests) {
    const auto found = rows_.find(digest);
    if (found != rows_.end() && HasNotice(found->second, now) &&
        notices.size() < kMaxNotices) {
      notices.push_back(NoticeOf(digest, found->second, now));
    }
  }
  return notices;
}

}  // namespace limpetrudder::detail
