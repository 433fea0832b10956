#include "quota/quota_terms.h"

#include <algorithm>

namespace limpetrudder {
namespace {

// Of the calls that the overage allows, those that grants may be late by.
constexpr double kLifeOfOverage = 0.5;
constexpr Duration kMinGrantLife = Millis(100);
constexpr Duration kMaxGrantLife = Millis(250);

// A window's calls may include a burst each time, so what the depth leaves is
// added to the rate, up to this part of a burst for each window. For that, the
// depth has a part of the burst or a few calls at least.
constexpr double kRateOfBurst = 0.75;
constexpr double kDepthOfBurst = 0.5;
constexpr double kMinDepth = 2;

constexpr double kDepthOfSlack = 0.5;
constexpr double kStartsOfSlack = 0.5;

double SecondsOf(Duration duration) {
  return RatioOf(duration, Seconds(1));
}

}  // namespace

Duration GrantLife(const QuotaBounds& bounds) {
  return std::clamp(Scaled(bounds.window, bounds.overage * kLifeOfOverage),
                    kMinGrantLife, kMaxGrantLife);
}

QuotaTerms ShareOf(const QuotaLimit& limit,
                   const QuotaBounds& bounds,
                   std::size_t shares) {
  const double window = SecondsOf(bounds.window);
  const double late = SecondsOf(GrantLife(bounds) + kMaxTransferTime);
  const double starts = kStartsOfSlack * bounds.slack;
  const double bound =
      (limit.rate * window + limit.burst) * (1 + bounds.overage) + bounds.slack;
  const double spare = bound - starts - limit.rate * (window + late);
  const double most = limit.burst + kDepthOfSlack * bounds.slack;
  const double wanted =
      std::max(kDepthOfBurst * limit.burst, std::min(limit.burst, kMinDepth)) +
      kDepthOfSlack * bounds.slack;
  const double added = std::clamp((spare - wanted) / (window + late), 0.0,
                                  kRateOfBurst * limit.burst / window);
  const double rate = limit.rate + added;
  const double depth = std::min(most, spare - added * (window + late));
  const auto count = static_cast<double>(shares);
  return {rate / count, std::max(depth, 0.0) / count, starts / count};
}

}  // namespace limpetrudder
