#include <doctest/doctest.h>

#include "limits/retry_budget.h"

namespace limpetrudder {
namespace {

// What all instances together spend in one window, each as much as it can.
int SpentInWindow(int instances, int requests_each, bool restarted) {
  const RetryBudgetTerms terms{0.2, 56};
  int spent = 0;
  for (int i = 0; i < instances; ++i) {
    RetryBudget budget(terms, static_cast<std::uint32_t>(instances));
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
  SUBCASE("divides the slack anew when the fleet grows") {
    RetryBudget budget({0.2, 56}, 1);
    for (int i = 0; i < 1000; ++i)
      budget.OnRequest();
    CHECK(budget.tokens() > 40);
    budget.SetInstances({0.2, 56}, 56);
    CHECK(budget.tokens() <= 1);
  }
}

}  // namespace
}  // namespace limpetrudder
