#ifndef QUOTA_QUOTA_TYPES_H_
#define QUOTA_QUOTA_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "framework/enum_names.h"
#include "framework/time.h"

namespace limpetrudder {

// Bounds of an account's calls over all instances: in any `window`, at most
// (rate * window + burst) * (1 + overage) + slack calls run.
struct QuotaBounds {
  Duration window = Seconds(5);
  double overage = 0;
  double slack = 0;
};

// An account's limit over all instances.
struct QuotaLimit {
  double rate = 0;  // Calls per second; above 0.
  double burst = 0;

  bool operator==(const QuotaLimit&) const = default;
};

// Returns the limit of the named account; nothing if it has none or isn't
// known.
using QuotaLimitLookup =
    std::function<std::optional<QuotaLimit>(const std::string& account)>;

// A live instance, as the quotas see it.
struct QuotaMember {
  std::string name;
  std::string data_centre;
  std::string address;  // "IP:PORT", for other instances.
  double cores = 1;

  bool operator==(const QuotaMember&) const = default;
};

// What tokens are asked for.
enum class QuotaPurpose {
  kCalls,     // For calls that wait; granted in whole tokens.
  kTransfer,  // For another share's owner, which lacks them.
  // For nothing: the sender takes the receiver for gone and owns its shares, so
  // that the receiver must not own them as well.
  kClaim,
};

inline constexpr EnumNames<QuotaPurpose, 3> kQuotaPurposeNames{{
    {QuotaPurpose::kCalls, "calls"},
    {QuotaPurpose::kTransfer, "transfer"},
    {QuotaPurpose::kClaim, "claim"},
}};

// A request for tokens of one account.
struct QuotaAsk {
  std::string account;  // Empty for a claim.
  QuotaPurpose purpose = QuotaPurpose::kCalls;
  double tokens = 0;
};

// The answer to a QuotaAsk.
struct QuotaAnswer {
  // False: the asked instance doesn't own a share of the account, as far as it
  // knows, and grants nothing.
  bool is_owner = false;
  double tokens = 0;  // Granted.
  double spare = 0;   // Left for other shares.
  // How long the tokens are valid, counted from when the ask was sent.
  Duration life{0};
  // If nothing was granted. Of an instance that owns nothing: when it may own a
  // share, 0 if it doesn't know.
  Duration retry_after{0};
};

// A QuotaAsk that is to be sent to another instance. Its answer, or the lack of
// one, comes back with `id`.
struct OutgoingQuotaAsk {
  std::uint64_t id = 0;
  std::string instance;
  std::string address;
  QuotaAsk ask;
};

// The answer to the ask that came with `ref`.
struct OutgoingQuotaAnswer {
  std::uint64_t ref = 0;
  QuotaAnswer answer;
};

enum class QuotaVerdict {
  kAdmitted,
  kOverLimit,
  kNoOwner,  // No owner of any share answered.
};

// What becomes of a call that waited for a token.
struct QuotaDecision {
  std::uint64_t call = 0;
  QuotaVerdict verdict = QuotaVerdict::kAdmitted;
  Time valid_until{};       // If it was admitted: of its token.
  Duration retry_after{0};  // Otherwise.
};

// An owner began to refuse an account's calls, or stopped.
struct QuotaChange {
  std::string account;
  bool limited = false;
  QuotaLimit limit;
  // Whole tokens since the last change.
  std::uint64_t asked = 0;
  std::uint64_t granted = 0;
};

// Counts since the outputs were last taken.
struct QuotaCounts {
  std::uint64_t asks = 0;       // To other instances, for calls.
  std::uint64_t transfers = 0;  // To other instances, for an owned share.
  std::uint64_t claims = 0;     // To instances that are taken for gone.
  std::uint64_t granted = 0;    // Tokens, by shares of this instance.
  std::uint64_t refused = 0;    // Calls, over the limit.
  std::uint64_t fallbacks = 0;  // Asks to another than the nearest owner.
  std::uint64_t no_owner = 0;   // Calls for which no owner answered.

  bool operator==(const QuotaCounts&) const = default;
};

// What the quotas want done, in order.
struct QuotaOutputs {
  std::vector<OutgoingQuotaAsk> asks;
  std::vector<OutgoingQuotaAnswer> answers;
  std::vector<QuotaDecision> decisions;
  std::vector<QuotaChange> changes;
  QuotaCounts counts;
};

}  // namespace limpetrudder

#endif  // QUOTA_QUOTA_TYPES_H_
