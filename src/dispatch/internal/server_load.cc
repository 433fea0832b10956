#include "dispatch/internal/server_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpetrudder::detail {
namespace {

// Weight of one sample in the moving averages.
constexpr double kSampleWeight = 0.25;

// Time constant with which slowness, rejections and failures decay. A slow or
// rejecting server is tried again after about this time, which costs one retry
// each time.
constexpr Duration kDecayTime = Millis(2500);

// Time constant with which a load report decays: about one service time of the
// slowest requests.
constexpr Duration kLoadDecayTime = Millis(100);

// A server that answers nothing for longer than this is more than paused: the
// longest pause that services announce is 250 ms.
constexpr Duration kMaxPause = Millis(300);

// Latency ratios above kHighRatio that arrive within kPauseMergeTime of each
// other count as one sample, since a single pause can cause all of them.
constexpr double kHighRatio = 2;
constexpr Duration kPauseMergeTime = Millis(50);

// A server with requests in flight that has responded within this time keeps
// their connections open, though it may refuse new ones.
constexpr Duration kConnectionsOpenTime = Millis(500);

constexpr std::uint32_t kUnansweredBeforeDown = 2;
constexpr Duration kMinProbeInterval = Millis(500);
constexpr Duration kMaxProbeInterval = Seconds(4);

// After a rejected connection the next one is opened after kMinReconnectDelay,
// doubled for each consecutive rejection up to kMaxReconnectDelay. The
// connection limit grows by one per kLimitGrowthInterval.
constexpr Duration kMinReconnectDelay = Millis(50);
constexpr Duration kMaxReconnectDelay = Millis(1600);
constexpr Duration kLimitGrowthInterval = Millis(1000);

// Slowness of a server that is still warming up.
constexpr double kWarmupSlowness = 1.6;

double DecayFactor(Duration age, Duration time_constant) {
  return std::exp(-RatioOf(std::max(age, Duration(0)), time_constant));
}

}  // namespace

void ServerLoad::DecayingAverage::Add(double sample, Time now) {
  value_ = Value(now);
  value_ += kSampleWeight * (sample - value_);
  last_ = now;
}

double ServerLoad::DecayingAverage::Value(Time now) const {
  return value_ == 0 ? 0 : value_ * DecayFactor(now - last_, kDecayTime);
}

void ServerLoad::RecentMedian::Add(double ratio, Time now) {
  if (ratio > kHighRatio) {
    if (now - last_high_ < kPauseMergeTime)
      return;
    last_high_ = now;
  }
  samples_[next_] = ratio;
  next_ = (next_ + 1) % samples_.size();
  last_added_ = now;
}

double ServerLoad::RecentMedian::Value(Time now) const {
  auto sorted = samples_;
  std::sort(sorted.begin(), sorted.end());
  return 1 + (sorted[1] - 1) * DecayFactor(now - last_added_, kDecayTime);
}

void ServerLoad::Update(const ServerEntry& entry) {
  if (entry.started_ms != entry_.started_ms ||
      entry.address != entry_.address) {
    ServerLoad restarted(entry);
    restarted.in_flight_ = in_flight_;
    restarted.evacuated_ = evacuated_;
    restarted.warmup_ = warmup_;
    *this = std::move(restarted);
    return;
  }
  entry_ = entry;
}

double ServerLoad::Slowness(Time now) const {
  const bool cold =
      entry_.warmup_left > Duration::zero() || warmup_.IsCold(now);
  const double warmup = cold ? kWarmupSlowness : 1.0;
  return std::max(slowness_.Value(now), warmup);
}

double ServerLoad::RejectRatio(Time now) const {
  return rejects_.Value(now);
}

double ServerLoad::FailureRatio(Time now) const {
  return failures_.Value(now);
}

double ServerLoad::QueueLength(Time now) const {
  const double reported = (load_report_.running + load_report_.waiting) *
                          DecayFactor(now - load_reported_at_, kLoadDecayTime);
  return std::max(static_cast<double>(in_flight_), reported);
}

Duration ServerLoad::SilentFor(Time now) const {
  return in_flight_ == 0 ? Duration(0) : now - silent_since_;
}

Duration ServerLoad::ExpectedLatency(Duration work,
                                     Duration round_trip,
                                     Time now) const {
  const double slots = std::max(1U, entry_.slots);
  const double waiting = std::max(0.0, QueueLength(now) + 1 - slots);
  return round_trip + Scaled(work, Slowness(now) * (1 + waiting / slots));
}

void ServerLoad::OnSent(Time now) {
  if (in_flight_++ == 0)
    silent_since_ = now;
  warmup_.OnSent(now);
  rate_limiter_.OnSent(now);
}

void ServerLoad::OnAnswer(double ratio, Time now) {
  last_response_ = now;
  silent_since_ = now;
  consecutive_unanswered_ = 0;
  consecutive_downs_ = 0;
  consecutive_rejected_connections_ = 0;
  connection_broken_ = false;
  slowness_.Add(ratio, now);
  rejects_.Add(0, now);
  failures_.Add(0, now);
}

void ServerLoad::OnLoad(const LoadReport& report, Time now) {
  load_report_ = report;
  load_reported_at_ = now;
}

void ServerLoad::OnRejected(Time now) {
  last_response_ = now;
  silent_since_ = now;
  consecutive_unanswered_ = 0;
  rejects_.Add(1, now);
}

void ServerLoad::OnFailed(Time now) {
  last_response_ = now;
  silent_since_ = now;
  failures_.Add(1, now);
}

void ServerLoad::OnConnectionBroken(Time now) {
  OnFailed(now);
  connection_broken_ = true;
}

bool ServerLoad::OnUnanswered(double ratio, Duration elapsed, Time now) {
  if (ratio > slowness_.Value(now))
    slowness_.Add(ratio, now);
  if (now - last_response_ < elapsed)
    failures_.Add(1, now);  // It answered other requests meanwhile.
  if (elapsed < kMaxPause || now - last_response_ < kMaxPause)
    return false;
  if (++consecutive_unanswered_ < kUnansweredBeforeDown || down_)
    return false;
  MarkDown(now);
  return true;
}

void ServerLoad::OnConnectionRejected(Time now) {
  connection_limit_ = std::max(1U, in_flight_);
  const std::uint32_t doublings =
      std::min(consecutive_rejected_connections_, 5U);
  ++consecutive_rejected_connections_;
  connection_rejected_at_ = now;
  reconnect_at_ =
      now + std::min(kMaxReconnectDelay,
                     kMinReconnectDelay * (std::int64_t{1} << doublings));
}

std::uint32_t ServerLoad::ConnectionLimit(std::uint32_t share, Time now) const {
  if (connection_limit_ == 0)
    return share;
  // NOTE Without an answer since the rejection there may be no open connection
  // at all.
  if (now < reconnect_at_)
    return last_response_ > connection_rejected_at_
               ? std::min(share, connection_limit_)
               : 0;
  const auto growth = static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, (now - connection_rejected_at_) / kLimitGrowthInterval));
  return std::min(share, connection_limit_ + growth);
}

bool ServerLoad::OnConnectionFailed(Time now) {
  const bool keeps_open = in_flight_ > 0 && !connection_broken_ &&
                          now - last_response_ <= kConnectionsOpenTime;
  if (!keeps_open)
    return OnUnreachable(now);
  OnConnectionRejected(now);
  return false;
}

bool ServerLoad::OnUnreachable(Time now) {
  if (down_)
    return false;
  MarkDown(now);
  return true;
}

void ServerLoad::MarkDown(Time now) {
  down_ = true;
  next_probe_ = now + std::min(kMaxProbeInterval,
                               kMinProbeInterval *
                                   (1 << std::min(consecutive_downs_, 4U)));
  ++consecutive_downs_;
}

void ServerLoad::OnProbeSent(Time now) {
  next_probe_ = now + std::min(kMaxProbeInterval,
                               kMinProbeInterval *
                                   (1 << std::min(consecutive_downs_, 4U)));
}

bool ServerLoad::OnProbe(bool healthy, Time now) {
  if (!healthy || !down_)
    return false;
  down_ = false;
  consecutive_unanswered_ = kUnansweredBeforeDown - 1;
  silent_since_ = now;
  return true;
}

}  // namespace limpetrudder::detail
