#ifndef DISPATCH_INTERNAL_SUSTAINED_LATENESS_H_
#define DISPATCH_INTERNAL_SUSTAINED_LATENESS_H_

#include <cstdint>

#include "framework/time.h"

namespace limpetrudder::detail {

// Detects sustained lateness: consecutive late answers over a longer time than
// a single pause and the queue that it leaves can explain. The caller resets it
// at each timely answer. Not thread safe.
class SustainedLateness {
 public:
  // Records a late answer.
  void Add(Time now) {
    if (count_ == 0 || now - last_ > kMaxGap) {
      count_ = 0;
      first_ = now;
    }
    ++count_;
    last_ = now;
  }
  void Reset() { count_ = 0; }

  // Whether lateness has lasted for longer than a pause explains.
  bool IsSustained(Time now) const {
    return count_ >= kMinCount && Length(now) >= kMinLength;
  }
  // The time since the first of the consecutive late answers.
  Duration Length(Time now) const { return now - first_; }

 private:
  // A pause of 250 ms and the queue that it leaves make answers late for less
  // than this.
  static constexpr Duration kMinLength = Millis(500);
  static constexpr std::uint32_t kMinCount = 3;

  // Late answers further apart than this are unrelated.
  static constexpr Duration kMaxGap = Seconds(2);

  std::uint32_t count_ = 0;
  Time first_{};
  Time last_{};
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SUSTAINED_LATENESS_H_
