#ifndef DISPATCH_INTERNAL_SUSTAINED_LATENESS_H_
#define DISPATCH_INTERNAL_SUSTAINED_LATENESS_H_

#include <cstdint>

#include "framework/time.h"

namespace limpetrudder::detail {

// Answers that come late one after the other, with no timely one in between.
// Tells lasting lateness from what a pause leaves behind. Not thread safe.
class SustainedLateness {
 public:
  void Add(Time now) {
    if (count_ == 0 || now - last_ > kMaxGap) {
      count_ = 0;
      first_ = now;
    }
    ++count_;
    last_ = now;
  }
  void Reset() { count_ = 0; }

  // Whether it goes on for longer than a pause explains.
  bool IsSustained(Time now) const {
    return count_ >= kMinCount && Length(now) >= kMinLength;
  }
  Duration Length(Time now) const { return now - first_; }

 private:
  // A pause of a quarter of a second and the queue that it leaves behind make
  // answers late for less than this.
  static constexpr Duration kMinLength = Millis(500);
  static constexpr std::uint32_t kMinCount = 3;

  // Late answers further apart than this have nothing to do with each other.
  static constexpr Duration kMaxGap = Seconds(2);

  std::uint32_t count_ = 0;
  Time first_{};
  Time last_{};
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SUSTAINED_LATENESS_H_
