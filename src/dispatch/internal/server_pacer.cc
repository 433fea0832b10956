#include "dispatch/internal/server_pacer.h"

#include <algorithm>

namespace limpetrudder::detail {
namespace {

// Four timely answers of five keep the rate where it is.
constexpr double kLateFactor = 0.8;
constexpr double kTimelyFactor = 1.06;

// After so many late answers in a row a server isn't expected to be timely.
constexpr std::uint32_t kTimelyMemory = 4;

// A server with this part of the target to spare, twice in a row, has
// recovered.
constexpr int kQuickDivisor = 2;
constexpr std::uint32_t kQuickAnswers = 2;

// An instance asks a server at least this often, to learn of its recovery.
constexpr Duration kMaxGap = Seconds(2);
constexpr double kMinRate = 0.5;
constexpr double kMaxTokens = 1.0;

// The rate isn't bounded any more when nothing was held back for so long.
constexpr Duration kIdleEnd = Millis(2500);

}  // namespace

PacerTransition ServerPacer::OnAnswer(Duration target, Time sent, Time now) {
  const Duration elapsed = now - sent;
  if (elapsed > target) {
    OnLateAnswer();
    return OnLate(sent, now);
  }
  return OnTimely(elapsed < target / kQuickDivisor, now);
}

PacerTransition ServerPacer::OnTimely(bool quick, Time now) {
  late_.Reset();
  late_answered_ = 0;
  if (!active(now))
    return PacerTransition::kNone;
  timely_ = kTimelyMemory;
  quick_ = quick ? quick_ + 1 : 0;
  if (quick_ >= kQuickAnswers) {
    rate_ = 0;
    return PacerTransition::kEnded;
  }
  Scale(kTimelyFactor, now);
  // NOTE The next request goes out at once, to show whether it has recovered.
  if (quick)
    tokens_ = std::max(tokens_, 1.0);
  return PacerTransition::kNone;
}

PacerTransition ServerPacer::OnLate(Time sent, Time now) {
  if (active(now)) {
    quick_ = 0;
    timely_ -= timely_ > 0 ? 1 : 0;
    // NOTE Requests that were on their way say nothing about the new rate.
    if (sent < lowered_at_ || never_timely())
      return PacerTransition::kNone;
    Scale(kLateFactor, now);
    lowered_at_ = now;
    return PacerTransition::kNone;
  }
  late_.Add(now);
  if (!late_.IsSustained(now))
    return PacerTransition::kNone;
  Start(late_answered_ / (ToMillis(late_.Length(now)) / 1000), now);
  return PacerTransition::kStarted;
}

PacerTransition ServerPacer::OnReportedLate(Time now) {
  if (active(now))
    return PacerTransition::kNone;
  Start(kMinRate, now);
  sent_at_ = now - kMaxGap;
  return PacerTransition::kStarted;
}

void ServerPacer::Start(double rate, Time now) {
  rate_ = std::max(kMinRate, rate);
  tokens_ = 0;
  tokens_at_ = sent_at_ = lowered_at_ = held_back_at_ = now;
  late_.Reset();
  late_answered_ = timely_ = quick_ = 0;
}

void ServerPacer::Scale(double factor, Time now) {
  tokens_ = tokens(now);
  tokens_at_ = now;
  rate_ = std::max(kMinRate, rate_ * factor);
}

bool ServerPacer::active(Time now) const {
  return rate_ > 0 && now - held_back_at_ < kIdleEnd;
}

bool ServerPacer::Allows(std::uint32_t in_flight,
                         Duration target,
                         bool needed,
                         Time now) const {
  if (never_timely())
    return in_flight == 0 && (needed || now - sent_at_ >= kMaxGap);
  if (tokens(now) < 1)
    return false;
  return in_flight == 0 || (in_flight + 1) / rate_ * 1000 <= ToMillis(target);
}

void ServerPacer::OnRequestSent(Time now) {
  tokens_ = tokens(now) - 1;
  tokens_at_ = sent_at_ = now;
}

double ServerPacer::tokens(Time now) const {
  const double seconds = ToMillis(now - tokens_at_) / 1000;
  return std::min(kMaxTokens, tokens_ + rate_ * seconds);
}

}  // namespace limpetrudder::detail
