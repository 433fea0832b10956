#ifndef FRAMEWORK_READ_NUMBER_H_
#define FRAMEWORK_READ_NUMBER_H_

#include <charconv>
#include <string_view>
#include <system_error>

namespace limpetrudder {

// Parses `text`, all of which must be a decimal number that fits into `T`.
// Otherwise returns false and leaves `number` unspecified. Thread safe.
template <typename T>
bool ReadNumber(std::string_view text, T* number) {
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, *number);
  return read.ec == std::errc() && read.ptr == end;
}

}  // namespace limpetrudder

#endif  // FRAMEWORK_READ_NUMBER_H_
