#include "once/write_router.h"

#include <utility>

namespace limpetrudder {
namespace {

constexpr Duration kRetryAfterLostForward = Seconds(1);

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
                      IssuerStanding issuer) {
  const auto read = ReadKey(key);
  if (!read) {
    return Refusal(ResultCode::kKeyMalformed, WriteState::kNotRun,
                   "the key can't be read");
  }
  const IdempotencyKey& parsed = read.assume_value();
  WriteRoute route;
  if (parsed.issuer == self) {
    route.kind = WriteRouteKind::kHere;
    return route;
  }
  if (issuer != IssuerStanding::kLive) {
    // NOTE The issuer may have run the key before it went, perhaps for another
    // attempt of the same caller, so this isn't "not run".
    route = Refusal(
        ResultCode::kIssuerGone, WriteState::kUnknown,
        "instance " + parsed.issuer +
            " issued the key and can't be asked; this attempt has not run, "
            "and whether an earlier one did is not known");
    // NOTE One that isn't in the table may be cut off and come back.
    route.refusal.final = issuer == IssuerStanding::kLeft;
    if (!route.refusal.final)
      route.refusal.retry_after = kRetryAfterLostForward;
    return route;
  }
  route.kind = WriteRouteKind::kForward;
  route.issuer = parsed.issuer;
  route.address = parsed.address;
  return route;
}

WriteOutcome OutcomeOfLostForward(bool sent) {
  WriteOutcome outcome;
  outcome.retry_after = kRetryAfterLostForward;
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
