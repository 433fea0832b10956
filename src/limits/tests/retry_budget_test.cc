#include <doctest/doctest.h>

#include "limits/retry_budget.h"

namespace limpetrudder {
namespace {

FleetShare Equal(int instances) {
  const auto count = static_cast<std::uint32_t>(instances);
  return {count, count, 0};
}

// What all instances together spend in one window, each as much as it can.
int SpentInWindow(int instances, int requests_each, bool restarted) {
  const RetryBudgetTerms terms{0.2, 56};
  int spent = 0;
  for (int i = 0; i < instances; ++i) {
    RetryBudget budget(terms, Equal(instances));
    if (!restarted) {
      for (int warm = 0; warm < 1000; ++warm)
        budget.OnRequest();
    }
    for (int request = 0; request < requests_each; ++request) {
      budget.OnRequest();
      while (budget.TrySpend())
        ++spent;
    }
  }
  return spent;
}

TEST_CASE("A retry budget shared by a fleet") {
  constexpr int kInstances = 8;
  constexpr int kRequests = 100;  // Of each in one window.
  constexpr double kAllowed = 0.2 * kInstances * kRequests + 56;

  SUBCASE("keeps the bound after a quiet time, when all tokens are saved up") {
    CHECK(SpentInWindow(kInstances, kRequests, false) <= kAllowed);
  }
  SUBCASE("leaves room for another window's worth by restarted instances") {
    const int before = SpentInWindow(kInstances, kRequests, false);
    const int after = SpentInWindow(kInstances, 0, true);
    CHECK(before + after <= kAllowed);
    CHECK(after <= kInstances);
  }
  SUBCASE("allows hedges of every tenth request and more") {
    CHECK(SpentInWindow(kInstances, kRequests, false) >
          kInstances * kRequests / 10);
  }
  SUBCASE("keeps the bound in a fleet of large and small instances") {
    const RetryBudgetTerms terms{0.2, 198};
    int spent = 0;
    for (int i = 0; i < 79; ++i) {
      const bool large = i < 12;
      RetryBudget budget(
          terms, large ? FleetShare{79, 12, 0} : FleetShare{79, 67, 12});
      for (int warm = 0; warm < 1000; ++warm)
        budget.OnRequest();
      for (int request = 0; request < 50; ++request) {
        budget.OnRequest();
        while (budget.TrySpend())
          ++spent;
      }
    }
    CHECK(spent <= 0.2 * 79 * 50 + 198);
  }
  SUBCASE("divides the slack anew when the fleet grows") {
    RetryBudget budget({0.2, 56}, Equal(1));
    for (int i = 0; i < 1000; ++i)
      budget.OnRequest();
    CHECK(budget.tokens() > 40);
    budget.SetFleet({0.2, 56}, Equal(56));
    CHECK(budget.tokens() <= 1);
  }
}

}  // namespace
}  // namespace limpetrudder
