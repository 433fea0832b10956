#include "limits/admission_rate.h"

#include <algorithm>
#include <cmath>

namespace limpetrudder {
namespace {

// Longer delays say no more than that a query can't be in time. A few shards
// with full queues don't reach the goal alone.
constexpr double kMostPressure = 1.0;

// Delays that are known this close together count as one sample, their median:
// a server that paused answers all that waited at once, and some shards with
// slow servers are no reason to refuse whole queries.
constexpr Duration kSampleTime = Millis(20);
constexpr std::size_t kMostDelays = 256;

// The pressure is that of about this time; one sample isn't all of it.
constexpr Duration kPressureTime = Millis(100);
constexpr double kMostWeight = 0.7;

// Without news the pressure holds for the time between two queries of an
// instance among eighty, and fades then.
constexpr Duration kPressureHold = Millis(300);
constexpr Duration kPressureFade = Millis(200);

// Gains of the controller. At full pressure the share halves in a tenth of a
// second, since a server's queue of a dozen is full within a quarter; without
// any it doubles in a third.
constexpr double kIntegralPerSecond = 10.0;
constexpr double kProportional = 2.0;
constexpr Duration kLongestStep = Millis(400);

// What is taken of less urgent kinds, against urgent ones, while not all are.
constexpr double kLessUrgentShare = 0.95;

}  // namespace

void AdmissionRate::OnDelay(double pressure, std::size_t requests, Time now) {
  if (now - sample_began_ >= kSampleTime)
    FoldSample();
  if (delays_.empty())
    sample_began_ = now;
  requests = std::min(requests, kMostDelays - delays_.size());
  delays_.insert(delays_.end(), requests, std::min(pressure, kMostPressure));
}

void AdmissionRate::FoldSample() {
  if (delays_.empty() || delays_.size() < fewest_delays_)
    return;
  const auto middle =
      delays_.begin() + static_cast<std::ptrdiff_t>(delays_.size() / 2);
  std::nth_element(delays_.begin(), middle, delays_.end());
  const double age = RatioOf(sample_began_ - pressure_at_, kPressureTime);
  const double weight = std::min(1 - std::exp(-age), kMostWeight);
  pressure_ += weight * (*middle - pressure_);
  pressure_at_ = sample_began_;
  delays_.clear();
}

double AdmissionRate::pressure(Time now) const {
  const Duration age = now - pressure_at_ - kPressureHold;
  if (age <= Duration(0))
    return pressure_;
  return pressure_ * std::exp(-RatioOf(age, kPressureFade));
}

void AdmissionRate::Step(Time now) {
  if (now - sample_began_ >= kSampleTime)
    FoldSample();
  const Duration passed = std::min(now - stepped_at_, kLongestStep);
  stepped_at_ = now;
  const double least = std::log(kLeastShare);
  const double error = pressure(now) - kGoal;
  integral_ = std::clamp(
      integral_ - kIntegralPerSecond * error * RatioOf(passed, Seconds(1)),
      least, 0.0);
  share_ = std::exp(
      std::clamp(integral_ - kProportional * std::max(error, 0.0), least, 0.0));
}

bool AdmissionRate::Admit(bool urgent, Time now) {
  Step(now);
  double& credit = urgent ? urgent_credit_ : other_credit_;
  const double share =
      urgent || share_ >= 1 ? share_ : share_ * kLessUrgentShare;
  credit = std::min(credit + share, 1.0 + share);
  if (credit < 1)
    return false;
  credit -= 1;
  return true;
}

Duration AdmissionRate::RecoveryTime() const {
  return Scaled(Seconds(1), -integral_ / (kIntegralPerSecond * kGoal));
}

}  // namespace limpetrudder
