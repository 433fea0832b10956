#ifndef FRAMEWORK_WHOLE_NUMBER_H_
#define FRAMEWORK_WHOLE_NUMBER_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "framework/json_schema.h"
#include "framework/time.h"

namespace limpetrudder {

// Readers for numbers of JSON texts from other processes. Json::get() converts
// a number of any kind, which is undefined if its value doesn't fit. Thread
// safe.

// Returns `value` if it is a whole number from 0 to 2^64 - 1.
inline std::optional<std::uint64_t> WholeNumber(const Json& value) {
  if (!value.is_number_unsigned())
    return std::nullopt;
  return value.get<std::uint64_t>();
}

// Returns the whole number in the field `name`, or nothing if `object` has no
// such field or it holds anything else.
inline std::optional<std::uint64_t> WholeNumber(const Json& object,
                                                const char* name) {
  const auto found = object.find(name);
  return found == object.end() ? std::nullopt : WholeNumber(*found);
}

// Returns the whole number of milliseconds in the field `name`, at most `max`,
// or nothing as above.
inline std::optional<Duration> WholeMillisField(const Json& object,
                                                const char* name,
                                                Duration max) {
  const auto count = WholeNumber(object, name);
  if (!count)
    return std::nullopt;
  return Millis(static_cast<std::int64_t>(
      std::min(*count, static_cast<std::uint64_t>(WholeMillis(max)))));
}

}  // namespace limpetrudder

#endif  // FRAMEWORK_WHOLE_NUMBER_H_
