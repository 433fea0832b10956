#include "discovery/registrar.h"

#include <algorithm>
#include <utility>

namespace limpetrudder {
namespace {

// Pause after a failed call, doubled with each further failure up to the
// maximum. A renewal starts with two thirds of the lease left.
constexpr Duration kInitialRetryInterval = Millis(500);
constexpr Duration kInitialRenewalRetryInterval = Seconds(2);
constexpr Duration kMaxRetryInterval = Seconds(4);

}  // namespace

std::optional<LeaseCall> Registrar::NextCall(Time now, Time* next) {
  *next = kNever;
  if (call_pending_ || state_ == State::kLeft)
    return std::nullopt;
  if (now < next_call_) {
    *next = next_call_;
    return std::nullopt;
  }
  call_pending_ = true;
  switch (state_) {
    case State::kNoLease:
      return GrantLease{kLease};
    case State::kLeaseOnly:
      entry_.store_era = era_;
      return WriteInstance{entry_, lease_};
    case State::kRegistered:
      rewriting_ = rewrite_;
      if (rewrite_)
        return WriteInstance{entry_, lease_};
      return RenewLease{lease_};
    case State::kLeft:
      break;
  }
  return std::nullopt;
}

void Registrar::OnReply(const LeaseReply& reply, Time now) {
  call_pending_ = false;
  if (state_ == State::kLeft)
    return;
  // The call was made before the registration was lost; Reregister() has set
  // the time of the next one.
  if (std::exchange(discard_reply_, false))
    return;
  const std::uint64_t era = reply.era.value_or(era_);
  if (era < era_)
    return RetryLater(now);
  // A lease that was just granted is of the reply's era; one that was granted
  // earlier isn't.
  if (era > era_ && state_ != State::kNoLease)
    return OnEra(era, now);
  era_ = era;
  if (reply.status == LeaseStatus::kNoLease) {
    state_ = State::kNoLease;
    rewriting_ = false;
    next_call_ = now;
    return;
  }
  if (reply.status != LeaseStatus::kOk)
    return RetryLater(now);
  // An entry that is written without a lease would never lapse.
  if (state_ == State::kNoLease && reply.lease == 0)
    return RetryLater(now);
  failures_ = 0;
  next_call_ = now;
  switch (state_) {
    case State::kNoLease:
      lease_ = reply.lease;
      state_ = State::kLeaseOnly;
      return;
    case State::kLeaseOnly:
      entry_revision_ = reply.revision;
      state_ = State::kRegistered;
      next_call_ = rewrite_ ? now : now + kRenewal;
      return;
    case State::kRegistered:
      if (std::exchange(rewriting_, false)) {
        entry_revision_ = reply.revision;
        rewrite_ = false;
      }
      next_call_ = rewrite_ ? now : now + kRenewal;
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
    Reregister(now);
}

void Registrar::OnListed(bool present, StorePosition position, Time now) {
  if (state_ == State::kRegistered && !present && entry_revision_ != 0 &&
      position > StorePosition{era_, entry_revision_}) {
    Reregister(now);
  }
}

void Registrar::Reregister(Time now) {
  state_ = State::kNoLease;
  rewriting_ = false;
  discard_reply_ = call_pending_;
  failures_ = 0;
  next_call_ = now + Scaled(kReregistrationSpread, random_.Unit());
}

void Registrar::MarkStopping(Time now) {
  if (entry_.stopping)
    return;
  entry_.stopping = true;
  rewrite_ = true;
  next_call_ = std::min(next_call_, now);
}

std::optional<LeaseCall> Registrar::Leave() {
  const bool registered = state_ == State::kRegistered && entry_revision_ != 0;
  state_ = State::kLeft;
  if (!registered)
    return std::nullopt;
  return RemoveInstance{entry_.name, entry_revision_};
}

void Registrar::RetryLater(Time now) {
  const std::uint32_t doublings = std::min(failures_, 4U);
  ++failures_;
  const Duration first = state_ == State::kRegistered
                             ? kInitialRenewalRetryInterval
                             : kInitialRetryInterval;
  const Duration pause =
      std::min(kMaxRetryInterval, first * (std::int64_t{1} << doublings));
  next_call_ = now + Scaled(pause, 0.5 + random_.Unit());
}

}  // namespace limpetrudder
