#ifndef FRAMEWORK_HASH_H_
#define FRAMEWORK_HASH_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpetrudder {

// Returns a fast, unkeyed hash that is the same on every machine (XXH3).
// Thread safe.
std::uint64_t Hash64(std::string_view text, std::uint64_t seed = 0);

// Returns the SHA-256 of `text`. Thread safe.
std::array<std::uint8_t, 32> Sha256(std::string_view text);

// Returns the SHA-256 of `text` as 64 lower-case hexadecimal digits.
// Thread safe.
std::string Sha256Hex(std::string_view text);

}  // namespace limpetrudder

#endif  // FRAMEWORK_HASH_H_
