#include "quota/quota_terms.h"

#include <algorithm>

namespace limpetrudder {
namespace {

// Of the calls that the overage allows, those that grants may be late by.
constexpr double kLifeOfOverage = 0.5;
constexpr Duration kMinGrantLife = Millis(100);
constexpr Duration kMaxGrantLife = Millis(250);

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
  const double depth = std::min(limit.burst + kDepthOfSlack * bounds.slack,
                                bound - limit.rate * (window + late) - starts);
  const auto count = static_cast<double>(shares);
  return {limit.rate / count, std::max(depth, 0.0) / count, starts / count};
}

}  // namespace limpetrudder
