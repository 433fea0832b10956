#ifndef FRAMEWORK_TIME_H_
#define FRAMEWORK_TIME_H_

#include <chrono>
#include <cstdint>

namespace limpetrudder {

using Duration = std::chrono::microseconds;

// Monotonic time. Decision libraries take it as a parameter and never read a
// clock.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Later than any other time.
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

// Returns `duration` times `factor`, truncated to whole microseconds.
constexpr Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

// Returns `part` divided by `whole`. Precondition: `whole` isn't 0.
constexpr double RatioOf(Duration part, Duration whole) {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

// Returns `duration` truncated to whole milliseconds.
constexpr std::int64_t WholeMillis(Duration duration) {
  return duration.count() / 1000;
}

}  // namespace limpetrudder

#endif  // FRAMEWORK_TIME_H_
