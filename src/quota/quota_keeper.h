#ifndef QUOTA_QUOTA_KEEPER_H_
#define QUOTA_QUOTA_KEEPER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/random.h"
#include "framework/time.h"
#include "quota/quota_owners.h"
#include "quota/quota_terms.h"
#include "quota/quota_types.h"

namespace limpetrudder {

// The owner's side of quotas: holds the token buckets of the shares that this
// instance owns and answers asks for tokens. A share that lacks them asks the
// owners of the others; the asks that it can't answer wait for that.
//
// What is granted is taken from the bucket at once, so a lost answer or a
// killed holder only loses tokens. Has no clock and does no I/O. Not thread
// safe.
class QuotaKeeper {
 public:
  // `owners`, `limits` and `outputs` must outlive this object.
  QuotaKeeper(QuotaBounds bounds,
              QuotaOwners* owners,
              const QuotaLimitLookup* limits,
              QuotaOutputs* outputs,
              std::uint64_t seed);

  // Answers an ask, at once or later, with `ref`. `own`: it is of this
  // instance.
  void OnAsk(std::uint64_t ref, const QuotaAsk& ask, bool own, Time now);

  // The answer to one of this class's asks, whose ids are even; nothing if
  // there was none.
  void OnAnswer(std::uint64_t id,
                const std::optional<QuotaAnswer>& answer,
                Time now);

  // Answers the asks that wait for transfers: there are no limits any more.
  void End();

  // Another instance was heard, so that this one isn't cut off from all.
  void OnHeard(Time now) { heard_at_ = now; }

  // Does what is due and returns when to call it again.
  Time Tick(Time now);

 private:
  // An ask that waits for a transfer.
  struct HeldAsk {
    std::uint64_t ref = 0;
    double tokens = 0;
  };

  // Another share's owner that was asked for tokens.
  struct Source {
    std::string instance;
    std::string address;
    std::uint64_t pending = 0;  // The id of the ask; 0: it has ended.
    double spare = 0;
  };

  struct Transfer {
    std::vector<Source> sources;
    std::uint32_t round = 1;
    double wanted = 0;  // Tokens.
    double received = 0;
    Time deadline{};  // Of the round.
  };

  struct Share {
    QuotaLimit limit;
    double tokens = 0;
    Time refilled{};
    Time settled_at{};  // Fewer tokens are added before.
    std::uint64_t epoch = 0;
    bool owned = true;
    double demand = 0;  // Tokens asked for per second, smoothed.
    Time demand_at{};
    std::vector<HeldAsk> held;
    std::unique_ptr<Transfer> transfer;
    Time next_transfer{};
    Duration transfer_interval{0};
    double refusals = 0;  // Per second, smoothed.
    Time refused_at{};
    bool limited = false;
    std::uint64_t asked = 0;  // Since the last QuotaChange, as `granted`.
    std::uint64_t granted = 0;
  };

  // An ask to another instance.
  struct PendingAsk {
    std::string account;
    Time sent{};
  };

  // The claim of the shares of an instance that is taken for gone.
  struct Claim {
    std::uint32_t unanswered = 0;
  };

  // Begins anew if the process was frozen: others may have owned the shares
  // since.
  void NoteTime(Time now);
  // Takes back what the shares have saved. They are settled again from then.
  void BeginAnew(Time settled_at);
  void Yield(Time now);
  // Returns the share of the account, or null if this instance doesn't own it.
  Share* OwnedShare(const std::string& account,
                    const QuotaLimit& limit,
                    Time now);
  QuotaTerms TermsOf(const Share& share) const;
  void Refill(Share* share, Time now) const;
  void CountDemand(Share* share, double tokens, Time now) const;
  void Answer(std::uint64_t ref, QuotaAnswer answer);
  void GiveTo(Share* share, std::uint64_t ref, double tokens, Time now);
  // Answers as many of the held asks as there are tokens for.
  void Serve(Share* share);
  void RefuseHeld(const std::string& account, Share* share, Time now);
  Duration RetryAfter(const Share& share);
  bool StartTransfer(const std::string& account, Share* share, Time now);
  void SendRound(const std::string& account, Share* share, Time now);
  // Goes on with a transfer whose round has ended.
  void EndRound(const std::string& account, Share* share, Time now);
  // Claims the shares of instances that are taken for gone.
  void SendClaims();
  void OnClaimAnswer(std::uint64_t id, bool answered);
  // Reports which accounts are within their limits again, and forgets shares
  // that aren't used.
  void Review(Time now);
  void ReportChange(const std::string& account, Share* share);

  const QuotaBounds bounds_;
  QuotaOwners* const owners_;
  const QuotaLimitLookup* const limits_;
  QuotaOutputs* const outputs_;
  Random random_;
  std::unordered_map<std::string, Share> shares_;  // By account.
  std::unordered_map<std::uint64_t, PendingAsk> pending_;
  std::uint64_t next_id_ = 2;
  // By instance name, and the names by ids of their asks.
  std::unordered_map<std::string, Claim> claims_;
  std::unordered_map<std::uint64_t, std::string> pending_claims_;
  // Another instance owns the shares until then.
  Time yields_until_ = Time::min();
  Time heard_at_ = Time::min();
  Time noted_at_ = Time::min();
  Time next_review_{};
};

}  // namespace limpetrudder

#endif  // QUOTA_QUOTA_KEEPER_H_
