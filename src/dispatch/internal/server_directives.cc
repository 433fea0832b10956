#include "dispatch/internal/server_directives.h"

#include <algorithm>
#include <utility>

namespace limpetrudder::detail {

bool ServerDirectives::OnLeaving() {
  return !std::exchange(leaving_, true);
}

bool ServerDirectives::OnBackoff(Duration backoff, Time now) {
  const bool is_new = !IsBackingOff(now);
  // NOTE A shorter backoff doesn't cut short a longer one that is still active.
  backoff_until_ = std::max(backoff_until_, now + backoff);
  return is_new;
}

}  // namespace limpetrudder::detail
