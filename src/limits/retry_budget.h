#ifndef LIMITS_RETRY_BUDGET_H_
#define LIMITS_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "framework/time.h"
#include "limits/token_budget.h"

namespace limpetrudder {

// The bound that all instances together keep to: in any window, a service gets
// at most `ratio` x its requests + `slack` sends beyond the first of each.
struct RetryBudgetTerms {
  double ratio = 0.2;
  double slack = 50;
};

// One instance's share of the bound for one service. The slack is divided by
// the number of instances; a new instance starts with one token, since the
// one that it replaces may have spent its share in the same window. Not thread
// safe.
class RetryBudget {
 public:
  // Part of the bound that is used; the rest covers requests that are counted
  // for another window than their sends.
  static constexpr double kUsedShare = 0.85;

  RetryBudget(const RetryBudgetTerms& terms, std::uint32_t instances)
      : budget_(terms.ratio * kUsedShare, Burst(terms, instances)) {}

  // Divides the slack anew; tokens beyond the new share are lost.
  void SetInstances(const RetryBudgetTerms& terms, std::uint32_t instances) {
    budget_.set_burst(Burst(terms, instances));
  }

  void OnRequest() { budget_.OnOrdinaryRequest(); }
  bool TrySpend() { return budget_.TrySpend(); }
  double tokens() const { return budget_.tokens(); }

 private:
  static double Burst(const RetryBudgetTerms& terms, std::uint32_t instances) {
    const double share = terms.slack * kUsedShare / std::max(1U, instances);
    return std::max(1.0, share);
  }

  TokenBudget budget_;
};

}  // namespace limpetrudder

#endif  // LIMITS_RETRY_BUDGET_H_
