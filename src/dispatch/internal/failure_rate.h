#ifndef DISPATCH_INTERNAL_FAILURE_RATE_H_
#define DISPATCH_INTERNAL_FAILURE_RATE_H_

#include <algorithm>
#include <cmath>

#include "framework/time.h"

namespace limpetrudder::detail {

// The failure rate over about the last second, as an exponential moving average
// weighted by time, from samples at irregular intervals. A single pause stays
// below the threshold, however many samples fall into it. Not thread safe.
class FailureRate {
 public:
  void Add(bool failed, Time now) {
    const double weight = std::min(
        kMaxWeight, 1 - std::exp(-RatioOf(now - last_, kTimeConstant)));
    rate_ += weight * ((failed ? 1 : 0) - rate_);
    last_ = now;
  }

  bool IsHigh() const { return rate_ > kHighRate; }

 private:
  // Four times the longest pause, which is 250 ms.
  static constexpr Duration kTimeConstant = Seconds(1);
  static constexpr double kHighRate = 0.45;
  static constexpr double kMaxWeight = 0.25;

  double rate_ = 0;
  Time last_{};
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_FAILURE_RATE_H_
