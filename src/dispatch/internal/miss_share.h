#ifndef DISPATCH_INTERNAL_MISS_SHARE_H_
#define DISPATCH_INTERNAL_MISS_SHARE_H_

#include <algorithm>
#include <cmath>

#include "framework/time.h"

namespace limpetrudder::detail {

// The share of about the last second in which something was missed, from
// samples at uneven times. A single pause, however many samples fall into it,
// stays below the bound. Not thread safe.
class MissShare {
 public:
  void Add(bool missed, Time now) {
    const double weight =
        std::min(kMostWeight, 1 - std::exp(-RatioOf(now - last_, kMemory)));
    share_ += weight * ((missed ? 1 : 0) - share_);
    last_ = now;
  }

  bool IsHigh() const { return share_ > kHigh; }

 private:
  // Four times the longest pause.
  static constexpr Duration kMemory = Seconds(1);
  static constexpr double kHigh = 0.45;
  static constexpr double kMostWeight = 0.25;

  double share_ = 0;
  Time last_{};
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_MISS_SHARE_H_
