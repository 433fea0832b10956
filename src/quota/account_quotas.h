#ifndef QUOTA_ACCOUNT_QUOTAS_H_
#define QUOTA_ACCOUNT_QUOTAS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/time.h"
#include "quota/quota_gate.h"
#include "quota/quota_keeper.h"
#include "quota/quota_owners.h"
#include "quota/quota_types.h"

namespace limpetrudder {

// Keeps the calls of each account within its limit over all instances. Each
// data centre has a fixed, equal share of every limit, whose owner is one of
// its instances; an instance asks the nearest owner for a token before it sends
// a call, and owners fetch tokens from each other. A data centre that is cut
// off goes on with its share, and no list of members that differs makes the
// shares more. docs/design/015-quotas.md derives the bound.
//
// Has no clock and does no I/O: events come in with the current time, what is
// to be done goes out through TakeOutputs(). Not thread safe.
class AccountQuotas {
 public:
  // `own` is this instance; `regions` gives the region of each data centre.
  AccountQuotas(QuotaBounds bounds,
                const QuotaMember& own,
                std::map<std::string, std::string> regions,
                std::uint64_t seed);

  AccountQuotas(const AccountQuotas&) = delete;
  AccountQuotas& operator=(const AccountQuotas&) = delete;

  void SetMembers(const std::vector<QuotaMember>& members, Time now) {
    owners_.SetMembers(members, now);
  }
  // Replaces the limits, which are looked up when they are needed.
  void SetLimits(QuotaLimitLookup limits) { limits_ = std::move(limits); }

  // Spends a token on a call and returns until when it is valid, for
  // GiveBack(). Returns nothing if there is none at hand; a QuotaDecision
  // follows then, unless the call is cancelled.
  // Precondition: the account has a limit.
  std::optional<Time> Admit(std::uint64_t call,
                            const std::string& account,
                            Time now);
  // The call doesn't wait any more.
  void Cancel(std::uint64_t call, const std::string& account) {
    gate_.Cancel(call, account);
  }
  // Takes back the token of an admitted call of which nothing was sent.
  void GiveBack(const std::string& account, Time valid_until, Time now);

  // Another instance asks. The answer has the same `ref`, which must be below
  // 2^63.
  void OnAsk(std::uint64_t ref, const QuotaAsk& ask, Time now);
  // The answer to an OutgoingQuotaAsk; nothing if there was none.
  void OnAnswer(std::uint64_t id,
                const std::optional<QuotaAnswer>& answer,
                Time now);

  // Answers other instances that wait: there are no limits any more. To be
  // called before the end of this object.
  void End() { keeper_.End(); }

  // Does what is due and returns when to call it again.
  Time Tick(Time now);

  // Returns what is to be done and clears it.
  QuotaOutputs TakeOutputs();

 private:
  // Passes on asks of this instance to itself, and the answers.
  void DeliverOwn(Time now);

  const std::string own_name_;
  QuotaOwners owners_;
  QuotaLimitLookup limits_;
  QuotaOutputs outputs_;
  QuotaKeeper keeper_;
  QuotaGate gate_;
};

}  // namespace limpetrudder

#endif  // QUOTA_ACCOUNT_QUOTAS_H_
