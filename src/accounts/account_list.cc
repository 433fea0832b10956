#include "accounts/account_list.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <utility>

namespace limpetrudder {

bool IsAccountName(std::string_view name) {
  constexpr unsigned char kDelete = 0x7f;
  const auto is_visible = [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte > ' ' && byte < kDelete;
  };
  return !name.empty() && is_visible(name.front()) && is_visible(name.back()) &&
         std::all_of(name.begin(), name.end(),
                     [&](char c) { return c == ' ' || is_visible(c); });
}

void AccountList::Add(ClientAccount account,
                      const std::vector<std::string>& keys) {
  if (!IsAccountName(account.name)) {
    return Refuse(std::move(account.name), ResultCode::kFieldOutOfRange,
                  "the name is empty or can't be sent as a header");
  }
  const auto index = static_cast<std::uint32_t>(accounts_.size());
  for (const auto& key : keys) {
    if (key.empty())
      Refuse(account.name, ResultCode::kFieldOutOfRange, "a key is empty");
    else
      keys_.push_back({DigestOfKey(key), index});
  }
  accounts_.push_back(std::move(account));
}

void AccountList::Refuse(std::string name,
                         ResultCode code,
                         std::string reason) {
  refusals_.push_back({std::move(name), code, std::move(reason)});
}

AccountDirectory AccountList::Build() {
  // The first account of a name holds it; the keys of others with that name
  // belong to nobody.
  std::unordered_set<std::string_view> names;
  std::vector<bool> refused(accounts_.size(), false);
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    if (names.insert(accounts_[i].name).second)
      continue;
    refused[i] = true;
    Refuse(accounts_[i].name, ResultCode::kDuplicateName,
           "another account has the name");
  }
  std::stable_sort(
      keys_.begin(), keys_.end(),
      [](const auto& a, const auto& b) { return a.digest < b.digest; });
  std::vector<AccountDirectory::KeyOwner> keys;
  for (auto first = keys_.begin(); first != keys_.end();) {
    const auto last = std::find_if(first, keys_.end(), [&](const auto& key) {
      return key.digest != first->digest;
    });
    const bool shared = std::any_of(first, last, [&](const auto& key) {
      return key.account != first->account;
    });
    if (shared) {
      for (auto key = first; key != last; ++key) {
        Refuse(accounts_[key->account].name, ResultCode::kDuplicateName,
               "several accounts name one of its keys, which is refused");
      }
    } else if (!refused[first->account]) {
      keys.push_back(*first);
    }
    first = last;
  }
  std::vector<ClientAccount> accounts;
  std::vector<std::uint32_t> place(accounts_.size(), 0);
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    place[i] = static_cast<std::uint32_t>(accounts.size());
    if (!refused[i])
      accounts.push_back(std::move(accounts_[i]));
  }
  for (auto& key : keys)
    key.account = place[key.account];
  return {std::move(accounts), std::move(keys)};
}

}  // namespace limpetrudder
