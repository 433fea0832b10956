#ifndef FRAMEWORK_CLOCK_H_
#define FRAMEWORK_CLOCK_H_

#include <string>

#include "framework/time.h"

namespace limpetrudder {

// Clocks for adapters and duties. Decision libraries take the time as a
// parameter instead.

// Returns the monotonic time. Thread safe.
Time SteadyNow();

// Returns the wall-clock time as "2026-12-04T00:27:34.123Z". Thread safe.
std::string UtcNow();

// Returns the wall-clock time in milliseconds since 1970. Thread safe.
std::int64_t UnixMillis();

}  // namespace limpetrudder

#endif  // FRAMEWORK_CLOCK_H_
