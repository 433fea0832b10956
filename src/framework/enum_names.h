#ifndef FRAMEWORK_ENUM_NAMES_H_
#define FRAMEWORK_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace limpetrudder {

// One row of a table that names the values of an enumeration.
template <typename E>
struct EnumName {
  E value;
  std::string_view name;
};

template <typename E, std::size_t N>
using EnumNames = std::array<EnumName<E>, N>;

// Returns the name of `value`, or "unknown" if the table lacks it.
// Thread safe.
template <typename E, std::size_t N>
constexpr std::string_view NameOf(const EnumNames<E, N>& names, E value) {
  for (const auto& row : names) {
    if (row.value == value)
      return row.name;
  }
  return "unknown";
}

// Returns the value called `name`, if the table has it. Thread safe.
template <typename E, std::size_t N>
constexpr std::optional<E> ValueOf(const EnumNames<E, N>& names,
                                   std::string_view name) {
  for (const auto& row : names) {
    if (row.name == name)
      return row.value;
  }
  return std::nullopt;
}

}  // namespace limpetrudder

#endif  // FRAMEWORK_ENUM_NAMES_H_
