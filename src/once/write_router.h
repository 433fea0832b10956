#ifndef ONCE_WRITE_ROUTER_H_
#define ONCE_WRITE_ROUTER_H_

#include <optional>
#include <string>

#include "framework/time.h"
#include "once/idempotency_key.h"
#include "once/once_types.h"

namespace limpetrudder {

// Where a write with a given key goes.
enum class WriteRouteKind {
  kHere,     // This instance issued the key.
  kForward,  // Another live instance did.
  kRefuse,   // The answer is known without asking.
};

struct WriteRoute {
  WriteRouteKind kind = WriteRouteKind::kRefuse;
  std::string issuer;   // For kForward.
  std::string address;  // For kForward.
  WriteOutcome refusal;
};

// What a forwarding instance knows of the key's issuer.
enum class IssuerStanding { kLive, kLeft, kUnheardOf };

// Decides where a write goes. `self` is this instance's name. Only the issuer
// is ever asked: if it is gone nobody can run the key. Thread safe.
WriteRoute RouteWrite(std::string_view key,
                      std::string_view self,
                      IssuerStanding issuer);

// Returns what to tell a caller whose write was forwarded to the issuer, which
// didn't reply. `sent` if any byte may have left. Thread safe.
WriteOutcome OutcomeOfLostForward(bool sent);

}  // namespace limpetrudder

#endif  // ONCE_WRITE_ROUTER_H_
