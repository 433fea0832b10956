#ifndef ONCE_IDEMPOTENCY_KEY_H_
#define ONCE_IDEMPOTENCY_KEY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "framework/error.h"

namespace limpetrudder {

// Identifies one write. The key names the only instance that may ever run the
// write, and its incarnation: after a restart the instance may not run it.
struct IdempotencyKey {
  std::string issuer;   // Name of the instance that issued the key.
  std::string address;  // Its peer address, "IP:PORT".
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::int64_t issued_at_ms = 0;  // By the issuer's monotonic clock.
  std::string signature;  // Binds the key to its caller; made by the issuer.
};

// Returns "ISSUER~ADDRESS~INCARNATION~SEQUENCE~TIME~SIGNATURE". Thread safe.
std::string FormatKey(const IdempotencyKey& key);

// Parses a key that FormatKey() returned. Thread safe. Errors: kKeyMalformed.
Result<IdempotencyKey> ParseKey(std::string_view text);

}  // namespace limpetrudder

#endif  // ONCE_IDEMPOTENCY_KEY_H_
