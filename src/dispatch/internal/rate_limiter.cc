#include "dispatch/internal/rate_limiter.h"

#include <algorithm>
#include <utility>

namespace limpetrudder::detail {
namespace {

// A sender may save up its rate for this long, or for one request if that is
// more.
constexpr double kMaxSavedSeconds = 0.5;

// Instances can't save up trials: one that isn't made within this time lapses.
// Otherwise all instances could make theirs at the same moment.
constexpr Duration kTrialWindow = Millis(500);

}  // namespace

bool RateLimiter::OnAnswer(const RateLimitNotice& notice, Time sent, Time now) {
  if (!notice.named) {
    // NOTE An answer to an earlier request may have been written before the
    // limit was named.
    if (!limit_ || sent < named_at_)
      return false;
    limit_.reset();
    return true;
  }
  if (!notice.per_second)
    return false;
  named_at_ = now;
  return std::exchange(limit_, *notice.per_second) != notice.per_second;
}

void RateLimiter::SetShare(const RateLimitShare& share, Time now) {
  if (share.sender)
    tokens_ = share_.sender ? Tokens(now) : 0;
  else if (share.trial_interval != share_.trial_interval)
    first_trial_ = now + Scaled(share.trial_interval, share.trial_phase);
  tokens_at_ = now;
  share_ = share;
  tokens_ = std::min(tokens_, MaxTokens());
}

void RateLimiter::OnSent(Time now) {
  ++sent_;
  last_sent_ = now;
  if (!limit_ || !share_.sender)
    return;
  tokens_ = std::max(0.0, Tokens(now) - 1);
  tokens_at_ = now;
}

Time RateLimiter::NextSend(Time now) const {
  if (!limit_)
    return now;
  if (!share_.sender)
    return NextTrial(now);
  const double missing = 1 - Tokens(now);
  if (missing <= 0)
    return now;
  return share_.rate > 0 ? now + Scaled(Seconds(1), missing / share_.rate)
                         : kNever;
}

Time RateLimiter::NextTrial(Time now) const {
  if (now < first_trial_)
    return first_trial_;
  const std::int64_t past = (now - first_trial_) / share_.trial_interval;
  const Time current = first_trial_ + share_.trial_interval * past;
  const Time next = current + share_.trial_interval;
  const bool made = last_sent_ >= current;
  return !made && now < current + kTrialWindow ? now : next;
}

double RateLimiter::Tokens(Time now) const {
  const double seconds = ToMillis(now - tokens_at_) / 1000;
  return std::min(MaxTokens(), tokens_ + share_.rate * seconds);
}

double RateLimiter::MaxTokens() const {
  return std::max(1.0, share_.rate * kMaxSavedSeconds);
}

std::uint64_t RateLimiter::TakeSentCount() {
  return std::exchange(sent_, 0);
}

}  // namespace limpetrudder::detail
