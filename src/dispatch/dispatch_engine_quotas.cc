// The part of the engine that keeps calls within the limits of their accounts.

#include <algorithm>
#include <utility>

#include "dispatch/dispatch_engine.h"
#include "framework/hash.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

QuotaMember MemberOf(const InstanceEntry& instance) {
  return {instance.name, instance.data_centre, instance.peer_address,
          instance.cores};
}

bool HasLimit(const ClientAccount& account) {
  return account.rate_per_second > 0;
}

}  // namespace

void DispatchEngine::UpdateQuotas(Time now) {
  const bool has_limits =
      settings_.quota && std::any_of(routes_->accounts().begin(),
                                     routes_->accounts().end(), HasLimit);
  if (!has_limits)
    return EndQuotas(now);
  if (!quotas_) {
    quotas_ = std::make_unique<AccountQuotas>(
        *settings_.quota, MemberOf(settings_.own), settings_.regions,
        Hash64(settings_.own.name, settings_.seed));
    if (members_known_at_)
      SetQuotaMembers(*members_known_at_);
  }
  quotas_->SetLimits(
      [routes = routes_](const std::string& name) -> std::optional<QuotaLimit> {
        const ClientAccount* account = routes->accounts().Find(name);
        if (account == nullptr || !HasLimit(*account))
          return std::nullopt;
        return QuotaLimit{account->rate_per_second, account->burst};
      });
}

void DispatchEngine::EndQuotas(Time now) {
  if (!quotas_)
    return;
  quotas_->End();
  HandleQuotaOutputs(now);
  quotas_ = nullptr;
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_) {
    if (call->awaits_token)
      ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const CallId id : ids)
    OnQuotaDecision({id, QuotaVerdict::kAdmitted, Time{}, Duration(0)}, now);
}

void DispatchEngine::SetQuotaMembers(Time now) {
  if (!quotas_)
    return;
  std::vector<QuotaMember> members;
  members.reserve(peers_.size() + 1);
  if (is_listed_)
    members.push_back(MemberOf(settings_.own));
  for (const InstanceEntry& peer : peers_) {
    if (!peer.stopping)
      members.push_back(MemberOf(peer));
  }
  quotas_->SetMembers(members, now);
}

bool DispatchEngine::TakeToken(ActiveCall* call, Time now) {
  // NOTE The instance that forwarded a call has spent its token.
  if (!quotas_ || call->call.forwarded || call->account == nullptr ||
      !HasLimit(*call->account)) {
    return true;
  }
  const CallId id = call->call.id;
  const auto valid_until = quotas_->Admit(id, call->account->name, now);
  if (valid_until) {
    call->token_valid_until = *valid_until;
    return true;
  }
  call->awaits_token = true;
  ScheduleWakeup(call, now);
  HandleQuotaOutputs(now);
  return false;
}

void DispatchEngine::OnQuotaDecision(const QuotaDecision& decision, Time now) {
  const auto found = calls_.find(decision.call);
  if (found == calls_.end())
    return;
  ActiveCall* call = found->second.get();
  call->awaits_token = false;
  switch (decision.verdict) {
    case QuotaVerdict::kAdmitted:
      call->token_valid_until = decision.valid_until;
      return StartAdmitted(call, now);
    case QuotaVerdict::kOverLimit:
      return EndWithout(call, http_status::kTooManyRequests,
                        ResultCode::kAccountOverLimit, decision.retry_after,
                        now);
    case QuotaVerdict::kNoOwner:
      return EndWithout(call, http_status::kUnavailable,
                        ResultCode::kPeerUnreachable, decision.retry_after,
                        now);
  }
}

void DispatchEngine::HandleQuotaOutputs(Time now) {
  // NOTE Calls that end give tokens back, on which others may wait.
  while (quotas_) {
    QuotaOutputs outputs = quotas_->TakeOutputs();
    for (auto& ask : outputs.asks)
      actions_.emplace_back(AskQuota{std::move(ask)});
    for (const auto& answer : outputs.answers)
      actions_.emplace_back(AnswerQuota{answer});
    for (auto& change : outputs.changes)
      actions_.emplace_back(AccountLimitChange{std::move(change)});
    if (outputs.counts != QuotaCounts{})
      actions_.emplace_back(QuotaActivity{outputs.counts});
    if (outputs.decisions.empty())
      return;
    for (const QuotaDecision& decision : outputs.decisions)
      OnQuotaDecision(decision, now);
  }
}

void DispatchEngine::ReleaseToken(const ActiveCall& call, Time now) {
  if (!quotas_ || call.account == nullptr)
    return;
  if (call.awaits_token)
    quotas_->Cancel(call.call.id, call.account->name);
  else if (now < call.token_valid_until && !call.was_sent())
    quotas_->GiveBack(call.account->name, call.token_valid_until, now);
}

void DispatchEngine::OnQuotaAsk(std::uint64_t ref,
                                const QuotaAsk& ask,
                                Time now) {
  if (quotas_) {
    quotas_->OnAsk(ref, ask, now);
    return HandleQuotaOutputs(now);
  }
  // NOTE The routes in force here are older than any limit. Without routes the
  // instance has just started.
  QuotaAnswer answer;
  answer.is_owner = routes_ != nullptr && ask.purpose != QuotaPurpose::kClaim;
  if (answer.is_owner && ask.purpose == QuotaPurpose::kCalls) {
    answer.tokens = ask.tokens;
    answer.life = settings_.quota ? GrantLife(*settings_.quota) : Duration(0);
  }
  actions_.emplace_back(AnswerQuota{{ref, answer}});
}

void DispatchEngine::OnQuotaAnswer(std::uint64_t id,
                                   const std::optional<QuotaAnswer>& answer,
                                   Time now) {
  if (!quotas_)
    return;
  quotas_->OnAnswer(id, answer, now);
  HandleQuotaOutputs(now);
}

}  // namespace limpetrudder
