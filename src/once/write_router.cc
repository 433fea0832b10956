#include "once/write_router.h"

#include <utility>

namespace limpetrudder {
namespace {

constexpr Duration kRetryAfterFailedForward = Seconds(1);

WriteRoute Refusal(ResultCode code, WriteState state, std::string message) {
  WriteRoute route;
  route.kind = WriteRouteKind::kRefuse;
  route.refusal.code = code;
  route.refusal.state = state;
  route.refusal.final = true;
  route.refusal.message = std::move(message);
  return route;
}

}  // namespace

WriteRoute RouteWrite(std::string_view key,
                      std::string_view self,
                      IssuerState issuer) {
  const auto parsed = ParseKey(key);
  if (!parsed) {
    return Refusal(ResultCode::kKeyMalformed, WriteState::kNotRun,
                   "the key can't be read");
  }
  const IdempotencyKey& parsed_key = parsed.assume_value();
  WriteRoute route;
  if (parsed_key.issuer == self) {
    route.kind = WriteRouteKind::kHere;
    return route;
  }
  if (issuer != IssuerState::kLive) {
    // NOTE The issuer may have run the key before it left, perhaps for another
    // attempt of the same caller, so the state isn't kNotRun.
    route = Refusal(
        ResultCode::kIssuerGone, WriteState::kUnknown,
        "instance " + parsed_key.issuer +
            " issued the key and can't be asked; this attempt has not run, "
            "and whether an earlier one did is not known");
    // NOTE An issuer that isn't in the member table may be cut off and return.
    route.refusal.final = issuer == IssuerState::kLeft;
    if (!route.refusal.final)
      route.refusal.retry_after = kRetryAfterFailedForward;
    return route;
  }
  route.kind = WriteRouteKind::kForward;
  route.issuer = parsed_key.issuer;
  route.address = parsed_key.address;
  return route;
}

WriteOutcome OutcomeOfFailedForward(bool sent) {
  WriteOutcome outcome;
  outcome.retry_after = kRetryAfterFailedForward;
  if (sent) {
    outcome.code = ResultCode::kOutcomeUnknown;
    outcome.state = WriteState::kUnknown;
    outcome.message =
        "the issuer was asked and didn't reply; ask for the outcome, or repeat "
        "the write with the same key";
    return outcome;
  }
  outcome.code = ResultCode::kPeerUnreachable;
  outcome.state = WriteState::kNotRun;
  outcome.message = "the issuer couldn't be asked; not run by this attempt";
  return outcome;
}

}  // namespace limpetrudder
