#include "quota/quota_gate.h"

#include <algorithm>
#include <utility>

namespace limpetrudder {
namespace {

// An owner whose share lacks tokens answers after it has asked the owners of
// the others.
constexpr Duration kAskTimeout = Millis(60);

// Owners that are asked for one call, one after the other.
constexpr std::size_t kMaxTries = 3;

constexpr Duration kRetryNoOwner = Millis(500);

// Calls of the last period for each of which half a token is asked for ahead of
// need. Tokens asked for ahead are valid about as long.
constexpr Duration kPeriod = Millis(250);
constexpr double kAheadOfCalls = 0.5;
constexpr double kMaxAhead = 64;

// What has ended is forgotten at this interval.
constexpr Duration kReviewInterval = Seconds(5);

}  // namespace

QuotaGate::QuotaGate(QuotaOwners* owners,
                     QuotaOutputs* outputs,
                     std::uint64_t seed)
    : owners_(owners), outputs_(outputs), random_(seed) {}

void QuotaGate::CountCall(Account* account, Time now) {
  if (now - account->period_began >= kPeriod) {
    const bool is_next = now - account->period_began < 2 * kPeriod;
    account->last_calls = is_next ? account->calls : 0;
    account->calls = 0;
    account->period_began = now;
  }
  ++account->calls;
}

std::optional<Time> QuotaGate::Spend(Account* account, Time now) {
  std::erase_if(account->lots, [now](const Lot& lot) {
    return lot.valid_until <= now || lot.tokens < 1;
  });
  if (account->lots.empty())
    return std::nullopt;
  Lot& lot = account->lots.front();
  lot.tokens -= 1;
  return lot.valid_until;
}

std::optional<Time> QuotaGate::Admit(std::uint64_t call,
                                     const std::string& account,
                                     Time now) {
  Account& state = accounts_[account];
  CountCall(&state, now);
  if (state.waiting.empty()) {
    if (const auto valid_until = Spend(&state, now))
      return valid_until;
  }
  state.waiting.push_back(call);
  if (state.ask == 0)
    Ask(account, &state, now);
  return std::nullopt;
}

void QuotaGate::Cancel(std::uint64_t call, const std::string& account) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end())
    return;
  Account& state = found->second;
  const auto position =
      std::find(state.waiting.begin(), state.waiting.end(), call);
  if (position == state.waiting.end())
    return;
  const auto index = static_cast<std::size_t>(position - state.waiting.begin());
  if (index < state.asked_for)
    --state.asked_for;
  state.waiting.erase(position);
}

void QuotaGate::GiveBack(const std::string& account,
                         Time valid_until,
                         Time now) {
  if (valid_until <= now)
    return;
  Account& state = accounts_[account];
  state.lots.push_back({valid_until, 1});
  ServeWaiting(&state, now);
}

const QuotaMember* QuotaGate::NextOwner(const std::string& name,
                                        const Account& account,
                                        Time now) const {
  if (account.tried.size() >= kMaxTries)
    return nullptr;
  const QuotaMember* silent = nullptr;
  for (const QuotaMember* owner : owners_->Owners(name)) {
    if (std::find(account.tried.begin(), account.tried.end(), owner->name) !=
        account.tried.end()) {
      continue;
    }
    if (!owners_->IsSilent(owner->name, now))
      return owner;
    if (silent == nullptr)
      silent = owner;
  }
  return silent;
}

void QuotaGate::Ask(const std::string& name, Account* account, Time now) {
  account->asked_for = account->waiting.size();
  const QuotaMember* owner = NextOwner(name, *account, now);
  if (owner == nullptr) {
    outputs_->counts.no_owner += account->asked_for;
    account->tried.clear();
    const Duration owned_after =
        std::exchange(account->owned_after, Duration(0));
    return RefuseAsked(account, QuotaVerdict::kNoOwner,
                       std::max(kRetryNoOwner, owned_after));
  }
  account->ask = next_id_;
  account->asked = owner->name;
  account->sent = now;
  next_id_ += 2;
  asks_[account->ask] = name;
  const double ahead = std::min(kMaxAhead, kAheadOfCalls * account->last_calls);
  const double tokens = static_cast<double>(account->asked_for) +
                        static_cast<double>(static_cast<int>(ahead));
  if (!owners_->is_own(*owner))
    ++outputs_->counts.asks;
  outputs_->asks.push_back({account->ask,
                            owner->name,
                            owner->address,
                            {name, QuotaPurpose::kCalls, tokens}});
}

void QuotaGate::AskNext(const std::string& name, Account* account, Time now) {
  ++outputs_->counts.fallbacks;
  account->tried.push_back(account->asked);
  Ask(name, account, now);
}

void QuotaGate::ServeWaiting(Account* account, Time now) {
  while (!account->waiting.empty()) {
    const auto valid_until = Spend(account, now);
    if (!valid_until)
      return;
    outputs_->decisions.push_back({account->waiting.front(),
                                   QuotaVerdict::kAdmitted, *valid_until,
                                   Duration(0)});
    account->waiting.pop_front();
    if (account->asked_for > 0)
      --account->asked_for;
  }
}

void QuotaGate::RefuseAsked(Account* account,
                            QuotaVerdict verdict,
                            Duration retry_after) {
  const double calls = static_cast<double>(account->asked_for);
  for (; account->asked_for > 0; --account->asked_for) {
    outputs_->decisions.push_back(
        {account->waiting.front(), verdict, Time{},
         Scaled(retry_after, 1 + (calls - 1 + random_.Unit()) / 2)});
    account->waiting.pop_front();
  }
}

void QuotaGate::OnAnswer(std::uint64_t id,
                         const std::optional<QuotaAnswer>& answer,
                         Time now) {
  const auto found = asks_.find(id);
  if (found == asks_.end())
    return;
  const std::string name = std::move(found->second);
  asks_.erase(found);
  Account& account = accounts_[name];
  account.ask = 0;
  if (answer)
    owners_->OnAnswered(account.asked);
  else
    owners_->OnSilent(account.asked, now);
  if (!answer || !answer->is_owner) {
    if (answer) {
      account.owned_after = std::max(account.owned_after, answer->retry_after);
    }
    if (!account.waiting.empty())
      AskNext(name, &account, now);
    return;
  }
  account.tried.clear();
  account.owned_after = Duration(0);
  if (answer->tokens >= 1) {
    account.lots.push_back({account.sent + answer->life, answer->tokens});
    ServeWaiting(&account, now);
  } else {
    outputs_->counts.refused += account.asked_for;
    RefuseAsked(&account, QuotaVerdict::kOverLimit, answer->retry_after);
  }
  if (!account.waiting.empty())
    Ask(name, &account, now);
}

Time QuotaGate::Tick(Time now) {
  std::vector<std::uint64_t> overdue;
  Time next = kNever;
  for (const auto& [id, name] : asks_) {
    const Time due = accounts_[name].sent + kAskTimeout;
    if (due <= now)
      overdue.push_back(id);
    else
      next = std::min(next, due);
  }
  std::sort(overdue.begin(), overdue.end());
  for (const std::uint64_t id : overdue)
    OnAnswer(id, std::nullopt, now);
  if (!overdue.empty())
    next = std::min(next, now + kAskTimeout);
  if (now >= next_review_) {
    next_review_ = now + kReviewInterval;
    std::erase_if(accounts_, [now](const auto& entry) {
      const Account& account = entry.second;
      return account.ask == 0 && account.waiting.empty() &&
             now - account.period_began > kReviewInterval;
    });
  }
  return next;
}

}  // namespace limpetrudder
