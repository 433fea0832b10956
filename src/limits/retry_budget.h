#ifndef LIMITS_RETRY_BUDGET_H_
#define LIMITS_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "framework/time.h"
#include "limits/fleet_share.h"
#include "limits/token_budget.h"

namespace limpetrudder {

// The bound that all instances together keep to: in any window, a service gets
// at most `ratio` x its requests + `slack` sends beyond the first of each.
struct RetryBudgetTerms {
  double ratio = 0.2;
  double slack = 50;
};

// One instance's share of the bound for one service. The slack is divided by
// the instances of the largest size, less one token for each smaller one, which
// gathers seldom. A new instance starts with one token, since the one that it
// replaces may have spent its share in the same window. Not thread safe.
class RetryBudget {
 public:
  // Part of the bound that is used; the rest covers requests that are counted
  // for another window than their sends.
  static constexpr double kUsedShare = 0.85;

  RetryBudget(const RetryBudgetTerms& terms, const FleetShare& fleet)
      : budget_(terms.ratio * kUsedShare, Burst(terms, fleet)) {}

  // Divides the slack anew; tokens beyond the new share are lost.
  void SetFleet(const RetryBudgetTerms& terms, const FleetShare& fleet) {
    budget_.set_burst(Burst(terms, fleet));
  }

  void OnRequest() { budget_.OnOrdinaryRequest(); }
  bool TrySpend() { return budget_.TrySpend(); }
  double tokens() const { return budget_.tokens(); }

 private:
  static double Burst(const RetryBudgetTerms& terms, const FleetShare& fleet) {
    if (fleet.larger > 0)
      return 1.0;
    const double left = terms.slack * kUsedShare - fleet.smaller();
    return std::max(1.0, left / std::max(1U, fleet.as_large));
  }

  TokenBudget budget_;
};

}  // namespace limpetrudder

#endif  // LIMITS_RETRY_BUDGET_H_
