#include "framework/clock.h"

#include <cstdio>
#include <ctime>

namespace limpetrudder {

Time SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string UtcNow() {
  const std::int64_t millis = UnixMillis();
  const auto seconds = static_cast<std::time_t>(millis / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const std::size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + length, sizeof(text) - length, ".%03dZ",
                static_cast<int>(millis % 1000));
  return text;
}

}  // namespace limpetrudder
