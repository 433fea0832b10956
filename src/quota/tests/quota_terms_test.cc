#include <doctest/doctest.h>

#include "quota/quota_terms.h"

namespace limpetrudder {
namespace {

// What all shares together can grant for one window, besides the starts.
double MostInWindow(const QuotaLimit& limit, const QuotaBounds& bounds) {
  constexpr std::size_t kShares = 6;
  const QuotaTerms terms = ShareOf(limit, bounds, kShares);
  const double seconds =
      RatioOf(bounds.window + GrantLife(bounds) + kMaxTransferTime, Seconds(1));
  return kShares * (terms.rate * seconds + terms.depth + terms.start);
}

TEST_CASE("The terms of a share keep the bound") {
  for (const double rate : {0.1, 1.0, 16.0, 2000.0}) {
    for (const double burst : {0.0, 1.0, 100.0}) {
      for (const double overage : {0.0, 0.1, 1.0}) {
        for (const double slack : {0.0, 20.0}) {
          CAPTURE(rate);
          CAPTURE(burst);
          CAPTURE(overage);
          CAPTURE(slack);
          const QuotaBounds bounds{Seconds(5), overage, slack};
          const double allowed = (rate * 5 + burst) * (1 + overage) + slack;
          const double late =
              rate * RatioOf(GrantLife(bounds) + kMaxTransferTime, Seconds(1));
          // With nothing to spare, the bucket can't be less than empty.
          const double excess =
              overage * (rate * 5 + burst) + burst + slack / 2 < late ? late
                                                                      : 0;
          CHECK(MostInWindow({rate, burst}, bounds) <=
                doctest::Approx(allowed + excess));
        }
      }
    }
  }
}

TEST_CASE("A share of a small account") {
  const QuotaBounds bounds{Seconds(5), 0.1, 20};
  const QuotaTerms terms = ShareOf({0.5, 0.5}, bounds, 6);

  SUBCASE("holds more than one token, though the burst is less") {
    CHECK(terms.depth > 1);
  }
  SUBCASE("gives a new owner a token to begin with") {
    CHECK(terms.start > 1);
  }
}

}  // namespace
}  // namespace limpetrudder
