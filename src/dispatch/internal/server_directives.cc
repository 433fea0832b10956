#include "dispatch/internal/server_directives.h"

#include <algorithm>
#include <utility>

namespace limpetrudder::detail {

bool ServerDirectives::OnLeaving() {
  return !std::exchange(leaving_, true);
}

bool ServerDirectives::OnBackoff(Duration backoff, Time now) {
  const bool is_new = !IsBackingOff(now);
  // NOTE A shorter time doesn't take back a longer one that was asked for.
  backoff_until_ = std::max(backoff_until_, now + backoff);
  return is_new;
}

}  // namespace limpetrudder::detail
