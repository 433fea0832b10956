#include "dispatch/internal/rate_limiter.h"

#include <utility>

namespace limpetrudder::detail {

bool RateLimiter::OnAnswer(const RateLimitNotice& notice, Time sent, Time now) {
  if (!notice.named) {
    // NOTE An answer to an earlier request may have been written before the
    // limit was named.
    if (!limit_ || sent < named_at_)
      return false;
    limit_.reset();
    return true;
  }
  if (!notice.per_second)
    return false;
  named_at_ = now;
  return std::exchange(limit_, *notice.per_second) != notice.per_second;
}

std::uint64_t RateLimiter::TakeSentCount() {
  return std::exchange(sent_, 0);
}

}  // namespace limpetrudder::detail
