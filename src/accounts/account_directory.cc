#include "accounts/account_directory.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace limpetrudder {

AccountDirectory::AccountDirectory(std::vector<ClientAccount> accounts,
                                   std::vector<KeyOwner> keys)
    : is_configured_(true), keys_(std::move(keys)) {
  std::vector<std::uint32_t> order(accounts.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
    return accounts[a].name < accounts[b].name;
  });
  std::vector<std::uint32_t> place(accounts.size());
  accounts_.reserve(accounts.size());
  for (const std::uint32_t index : order) {
    place[index] = static_cast<std::uint32_t>(accounts_.size());
    accounts_.push_back(std::move(accounts[index]));
  }
  for (KeyOwner& key : keys_)
    key.account = place[key.account];
  std::sort(
      keys_.begin(), keys_.end(),
      [](const KeyOwner& a, const KeyOwner& b) { return a.digest < b.digest; });
  keys_.shrink_to_fit();
}

const ClientAccount* AccountDirectory::FindByKey(std::string_view key) const {
  const KeyDigest digest = DigestOfKey(key);
  const std::uint32_t prefix = digest.prefix();
  auto row = std::lower_bound(keys_.begin(), keys_.end(), prefix,
                              [](const KeyOwner& owner, std::uint32_t value) {
                                return owner.digest.prefix() < value;
                              });
  const ClientAccount* found = nullptr;
  for (; row != keys_.end() && row->digest.prefix() == prefix; ++row) {
    if (EqualInConstantTime(row->digest, digest))
      found = &accounts_[row->account];
  }
  return found;
}

const ClientAccount* AccountDirectory::Find(std::string_view name) const {
  const auto found = std::lower_bound(
      accounts_.begin(), accounts_.end(), name,
      [](const ClientAccount& account, std::string_view value) {
        return account.name < value;
      });
  return found != accounts_.end() && found->name == name ? &*found : nullptr;
}

}  // namespace limpetrudder
