#ifndef ACCOUNTS_KEY_DIGEST_H_
#define ACCOUNTS_KEY_DIGEST_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace limpetrudder {

// 128 bits of a key's SHA-256, by which the key is known again and from which
// it can't be recovered.
struct KeyDigest {
  std::array<std::uint8_t, 16> bytes{};

  // The digests are sorted and searched by their first bytes only.
  std::uint32_t prefix() const;

  auto operator<=>(const KeyDigest&) const = default;
};

// Thread safe.
KeyDigest DigestOfKey(std::string_view key);

// Whether the digests are the same; takes the same time whatever they hold.
// Thread safe.
bool EqualInConstantTime(const KeyDigest& a, const KeyDigest& b);

}  // namespace limpetrudder

#endif  // ACCOUNTS_KEY_DIGEST_H_
