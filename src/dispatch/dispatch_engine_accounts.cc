// The part of the engine that finds out for which client account a call is
// made, and refuses calls for none.

#include <utility>

#include "dispatch/dispatch_engine.h"
#include "framework/http_status.h"

namespace limpetrudder {
namespace {

// By then the instance may have heard the store again; others may have already.
constexpr Duration kRetryUnconfirmed = Millis(500);

// Removes what the caller said of its account, so that no server gets it.
void RemoveCredentials(CallRequest* call) {
  call->key = {};
  if (call->message->credentials.empty())
    return;
  auto message = std::make_shared<RequestMessage>(*call->message);
  message->credentials.clear();
  call->message = std::move(message);
}

}  // namespace

void DispatchEngine::OnRoutesConfirmed(Time at) {
  routes_confirmed_at_ = std::max(routes_confirmed_at_, at);
}

bool DispatchEngine::IdentifyAccount(CallRequest* call,
                                     const Route& route,
                                     const ClientAccount** account,
                                     Time now) {
  if (call->forwarded)
    return AcceptAccount(*call, route, account);
  const AccountDirectory& accounts = routes_->accounts();
  if (!accounts.is_configured())
    return true;
  if (call->key.state == CallerKeyState::kPresent)
    *account = accounts.FindByKey(call->key.key);
  RemoveCredentials(call);
  call->account_checked = true;
  const auto& bound = settings_.key_confirmation_bound;
  const bool is_confirmed = !bound || now < *bound + routes_confirmed_at_;
  if (!is_confirmed && (!route.is_public || *account != nullptr)) {
    Refuse(*call, http_status::kUnavailable, ResultCode::kAccountUnconfirmed,
           kRetryUnconfirmed);
    return false;
  }
  if (*account == nullptr && !route.is_public) {
    Refuse(*call, http_status::kUnauthorised, ResultCode::kAccountUnknown,
           std::nullopt);
    return false;
  }
  if (*account != nullptr)
    call->account = (*account)->name;
  return true;
}

bool DispatchEngine::AcceptAccount(const CallRequest& call,
                                   const Route& route,
                                   const ClientAccount** account) {
  const AccountDirectory& accounts = routes_->accounts();
  *account = accounts.Find(call.account);
  const bool is_known =
      *account != nullptr ||
      (call.account.empty() && (route.is_public || !accounts.is_configured()));
  if (call.account_checked == accounts.is_configured() && is_known)
    return true;
  // NOTE Where the accounts differ from those here, or weren't checked, the
  // forwarding instance coordinates the query itself.
  Refuse(call, http_status::kUnavailable, ResultCode::kAccountUnknown,
         std::nullopt);
  return false;
}

}  // namespace limpetrudder
