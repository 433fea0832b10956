#ifndef ACCOUNTS_ACCOUNT_DIRECTORY_H_
#define ACCOUNTS_ACCOUNT_DIRECTORY_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "accounts/client_account.h"
#include "accounts/key_digest.h"

namespace limpetrudder {

// The client accounts of one version of the configuration, found by name or by
// one of their keys. Holds only digests of the keys. Immutable. Thread safe.
class AccountDirectory {
 public:
  // A key, by its digest, of the account at `account`.
  struct KeyOwner {
    KeyDigest digest;
    std::uint32_t account = 0;  // Index of the account.
  };

  // No accounts are configured: keys are neither asked for nor checked.
  AccountDirectory() = default;

  // Preconditions: the accounts' names and the keys' digests are distinct, and
  // each index in `keys` is one of `accounts`. With no accounts at all, every
  // key is unknown.
  AccountDirectory(std::vector<ClientAccount> accounts,
                   std::vector<KeyOwner> keys);

  // Whether callers have to name an account, on routes that aren't public.
  bool is_configured() const { return is_configured_; }

  // Returns the account that holds `key`, or null. Compares keys in a time that
  // doesn't tell how much of a digest matches, beyond its first bytes.
  const ClientAccount* FindByKey(std::string_view key) const;

  // Returns the account named `name`, or null.
  const ClientAccount* Find(std::string_view name) const;

  bool empty() const { return accounts_.empty(); }
  std::size_t size() const { return accounts_.size(); }

  // Iterates over the accounts in the order of their names.
  auto begin() const { return accounts_.cbegin(); }
  auto end() const { return accounts_.cend(); }

 private:
  bool is_configured_ = false;
  std::vector<ClientAccount> accounts_;  // Sorted by name.
  std::vector<KeyOwner> keys_;           // Sorted by digest.
};

}  // namespace limpetrudder

#endif  // ACCOUNTS_ACCOUNT_DIRECTORY_H_
