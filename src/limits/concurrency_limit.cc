#include "limits/concurrency_limit.h"

#include <algorithm>

namespace limpetrudder {
namespace {

constexpr double kShedFactor = 0.5;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t max)
    : max_(max), value_(max) {}

void ConcurrencyLimit::SetMax(std::uint32_t max) {
  max_ = max;
  value_ = std::min<double>(value_, max);
}

void ConcurrencyLimit::OnAnswer() {
  value_ = std::min<double>(value_ + 1.0 / value_, max_);
}

void ConcurrencyLimit::OnShed() {
  value_ = std::max(value_ * kShedFactor, 1.0);
}

void ConcurrencyLimit::Restart() {
  value_ = 1.0;
}

std::uint32_t InFlightShare(std::uint32_t slots,
                            std::uint32_t coordinators,
                            std::uint32_t connections) {
  const std::uint32_t shared = (2 * slots + coordinators - 1) / coordinators;
  const std::uint32_t bounded = std::min(shared, slots + 1);
  return std::max<std::uint32_t>(1, std::min(bounded, connections));
}

}  // namespace limpetrudder
