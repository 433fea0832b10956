#include "quota/quota_keeper.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpetrudder {
namespace {

// A new owner adds tokens at this part of the rate until instances with an
// older list of members have stopped asking the former one.
constexpr Duration kSettleTime = Seconds(3);
constexpr double kSettlingRate = 0.5;

// The list of members of an instance that has just started may be incomplete.
constexpr Duration kMinOwnerAge = Millis(1200);

// An instance that has heard no other one for longer may have been replaced.
constexpr Duration kMaxUnheard = Seconds(2);

// An instance whose shares another one claims doesn't own them for this long.
// Claims are repeated until this many in a row have had no answer.
constexpr Duration kYieldTime = Seconds(3);
constexpr std::uint32_t kMaxUnansweredClaims = 10;

// Shares are looked through at this interval. A longer gap means that the
// process was frozen.
constexpr Duration kReviewInterval = Seconds(1);
constexpr Duration kFreezeGap = Millis(2500);

// Two rounds of a transfer and a round trip within a region take less than an
// instance waits for an answer; one round takes a round trip between regions.
constexpr Duration kRoundTime = Millis(26);
constexpr std::uint32_t kMaxRounds = 2;

// Between two transfers of a share, if the first one didn't bring enough;
// doubles while they bring next to nothing.
constexpr Duration kMinTransferInterval = Millis(50);
constexpr double kNextToNothing = 0.1;
constexpr Duration kMaxTransferInterval = Millis(800);

// A transfer fetches what was asked for lately in this time, besides what is
// asked for now. The owner of another share keeps as much for itself.
constexpr double kAheadSeconds = 0.1;

// Rounding must not cost a call.
constexpr double kTransferMargin = 1e-3;

constexpr Duration kSmoothingTime = Seconds(1);

// An account that wasn't refused for this long is within its limit again.
constexpr Duration kFreeAfter = Seconds(2);

// A full share that wasn't asked for this long needs no memory.
constexpr Duration kIdleTime = Seconds(60);

constexpr double kMinRetrySeconds = 0.1;
constexpr double kMaxRetrySeconds = 10;

double SecondsOf(Duration duration) {
  return RatioOf(duration, Seconds(1));
}

double Decayed(double rate, Duration since) {
  return rate * std::exp(-RatioOf(since, kSmoothingTime));
}

}  // namespace

QuotaKeeper::QuotaKeeper(QuotaBounds bounds,
                         QuotaOwners* owners,
                         const QuotaLimitLookup* limits,
                         QuotaOutputs* outputs,
                         std::uint64_t seed)
    : bounds_(bounds),
      owners_(owners),
      limits_(limits),
      outputs_(outputs),
      random_(seed) {}

void QuotaKeeper::NoteTime(Time now) {
  const bool was_frozen = !shares_.empty() && noted_at_ != Time::min() &&
                          now - noted_at_ > kFreezeGap;
  noted_at_ = now;
  if (!was_frozen)
    return;
  BeginAnew(now + kSettleTime);
}

void QuotaKeeper::BeginAnew(Time settled_at) {
  for (auto& [account, share] : shares_) {
    share.tokens = std::min(share.tokens, TermsOf(share).start);
    share.settled_at = settled_at;
    share.refilled = std::max(share.refilled, settled_at - kSettleTime);
  }
}

void QuotaKeeper::Yield(Time now) {
  yields_until_ = now + kYieldTime;
  BeginAnew(yields_until_ + kSettleTime);
}

QuotaTerms QuotaKeeper::TermsOf(const Share& share) const {
  return ShareOf(share.limit, bounds_, owners_->shares());
}

QuotaKeeper::Share* QuotaKeeper::OwnedShare(const std::string& account,
                                            const QuotaLimit& limit,
                                            Time now) {
  const auto found = shares_.find(account);
  if (found == shares_.end()) {
    if (!owners_->IsOwner(account))
      return nullptr;
    Share& share = shares_[account];
    share.limit = limit;
    share.epoch = owners_->epoch();
    const bool continues = owners_->continues() && owners_->epoch() == 1;
    share.settled_at = std::max(owners_->changed_at(), yields_until_) +
                       (continues ? Duration(0) : kSettleTime);
    share.refilled = std::max(owners_->changed_at(), yields_until_);
    share.tokens = std::min(TermsOf(share).start, TermsOf(share).depth);
    share.demand_at = now;
    share.transfer_interval = kMinTransferInterval;
    Refill(&share, now);
    return &share;
  }
  Share& share = found->second;
  share.limit = limit;
  Refill(&share, now);
  if (share.epoch != owners_->epoch()) {
    const bool was_owned =
        std::exchange(share.owned, owners_->IsOwner(account));
    share.epoch = owners_->epoch();
    if (!share.owned || !was_owned) {
      share.tokens = std::min(share.tokens, TermsOf(share).start);
      share.settled_at = now + kSettleTime;
    }
  }
  return share.owned ? &share : nullptr;
}

void QuotaKeeper::Refill(Share* share, Time now) const {
  const QuotaTerms terms = TermsOf(*share);
  if (share->owned && share->refilled < now && share->tokens < terms.depth) {
    const Time settled = std::clamp(share->settled_at, share->refilled, now);
    const double seconds = SecondsOf(now - settled) +
                           kSettlingRate * SecondsOf(settled - share->refilled);
    share->tokens = std::min(share->tokens + terms.rate * seconds, terms.depth);
  }
  // NOTE A transfer may gather a whole token where the depth is less.
  if (!share->transfer)
    share->tokens = std::min(share->tokens, terms.depth);
  share->refilled = std::max(share->refilled, now);
}

void QuotaKeeper::CountDemand(Share* share, double tokens, Time now) const {
  share->demand = Decayed(share->demand, now - share->demand_at) +
                  tokens / SecondsOf(kSmoothingTime);
  share->demand_at = now;
}

void QuotaKeeper::Answer(std::uint64_t ref, QuotaAnswer answer) {
  answer.life = GrantLife(bounds_);
  outputs_->answers.push_back({ref, answer});
}

void QuotaKeeper::OnAsk(std::uint64_t ref,
                        const QuotaAsk& ask,
                        bool own,
                        Time now) {
  NoteTime(now);
  if (!own)
    OnHeard(now);
  if (ask.purpose == QuotaPurpose::kClaim) {
    Yield(now);
    return Answer(ref, {});
  }
  const bool is_cut_off =
      owners_->has_others() &&
      (heard_at_ == Time::min() || now - heard_at_ > kMaxUnheard);
  if (owners_->epoch() == 0 || is_cut_off || now < yields_until_)
    return Answer(ref, {});
  const Duration age = now - owners_->began_at();
  if (age < kMinOwnerAge && !owners_->continues())
    return Answer(ref, {.retry_after = kMinOwnerAge - age});
  const auto limit = (*limits_)(ask.account);
  // NOTE The routes in force here are older than the account's limit.
  if (!limit) {
    const bool is_for_calls = ask.purpose == QuotaPurpose::kCalls;
    return Answer(ref,
                  {.is_owner = true, .tokens = is_for_calls ? ask.tokens : 0});
  }
  Share* share = OwnedShare(ask.account, *limit, now);
  if (share == nullptr)
    return Answer(ref, {});
  if (ask.purpose == QuotaPurpose::kTransfer)
    return GiveTo(share, ref, ask.tokens, now);
  CountDemand(share, ask.tokens, now);
  share->asked += static_cast<std::uint64_t>(ask.tokens);
  share->held.push_back({ref, ask.tokens});
  Serve(share);
  if (share->held.empty() || share->transfer)
    return;
  if (now < share->next_transfer || !StartTransfer(ask.account, share, now))
    RefuseHeld(ask.account, share, now);
}

void QuotaKeeper::End() {
  for (auto& [account, share] : shares_) {
    for (const HeldAsk& ask : std::exchange(share.held, {}))
      Answer(ask.ref, {.is_owner = true, .tokens = ask.tokens});
  }
}

void QuotaKeeper::GiveTo(Share* share,
                         std::uint64_t ref,
                         double tokens,
                         Time now) {
  const double kept =
      Decayed(share->demand, now - share->demand_at) * kAheadSeconds;
  const double spare = std::max(0.0, share->tokens - kept);
  const double given = std::min(tokens, spare);
  share->tokens -= given;
  Answer(ref, {.is_owner = true, .tokens = given, .spare = spare - given});
}

void QuotaKeeper::Serve(Share* share) {
  while (!share->held.empty() && share->tokens >= 1) {
    const HeldAsk ask = share->held.front();
    const double granted = std::min(std::floor(share->tokens), ask.tokens);
    share->held.erase(share->held.begin());
    share->tokens -= granted;
    share->granted += static_cast<std::uint64_t>(granted);
    outputs_->counts.granted += static_cast<std::uint64_t>(granted);
    Answer(ask.ref, {.is_owner = true, .tokens = granted});
  }
}

Duration QuotaKeeper::RetryAfter(const Share& share) {
  const double seconds =
      (1 + share.refusals * random_.Unit()) / share.limit.rate;
  return Scaled(Seconds(1),
                std::clamp(seconds, kMinRetrySeconds, kMaxRetrySeconds));
}

void QuotaKeeper::RefuseHeld(const std::string& account,
                             Share* share,
                             Time now) {
  for (const HeldAsk& ask : std::exchange(share->held, {})) {
    share->refusals = Decayed(share->refusals, now - share->refused_at) +
                      ask.tokens / SecondsOf(kSmoothingTime);
    share->refused_at = now;
    Answer(ask.ref, {.is_owner = true, .retry_after = RetryAfter(*share)});
    if (!std::exchange(share->limited, true))
      ReportChange(account, share);
  }
}

bool QuotaKeeper::StartTransfer(const std::string& account,
                                Share* share,
                                Time now) {
  auto transfer = std::make_unique<Transfer>();
  for (const QuotaMember* owner : owners_->Owners(account)) {
    if (!owners_->is_own(*owner) && !owners_->IsSilent(owner->name, now))
      transfer->sources.push_back({owner->name, owner->address, 0, 1});
  }
  if (transfer->sources.empty())
    return false;
  double wanted = share->demand * kAheadSeconds + kTransferMargin;
  for (const HeldAsk& ask : share->held)
    wanted += ask.tokens;
  const double most = std::max(1 + kTransferMargin, TermsOf(*share).depth);
  transfer->wanted = std::min(wanted, most) - share->tokens;
  share->transfer = std::move(transfer);
  SendRound(account, share, now);
  return true;
}

void QuotaKeeper::SendRound(const std::string& account,
                            Share* share,
                            Time now) {
  Transfer& transfer = *share->transfer;
  transfer.deadline = now + kRoundTime;
  double spare = 0;
  for (const Source& source : transfer.sources)
    spare += source.spare;
  for (Source& source : transfer.sources) {
    if (source.spare <= 0)
      continue;
    source.pending = next_id_;
    next_id_ += 2;
    pending_[source.pending] = {account, now};
    ++outputs_->counts.transfers;
    outputs_->asks.push_back(
        {source.pending,
         source.instance,
         source.address,
         {account, QuotaPurpose::kTransfer,
          (transfer.wanted - transfer.received) * source.spare / spare}});
    source.spare = 0;
  }
}

void QuotaKeeper::OnAnswer(std::uint64_t id,
                           const std::optional<QuotaAnswer>& answer,
                           Time now) {
  NoteTime(now);
  const auto found = pending_.find(id);
  if (found == pending_.end())
    return OnClaimAnswer(id, answer.has_value());
  const PendingAsk pending = std::move(found->second);
  pending_.erase(found);
  const auto entry = shares_.find(pending.account);
  if (entry == shares_.end())
    return;
  Share& share = entry->second;
  Refill(&share, now);
  const bool in_time = now - pending.sent <= kMaxTransferTime;
  const double received = answer && in_time ? answer->tokens : 0;
  if (!share.owned)
    return;
  share.tokens += received;
  if (share.transfer) {
    auto& sources = share.transfer->sources;
    const auto source =
        std::find_if(sources.begin(), sources.end(),
                     [id](const Source& s) { return s.pending == id; });
    if (source != sources.end()) {
      source->pending = 0;
      source->spare = answer ? answer->spare : 0;
      if (!answer)
        owners_->OnSilent(source->instance, now);
      share.transfer->received += received;
    }
  }
  Serve(&share);
  if (!share.transfer)
    return;
  const auto& sources = share.transfer->sources;
  if (std::all_of(sources.begin(), sources.end(),
                  [](const Source& s) { return s.pending == 0; })) {
    EndRound(pending.account, &share, now);
  }
}

void QuotaKeeper::EndRound(const std::string& account, Share* share, Time now) {
  Transfer& transfer = *share->transfer;
  bool has_spare = false;
  for (Source& source : transfer.sources) {
    if (std::exchange(source.pending, 0) != 0)
      owners_->OnSilent(source.instance, now);
    has_spare = has_spare || source.spare > 0;
  }
  if (!share->held.empty() && has_spare &&
      transfer.received < transfer.wanted && transfer.round < kMaxRounds) {
    ++transfer.round;
    return SendRound(account, share, now);
  }
  const bool sufficed = share->held.empty();
  share->transfer_interval =
      transfer.received > kNextToNothing
          ? kMinTransferInterval
          : std::min(2 * share->transfer_interval, kMaxTransferInterval);
  share->next_transfer = sufficed ? now : now + share->transfer_interval;
  share->transfer = nullptr;
  if (!sufficed)
    RefuseHeld(account, share, now);
}

Time QuotaKeeper::Tick(Time now) {
  NoteTime(now);
  Time next = kNever;
  for (auto& [account, share] : shares_) {
    if (!share.transfer)
      continue;
    if (share.transfer->deadline <= now)
      EndRound(account, &share, now);
    if (share.transfer)
      next = std::min(next, share.transfer->deadline);
  }
  if (now >= next_review_) {
    next_review_ = now + kReviewInterval;
    Review(now);
    SendClaims();
  }
  return shares_.empty() && owners_->former().empty()
             ? next
             : std::min(next, next_review_);
}

void QuotaKeeper::Review(Time now) {
  std::erase_if(pending_, [now](const auto& entry) {
    return now - entry.second.sent > kReviewInterval;
  });
  std::vector<std::string> idle;
  for (auto& [account, share] : shares_) {
    Refill(&share, now);
    if (share.limited && now - share.refused_at >= kFreeAfter) {
      share.limited = false;
      ReportChange(account, &share);
    }
    const bool is_full = share.tokens >= TermsOf(share).depth;
    if (now - share.demand_at >= kIdleTime && !share.transfer &&
        (is_full || !share.owned)) {
      idle.push_back(account);
    }
  }
  for (const std::string& account : idle)
    shares_.erase(account);
}

void QuotaKeeper::SendClaims() {
  std::vector<std::string> given_up;
  for (const QuotaMember& member : owners_->former()) {
    if (++claims_[member.name].unanswered > kMaxUnansweredClaims) {
      given_up.push_back(member.name);
      continue;
    }
    pending_claims_[next_id_] = member.name;
    ++outputs_->counts.claims;
    outputs_->asks.push_back(
        {next_id_, member.name, member.address, {"", QuotaPurpose::kClaim, 0}});
    next_id_ += 2;
  }
  for (const std::string& name : given_up)
    owners_->ForgetFormer(name);
  if (owners_->former().empty()) {
    claims_.clear();
    pending_claims_.clear();
  }
}

void QuotaKeeper::OnClaimAnswer(std::uint64_t id, bool answered) {
  const auto found = pending_claims_.find(id);
  if (found == pending_claims_.end())
    return;
  if (answered)
    claims_[found->second].unanswered = 0;
  pending_claims_.erase(found);
}

void QuotaKeeper::ReportChange(const std::string& account, Share* share) {
  outputs_->changes.push_back({account, share->limited, share->limit,
                               std::exchange(share->asked, 0),
                               std::exchange(share->granted, 0)});
}

}  // namespace limpetrudder
