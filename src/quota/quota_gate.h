#ifndef QUOTA_QUOTA_GATE_H_
#define QUOTA_QUOTA_GATE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/random.h"
#include "framework/time.h"
#include "quota/quota_owners.h"
#include "quota/quota_types.h"

namespace limpetrudder {

// The entry side of quotas: holds a call until there is a token for it, and
// asks the nearest owner of a share for tokens. Has no clock and does no I/O.
// Not thread safe.
class QuotaGate {
 public:
  // `owners` and `outputs` must outlive this object.
  QuotaGate(QuotaOwners* owners, QuotaOutputs* outputs, std::uint64_t seed);

  // Spends a token on a call of an account that has a limit, and returns until
  // when that is valid. Returns nothing if there is none; a QuotaDecision
  // follows then, unless the call is cancelled.
  std::optional<Time> Admit(std::uint64_t call,
                            const std::string& account,
                            Time now);

  // The call doesn't wait any more.
  void Cancel(std::uint64_t call, const std::string& account);

  // Takes back the token of an admitted call of which nothing was sent.
  void GiveBack(const std::string& account, Time valid_until, Time now);

  // The answer to one of this class's asks, whose ids are odd; nothing if there
  // was none.
  void OnAnswer(std::uint64_t id,
                const std::optional<QuotaAnswer>& answer,
                Time now);

  // Does what is due and returns when to call it again.
  Time Tick(Time now);

 private:
  // Tokens at hand.
  struct Lot {
    Time valid_until{};
    double tokens = 0;
  };

  struct Account {
    std::deque<std::uint64_t> waiting;  // Calls.
    std::vector<Lot> lots;
    std::uint64_t ask = 0;  // The id of the pending one; 0: none.
    std::string asked;      // The instance.
    Time sent{};
    std::size_t asked_for = 0;  // Calls that waited when it was sent.
    // When one of those may own a share, as it said.
    Duration owned_after{0};
    std::vector<std::string> tried;  // Instances, for these calls.
    // Calls in the current and in the last period.
    Time period_began{};
    std::uint32_t calls = 0;
    std::uint32_t last_calls = 0;
  };

  static void CountCall(Account* account, Time now);
  static std::optional<Time> Spend(Account* account, Time now);
  // Returns whom to ask next, or null.
  const QuotaMember* NextOwner(const std::string& name,
                               const Account& account,
                               Time now) const;
  void Ask(const std::string& name, Account* account, Time now);
  // Ends the pending ask and asks the next owner.
  void AskNext(const std::string& name, Account* account, Time now);
  void ServeWaiting(Account* account, Time now);
  // Decides the calls for which the last ask was.
  void RefuseAsked(Account* account,
                   QuotaVerdict verdict,
                   Duration retry_after);

  QuotaOwners* const owners_;
  QuotaOutputs* const outputs_;
  Random random_;
  std::unordered_map<std::string, Account> accounts_;    // By name.
  std::unordered_map<std::uint64_t, std::string> asks_;  // Names, by id.
  std::uint64_t next_id_ = 1;
  Time next_review_{};
};

}  // namespace limpetrudder

#endif  // QUOTA_QUOTA_GATE_H_
