#include "limits/admission_rate.h"

#include <algorithm>
#include <cmath>

namespace limpetrudder {
namespace {

// A longer delay carries no more information than that the query can't be in
// time. The cap also keeps a few shards with full queues from reaching the
// setpoint alone.
constexpr double kMaxPressure = 1.0;

// Delays that become known within this time form one sample, their median: a
// server that paused answers all its waiting requests at once, and a few shards
// with slow servers are no reason to refuse whole queries.
constexpr Duration kSampleTime = Millis(20);
constexpr std::size_t kMaxDelays = 256;

// The pressure is averaged over about this time. One sample has at most this
// weight in it.
constexpr Duration kPressureTime = Millis(100);
constexpr double kMaxSampleWeight = 0.7;

// Without new delays the pressure holds for the time between two queries of one
// instance among eighty, and then decays.
constexpr Duration kPressureHoldTime = Millis(300);
constexpr Duration kPressureDecayTime = Millis(200);

// Gains of the controller. At full pressure the share halves in a tenth of a
// second, since a server's queue of a dozen requests fills within a quarter of
// a second. Without pressure it doubles in a third of a second.
constexpr double kIntegralGainPerSecond = 10.0;
constexpr double kProportionalGain = 2.0;
constexpr Duration kMaxStep = Millis(400);

// Ratio of admitted non-urgent queries to urgent ones while the share is below
// 1.
constexpr double kNonUrgentRatio = 0.95;

// Recent queries are those of about this time.
constexpr Duration kRecentTime = Seconds(6);

// With fewer recent queries than this, what was served says nothing.
constexpr double kMinRecentQueries = 20;

// At least this ratio of what was served in time is admitted.
constexpr double kDrainingRatio = 0.52;

}  // namespace

double AdmissionRate::RecentCount::At(Time now) const {
  return count * std::exp(-RatioOf(now - updated, kRecentTime));
}

void AdmissionRate::RecentCount::Add(Time now) {
  count = At(now) + 1;
  updated = now;
}

void AdmissionRate::OnServed(Time now) {
  served_.Add(now);
}

double AdmissionRate::DrainingShare(Time now) const {
  const double arrived = arrived_.At(now);
  if (arrived < kMinRecentQueries)
    return kMinShare;
  return std::clamp(kDrainingRatio * served_.At(now) / arrived, kMinShare, 1.0);
}

void AdmissionRate::OnDelay(double pressure, std::size_t requests, Time now) {
  if (now - sample_start_ >= kSampleTime)
    ApplySample();
  if (delays_.empty())
    sample_start_ = now;
  requests = std::min(requests, kMaxDelays - delays_.size());
  delays_.insert(delays_.end(), requests, std::min(pressure, kMaxPressure));
}

void AdmissionRate::ApplySample() {
  if (delays_.empty() || delays_.size() < min_delays_)
    return;
  const auto median =
      delays_.begin() + static_cast<std::ptrdiff_t>(delays_.size() / 2);
  std::nth_element(delays_.begin(), median, delays_.end());
  const double age = RatioOf(sample_start_ - pressure_at_, kPressureTime);
  const double weight = std::min(1 - std::exp(-age), kMaxSampleWeight);
  pressure_ += weight * (*median - pressure_);
  pressure_at_ = sample_start_;
  delays_.clear();
}

double AdmissionRate::pressure(Time now) const {
  const Duration age = now - pressure_at_ - kPressureHoldTime;
  if (age <= Duration(0))
    return pressure_;
  return pressure_ * std::exp(-RatioOf(age, kPressureDecayTime));
}

void AdmissionRate::Step(Time now) {
  if (now - sample_start_ >= kSampleTime)
    ApplySample();
  const Duration elapsed = std::min(now - last_step_, kMaxStep);
  last_step_ = now;
  const double error = pressure(now) - kPressureSetpoint;
  const double min_log_share = std::log(DrainingShare(now));
  integral_ = std::clamp(
      integral_ - kIntegralGainPerSecond * error * RatioOf(elapsed, Seconds(1)),
      min_log_share, 0.0);
  share_ =
      std::exp(std::clamp(integral_ - kProportionalGain * std::max(error, 0.0),
                          min_log_share, 0.0));
}

double AdmissionRate::OnArrival(bool urgent, Time now) {
  arrived_.Add(now);
  Step(now);
  return urgent || share_ >= 1 ? share_ : share_ * kNonUrgentRatio;
}

bool AdmissionRate::Admit(bool urgent, Time now) {
  const double share = OnArrival(urgent, now);
  double& credit = urgent ? urgent_credit_ : other_credit_;
  credit = std::min(credit + share, 1.0 + share);
  if (credit < 1)
    return false;
  credit -= 1;
  return true;
}

Duration AdmissionRate::RecoveryTime() const {
  return Scaled(Seconds(1),
                -integral_ / (kIntegralGainPerSecond * kPressureSetpoint));
}

}  // namespace limpetrudder
