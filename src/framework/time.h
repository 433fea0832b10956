#ifndef FRAMEWORK_TIME_H_
#define FRAMEWORK_TIME_H_

#include <chrono>
#include <cstdint>

namespace limpetrudder {

using Duration = std::chrono::microseconds;

// Monotonic time. Decision libraries are handed it and never read a clock.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline constexpr Time kNever = Time::max();

constexpr Duration Millis(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

constexpr Duration Seconds(std::int64_t count) {
  return std::chrono::seconds(count);
}

constexpr double ToMillis(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

constexpr std::int64_t WholeMillis(Duration duration) {
  return duration.count() / 1000;
}

}  // namespace limpetrudder

#endif  // FRAMEWORK_TIME_H_
