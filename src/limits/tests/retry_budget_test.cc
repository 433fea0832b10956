#include <doctest/doctest.h>

#include "limits/retry_budget.h"

namespace limpetrudder {
namespace {

// A fleet of `instances` instances of one size.
FleetComposition EqualFleet(int instances) {
  const auto count = static_cast<std::uint32_t>(instances);
  return {count, count, 0};
}

// Returns how many tokens all instances together spend in one window if each
// spends as many as it can. Instances that are `restarted` have no saved
// tokens.
int TokensSpentInWindow(int instances, int requests_each, bool restarted) {
  const RetryBudgetSettings settings{0.2, 56};
  int spent = 0;
  for (int i = 0; i < instances; ++i) {
    RetryBudget budget(settings, EqualFleet(instances));
    if (!restarted) {
      for (int earlier = 0; earlier < 1000; ++earlier)
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

TEST_CASE("A retry budget shared by the instances of a fleet") {
  constexpr int kInstances = 8;
  constexpr int kRequests = 100;  // Of each in one window.
  constexpr double kAllowed = 0.2 * kInstances * kRequests + 56;

  SUBCASE("keeps the bound when every instance has saved all its tokens") {
    CHECK(TokensSpentInWindow(kInstances, kRequests, false) <= kAllowed);
  }
  SUBCASE("keeps the bound when all instances restart within the window") {
    const int before = TokensSpentInWindow(kInstances, kRequests, false);
    const int after = TokensSpentInWindow(kInstances, 0, true);
    CHECK(before + after <= kAllowed);
    CHECK(after <= kInstances);
  }
  SUBCASE("allows hedges for more than one request in ten") {
    CHECK(TokensSpentInWindow(kInstances, kRequests, false) >
          kInstances * kRequests / 10);
  }
  SUBCASE("keeps the bound in a fleet of large and small instances") {
    const RetryBudgetSettings settings{0.2, 198};
    int spent = 0;
    for (int i = 0; i < 79; ++i) {
      const bool large = i < 12;
      RetryBudget budget(settings, large ? FleetComposition{79, 12, 0}
                                         : FleetComposition{79, 67, 12});
      for (int earlier = 0; earlier < 1000; ++earlier)
        budget.OnRequest();
      for (int request = 0; request < 50; ++request) {
        budget.OnRequest();
        while (budget.TrySpend())
          ++spent;
      }
    }
    CHECK(spent <= 0.2 * 79 * 50 + 198);
  }
  SUBCASE("divides the slack among more instances when the fleet grows") {
    RetryBudget budget({0.2, 56}, EqualFleet(1));
    for (int i = 0; i < 1000; ++i)
      budget.OnRequest();
    CHECK(budget.tokens() > 40);
    budget.SetFleet({0.2, 56}, EqualFleet(56));
    CHECK(budget.tokens() <= 1);
  }
}

}  // namespace
}  // namespace limpetrudder
