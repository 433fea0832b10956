#include "accounts/key_digest.h"

#include <algorithm>
#include <cstddef>

#include "framework/hash.h"

namespace limpetrudder {

std::uint32_t KeyDigest::prefix() const {
  std::uint32_t prefix = 0;
  for (std::size_t i = 0; i < sizeof(prefix); ++i)
    prefix = prefix << 8 | bytes[i];
  return prefix;
}

KeyDigest DigestOfKey(std::string_view key) {
  const auto whole = Sha256(key);
  KeyDigest digest;
  std::copy_n(whole.begin(), digest.bytes.size(), digest.bytes.begin());
  return digest;
}

bool EqualInConstantTime(const KeyDigest& a, const KeyDigest& b) {
  std::uint8_t differences = 0;
  for (std::size_t i = 0; i < a.bytes.size(); ++i)
    differences |= a.bytes[i] ^ b.bytes[i];
  return differences == 0;
}

}  // namespace limpetrudder
