#include "dispatch/internal/server_notice.h"

#include <algorithm>
#include <utility>

namespace limpetrudder::detail {

bool ServerNotice::OnLeaving() {
  return !std::exchange(leaving_, true);
}

bool ServerNotice::OnBackoff(Duration backoff, Time now) {
  const bool is_new = !IsBackingOff(now);
  // NOTE A shorter time doesn't take back a longer one that was asked for.
  backoff_until_ = std::max(backoff_until_, now + backoff);
  return is_new;
}

}  // namespace limpetrudder::detail
