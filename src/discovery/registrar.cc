#include "discovery/registrar.h"

#include <algorithm>
#include <utility>

namespace limpetrudder {
namespace {

// After a failed call; doubled each time up to the longest. A renewal has two
// thirds of the lease left.
constexpr Duration kFirstRetry = Millis(500);
constexpr Duration kFirstRenewalRetry = Seconds(2);
constexpr Duration kLongestRetry = Seconds(4);

}  // namespace

std::optional<LeaseCall> Registrar::Turn(Time now, Time* next) {
  *next = kNever;
  if (calling_ || state_ == State::kLeft)
    return std::nullopt;
  if (now < due_) {
    *next = due_;
    return std::nullopt;
  }
  calling_ = true;
  switch (state_) {
    case State::kNoLease:
      return GrantLease{kLease};
    case State::kLeaseOnly:
      entry_.store_era = era_;
      return WriteInstance{entry_, lease_};
    case State::kRegistered:
      return RenewLease{lease_};
    case State::kLeft:
      break;
  }
  return std::nullopt;
}

void Registrar::OnReply(const LeaseReply& reply, Time now) {
  calling_ = false;
  if (state_ == State::kLeft)
    return;
  // NOTE It was asked before the registration was lost; BeginAnew() said when
  // to go on.
  if (std::exchange(discard_reply_, false))
    return;
  const std::uint64_t era = reply.era.value_or(era_);
  if (era < era_)
    return RetryLater(now);
  // NOTE A lease that was just granted is of the era of its answer; one that
  // was granted earlier isn't.
  if (era > era_ && state_ != State::kNoLease)
    return OnEra(era, now);
  era_ = era;
  if (reply.status == LeaseStatus::kNoLease) {
    state_ = State::kNoLease;
    due_ = now;
    return;
  }
  if (reply.status != LeaseStatus::kOk)
    return RetryLater(now);
  // NOTE An entry that is written without a lease would never lapse.
  if (state_ == State::kNoLease && reply.lease == 0)
    return RetryLater(now);
  failures_ = 0;
  due_ = now;
  switch (state_) {
    case State::kNoLease:
      lease_ = reply.lease;
      state_ = State::kLeaseOnly;
      return;
    case State::kLeaseOnly:
      written_ = reply.revision;
      state_ = State::kRegistered;
      due_ = now + kRenewal;
      return;
    case State::kRegistered:
      due_ = now + kRenewal;
      return;
    case State::kLeft:
      return;
  }
}

void Registrar::OnEra(std::uint64_t era, Time now) {
  if (era <= era_)
    return;
  era_ = era;
  if (state_ == State::kLeaseOnly || state_ == State::kRegistered)
    BeginAnew(now);
}

void Registrar::OnListed(bool present, StorePosition position, Time now) {
  if (state_ == State::kRegistered && !present && written_ != 0 &&
      position > StorePosition{era_, written_}) {
    BeginAnew(now);
  }
}

void Registrar::BeginAnew(Time now) {
  state_ = State::kNoLease;
  discard_reply_ = calling_;
  failures_ = 0;
  due_ = now + Scaled(kRewriteSpread, random_.Unit());
}

std::optional<LeaseCall> Registrar::Leave() {
  const bool registered = state_ == State::kRegistered && written_ != 0;
  state_ = State::kLeft;
  if (!registered)
    return std::nullopt;
  return RemoveInstance{entry_.name, written_};
}

void Registrar::RetryLater(Time now) {
  const std::uint32_t doublings = std::min(failures_, 4U);
  ++failures_;
  const Duration first =
      state_ == State::kRegistered ? kFirstRenewalRetry : kFirstRetry;
  const Duration pause =
      std::min(kLongestRetry, first * (std::int64_t{1} << doublings));
  due_ = now + Scaled(pause, 0.5 + random_.Unit());
}

}  // namespace limpetrudder
