#ifndef LIMITS_ACCOUNT_SHARES_H_
#define LIMITS_ACCOUNT_SHARES_H_

#include <string>
#include <unordered_map>

#include "framework/time.h"

namespace limpetrudder {

// Divides what can be served among client accounts while more queries arrive
// than that, by weighted max-min fairness: an account that asks for less than
// its share gets all of it, and what it leaves is divided among the others by
// their weights. No account's ratio of admitted queries falls below half of
// the ratio for all. Counts only the queries of one instance; since the
// balancer spreads an account's callers, its counts are a sample of the
// fleet's. Not thread safe.
class AccountShares {
 public:
  // The least ratio of an account's queries to admit, as a part of that for
  // all.
  static constexpr double kMinRelativeRatio = 0.5;

  // Records a query of `account` and returns whether it is admitted if `share`
  // of all queries can be. Admitted queries are spread evenly over the refused
  // ones. Preconditions: `weight` is above 0; `share` is from 0 to 1.
  bool Admit(const std::string& account, double weight, double share, Time now);

  // Records a query that is admitted in any case, so that its account's count
  // is right when queries are refused later.
  void Count(const std::string& account, double weight, Time now);

  // The accounts that sent queries lately.
  std::size_t size() const { return accounts_.size(); }

 private:
  struct Account {
    double weight = 1;
    double arrived = 0;  // Decays with age.
    Time updated{};
    double credit = 1;
  };

  // Returns its record, with the count decayed to `now`.
  Account& Find(const std::string& account, double weight, Time now);
  // Removes the accounts whose queries are too long ago to matter.
  void RemoveIdle(Time now);
  // Recomputes the fill level.
  void Fill(double share, Time now);
  double AdmittedRatio(const Account& account, double share) const;

  std::unordered_map<std::string, Account> accounts_;
  // Queries for each unit of weight that an account gets if it asks for more.
  double fill_level_ = 0;
  double filled_share_ = -1;  // For which the fill level was computed.
  Time filled_at_{};
  Time next_removal_{};
};

}  // namespace limpetrudder

#endif  // LIMITS_ACCOUNT_SHARES_H_
