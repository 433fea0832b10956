#include "framework/hash.h"

#include <array>

#include <openssl/sha.h>
#include <xxhash.h>

namespace limpetrudder {

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::array<std::uint8_t, 32> Sha256(std::string_view text) {
  std::array<std::uint8_t, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return digest;
}

std::string Sha256Hex(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto digest = Sha256(text);
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (const std::uint8_t byte : digest) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

}  // namespace limpetrudder
