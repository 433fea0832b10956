#ifndef ACCOUNTS_ACCOUNT_LIST_H_
#define ACCOUNTS_ACCOUNT_LIST_H_

#include <string>
#include <string_view>
#include <vector>

#include "accounts/account_directory.h"
#include "framework/result_code.h"

namespace limpetrudder {

// An account, or one of its keys, that isn't taken, and why.
struct AccountRefusal {
  std::string account;  // Its name; empty if it has none.
  ResultCode code = ResultCode::kOk;
  std::string reason;  // Holds no key.
};

// Collects the accounts of one configuration and refuses those that can't be
// told apart, so that one bad entry leaves the others in force. Not thread
// safe.
class AccountList {
 public:
  // Adds an account with its keys, of which only the digests are kept. Refuses
  // an account whose name can't be sent as a header or is taken, and empty
  // keys.
  void Add(ClientAccount account, const std::vector<std::string>& keys);

  // Refuses an account that can't be read.
  void Refuse(std::string name, ResultCode code, std::string reason);

  // Returns the directory. A key that several accounts name belongs to none of
  // them. Call once.
  AccountDirectory Build();

  const std::vector<AccountRefusal>& refusals() const { return refusals_; }

 private:
  std::vector<ClientAccount> accounts_;
  std::vector<AccountDirectory::KeyOwner> keys_;
  std::vector<AccountRefusal> refusals_;
};

// Whether `name` can be sent as the value of a header and comes back the same.
// Thread safe.
bool IsAccountName(std::string_view name);

}  // namespace limpetrudder

#endif  // ACCOUNTS_ACCOUNT_LIST_H_
