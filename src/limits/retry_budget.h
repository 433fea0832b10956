#ifndef LIMITS_RETRY_BUDGET_H_
#define LIMITS_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "framework/time.h"
#include "limits/fleet_composition.h"
#include "limits/token_budget.h"

namespace limpetrudder {

// The bound that all instances together keep: in any window, a service gets at
// most `ratio` x its requests + `slack` attempts beyond the first of each
// request.
struct RetryBudgetSettings {
  double ratio = 0.2;
  double slack = 50;
};

// One instance's share of the bound for one service. The instances of the
// largest size divide the slack, less one token for each smaller instance,
// which seldom fans out queries itself. A new instance starts with one token,
// since the one that it replaces may have spent its share in the same window.
// Not thread safe.
class RetryBudget {
 public:
  // Ratio of the bound that is used. The rest covers requests that are counted
  // in another window than their attempts.
  static constexpr double kUsedShare = 0.85;

  RetryBudget(const RetryBudgetSettings& settings,
              const FleetComposition& fleet)
      : budget_(settings.ratio * kUsedShare, Burst(settings, fleet)) {}

  // Divides the slack among the instances of `fleet`. Tokens beyond the new
  // share are lost.
  void SetFleet(const RetryBudgetSettings& settings,
                const FleetComposition& fleet) {
    budget_.set_burst(Burst(settings, fleet));
  }

  void OnRequest() { budget_.OnOrdinaryRequest(); }
  bool TrySpend() { return budget_.TrySpend(); }
  double tokens() const { return budget_.tokens(); }

 private:
  static double Burst(const RetryBudgetSettings& settings,
                      const FleetComposition& fleet) {
    if (fleet.larger > 0)
      return 1.0;
    const double divided = settings.slack * kUsedShare - fleet.smaller();
    return std::max(1.0, divided / std::max(1U, fleet.same_size));
  }

  TokenBudget budget_;
};

}  // namespace limpetrudder

#endif  // LIMITS_RETRY_BUDGET_H_
