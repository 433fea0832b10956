#include "dispatch/internal/server_pacer.h"

#include <algorithm>

namespace limpetrudder::detail {
namespace {

// With four timely answers out of five the rate stays about constant.
constexpr double kLateFactor = 0.8;
constexpr double kTimelyFactor = 1.06;

// After this many consecutive late requests a server isn't expected to be
// timely.
constexpr std::uint32_t kMaxTimelyCredit = 4;

// A server has recovered after kQuickAnswers consecutive answers that each took
// less than 1 / kQuickDivisor of the latency target.
constexpr int kQuickDivisor = 2;
constexpr std::uint32_t kQuickAnswers = 2;

// An instance sends a request to a paced server at least this often, to detect
// its recovery.
constexpr Duration kMaxRequestInterval = Seconds(2);
constexpr double kMinRate = 0.5;
constexpr double kMaxTokens = 1.0;

// Pacing ends when no request was held back for this long.
constexpr Duration kIdleTimeout = Millis(2500);

}  // namespace

PacerTransition ServerPacer::OnAnswer(Duration target, Time sent, Time now) {
  const Duration elapsed = now - sent;
  if (elapsed > target) {
    OnLateAnswer();
    return OnLate(sent, now);
  }
  return OnTimelyAnswer(elapsed < target / kQuickDivisor, now);
}

PacerTransition ServerPacer::OnTimelyAnswer(bool quick, Time now) {
  lateness_.Reset();
  late_answered_ = 0;
  if (!active(now))
    return PacerTransition::kNone;
  timely_credit_ = kMaxTimelyCredit;
  consecutive_quick_ = quick ? consecutive_quick_ + 1 : 0;
  if (consecutive_quick_ >= kQuickAnswers) {
    rate_ = 0;
    return PacerTransition::kEnded;
  }
  ScaleRate(kTimelyFactor, now);
  // NOTE The next request may be sent immediately, to show whether the server
  // has recovered.
  if (quick)
    tokens_ = std::max(tokens_, 1.0);
  return PacerTransition::kNone;
}

PacerTransition ServerPacer::OnLate(Time sent, Time now) {
  if (active(now)) {
    consecutive_quick_ = 0;
    timely_credit_ -= timely_credit_ > 0 ? 1 : 0;
    // NOTE Requests sent before the rate was lowered say nothing about the new
    // rate.
    if (sent < rate_lowered_at_ || never_timely())
      return PacerTransition::kNone;
    ScaleRate(kLateFactor, now);
    rate_lowered_at_ = now;
    return PacerTransition::kNone;
  }
  lateness_.Add(now);
  if (!lateness_.IsSustained(now))
    return PacerTransition::kNone;
  Start(late_answered_ / (ToMillis(lateness_.Length(now)) / 1000), now);
  return PacerTransition::kStarted;
}

PacerTransition ServerPacer::OnReportedLate(Time now) {
  if (active(now))
    return PacerTransition::kNone;
  Start(kMinRate, now);
  last_sent_ = now - kMaxRequestInterval;
  return PacerTransition::kStarted;
}

void ServerPacer::Start(double rate, Time now) {
  rate_ = std::max(kMinRate, rate);
  tokens_ = 0;
  tokens_updated_at_ = last_sent_ = rate_lowered_at_ = last_held_back_ = now;
  lateness_.Reset();
  late_answered_ = timely_credit_ = consecutive_quick_ = 0;
}

void ServerPacer::ScaleRate(double factor, Time now) {
  tokens_ = tokens(now);
  tokens_updated_at_ = now;
  rate_ = std::max(kMinRate, rate_ * factor);
}

bool ServerPacer::active(Time now) const {
  return rate_ > 0 && now - last_held_back_ < kIdleTimeout;
}

bool ServerPacer::Allows(std::uint32_t in_flight,
                         Duration target,
                         bool needed,
                         Time now) const {
  if (never_timely())
    return in_flight == 0 &&
           (needed || now - last_sent_ >= kMaxRequestInterval);
  if (tokens(now) < 1)
    return false;
  return in_flight == 0 || (in_flight + 1) / rate_ * 1000 <= ToMillis(target);
}

void ServerPacer::OnRequestSent(Time now) {
  tokens_ = tokens(now) - 1;
  tokens_updated_at_ = last_sent_ = now;
}

double ServerPacer::tokens(Time now) const {
  const double seconds = ToMillis(now - tokens_updated_at_) / 1000;
  return std::min(kMaxTokens, tokens_ + rate_ * seconds);
}

}  // namespace limpetrudder::detail
