#include "discovery/registrar.h"

#include <algorithm>

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
  if (reply.status == LeaseStatus::kNoLease) {
    state_ = State::kNoLease;
    due_ = now;
    return;
  }
  if (reply.status != LeaseStatus::kOk)
    return RetryLater(now);
  failures_ = 0;
  due_ = now;
  switch (state_) {
    case State::kNoLease:
      lease_ = reply.lease;
      state_ = State::kLeaseOnly;
      return;
    case State::kLeaseOnly:
    case State::kRegistered:
      state_ = State::kRegistered;
      due_ = now + kRenewal;
      return;
    case State::kLeft:
      return;
  }
}

std::optional<LeaseCall> Registrar::Leave() {
  const bool registered = lease_ != 0 && state_ != State::kNoLease;
  state_ = State::kLeft;
  if (!registered)
    return std::nullopt;
  return EndLease{lease_};
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
