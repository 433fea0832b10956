#ifndef ACCOUNTS_LARGEST_ACCOUNTS_H_
#define ACCOUNTS_LARGEST_ACCOUNTS_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace limpetrudder {

// What is shown of accounts in reports and metrics, of which there may be
// thousands.
inline constexpr std::size_t kMaxAccountRows = 20;

// Returns the rows of the accounts with the most calls, one row with the sum of
// all others, and one for calls without an account. `Counts` has a member
// `calls` and an operator +=. Keyed by name; empty: no account. Thread safe.
template <typename Counts>
std::vector<std::pair<std::string, Counts>> LargestAccounts(
    const std::map<std::string, Counts>& by_account) {
  std::vector<std::pair<std::string, Counts>> rows;
  for (const auto& row : by_account) {
    if (!row.first.empty())
      rows.push_back(row);
  }
  std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
    return a.second.calls > b.second.calls;
  });
  if (rows.size() > kMaxAccountRows) {
    Counts others{};
    for (std::size_t i = kMaxAccountRows; i < rows.size(); ++i)
      others += rows[i].second;
    const std::size_t count = rows.size() - kMaxAccountRows;
    rows.resize(kMaxAccountRows);
    rows.emplace_back("(" + std::to_string(count) + " others)", others);
  }
  const auto none = by_account.find("");
  if (none != by_account.end())
    rows.emplace_back("(none)", none->second);
  return rows;
}

}  // namespace limpetrudder

#endif  // ACCOUNTS_LARGEST_ACCOUNTS_H_
