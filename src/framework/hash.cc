#include "framework/hash.h"

#include <array>

#include <openssl/sha.h>
#include <xxhash.h>

namespace limpetrudder {

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string Sha256Hex(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (unsigned char byte : digest) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

}  // namespace limpetrudder
