#ifndef ONCE_WRITE_ROUTER_H_
#define ONCE_WRITE_ROUTER_H_

#include <optional>
#include <string>

#include "framework/time.h"
#include "once/idempotency_key.h"
#include "once/once_types.h"

namespace limpetrudder {

// Where a write with a given key is sent.
enum class WriteRouteKind {
  kHere,     // This instance issued the key.
  kForward,  // Another live instance did.
  kRefuse,   // The outcome is known without a request to the issuer.
};

struct WriteRoute {
  WriteRouteKind kind = WriteRouteKind::kRefuse;
  std::string issuer;   // For kForward.
  std::string address;  // For kForward.
  WriteOutcome refusal;
};

// The state of a key's issuer as the forwarding instance knows it. kUnknown:
// the issuer isn't in its member table.
enum class IssuerState { kLive, kLeft, kUnknown };

// Decides where a write is sent. `self` is this instance's name. Only the
// issuer can run the key: if it is gone, no other instance does. Thread safe.
WriteRoute RouteWrite(std::string_view key,
                      std::string_view self,
                      IssuerState issuer);

// Returns the outcome for a caller whose write was forwarded to the issuer,
// which didn't reply. `sent` if any byte may have been sent. Thread safe.
WriteOutcome OutcomeOfFailedForward(bool sent);

}  // namespace limpetrudder

#endif  // ONCE_WRITE_ROUTER_H_
