#include "dispatch/internal/server_pace.h"

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
constexpr Duration kLongestGap = Seconds(2);
constexpr double kLeastRate = 0.5;
constexpr double kMostTokens = 1.0;

// The rate isn't bounded any more when nothing was held back for so long.
constexpr Duration kIdleEnd = Millis(2500);

}  // namespace

PaceChange ServerPace::OnAnswer(Duration target, Time sent, Time now) {
  const Duration elapsed = now - sent;
  if (elapsed > target) {
    OnLateAnswer();
    return OnLate(sent, now);
  }
  return OnTimely(elapsed < target / kQuickDivisor, now);
}

PaceChange ServerPace::OnTimely(bool quick, Time now) {
  late_.Reset();
  late_answered_ = 0;
  if (!active(now))
    return PaceChange::kNone;
  timely_ = kTimelyMemory;
  quick_ = quick ? quick_ + 1 : 0;
  if (quick_ >= kQuickAnswers) {
    rate_ = 0;
    return PaceChange::kEnded;
  }
  Scale(kTimelyFactor, now);
  // NOTE The next request goes out at once, to show whether it has recovered.
  if (quick)
    tokens_ = std::max(tokens_, 1.0);
  return PaceChange::kNone;
}

PaceChange ServerPace::OnLate(Time sent, Time now) {
  if (active(now)) {
    quick_ = 0;
    timely_ -= timely_ > 0 ? 1 : 0;
    // NOTE Requests that were on their way say nothing about the new rate.
    if (sent < lowered_at_ || never_timely())
      return PaceChange::kNone;
    Scale(kLateFactor, now);
    lowered_at_ = now;
    return PaceChange::kNone;
  }
  late_.Add(now);
  if (!late_.IsLasting(now))
    return PaceChange::kNone;
  Start(late_answered_ / (ToMillis(late_.Length(now)) / 1000), now);
  return PaceChange::kStarted;
}

PaceChange ServerPace::Begin(Time now) {
  if (active(now))
    return PaceChange::kNone;
  Start(kLeastRate, now);
  taken_at_ = now - kLongestGap;
  return PaceChange::kStarted;
}

void ServerPace::Start(double rate, Time now) {
  rate_ = std::max(kLeastRate, rate);
  tokens_ = 0;
  tokens_at_ = taken_at_ = lowered_at_ = held_back_at_ = now;
  late_.Reset();
  late_answered_ = timely_ = quick_ = 0;
}

void ServerPace::Scale(double factor, Time now) {
  tokens_ = tokens(now);
  tokens_at_ = now;
  rate_ = std::max(kLeastRate, rate_ * factor);
}

bool ServerPace::active(Time now) const {
  return rate_ > 0 && now - held_back_at_ < kIdleEnd;
}

bool ServerPace::Allows(std::uint32_t in_flight,
                        Duration target,
                        bool needed,
                        Time now) const {
  if (never_timely())
    return in_flight == 0 && (needed || now - taken_at_ >= kLongestGap);
  if (tokens(now) < 1)
    return false;
  return in_flight == 0 || (in_flight + 1) / rate_ * 1000 <= ToMillis(target);
}

void ServerPace::OnTaken(Time now) {
  tokens_ = tokens(now) - 1;
  tokens_at_ = taken_at_ = now;
}

double ServerPace::tokens(Time now) const {
  const double seconds = ToMillis(now - tokens_at_) / 1000;
  return std::min(kMostTokens, tokens_ + rate_ * seconds);
}

}  // namespace limpetrudder::detail
