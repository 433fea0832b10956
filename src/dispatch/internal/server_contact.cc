#include "dispatch/internal/server_contact.h"

#include <algorithm>
#include <utility>

namespace limpetrudder::detail {
namespace {

// Fewer servers may have crashed or paused at the same time.
constexpr std::size_t kMinUnresponsive = 3;

// Longer than the longest pause and most single requests, and short enough to
// divert callers within a quarter of the shortest time that partitioned
// instances have for it.
constexpr Duration kMaxSilence = Seconds(1);

constexpr Duration kProbeInterval = Millis(300);

}  // namespace

void ServerContact::OnSent(const std::string& server, Time now) {
  if (unresponsive_.size() >= kMinUnresponsive ||
      std::find(unresponsive_.begin(), unresponsive_.end(), server) !=
          unresponsive_.end()) {
    return;
  }
  unresponsive_.push_back(server);
  unresponsive_since_ = now;
}

bool ServerContact::OnResponse(Time now) {
  last_response_ = now;
  unresponsive_.clear();
  return std::exchange(lost_, false);
}

bool ServerContact::Check(Time now) {
  if (lost_ || unresponsive_.size() < kMinUnresponsive ||
      now - unresponsive_since_ < kMaxSilence) {
    return false;
  }
  lost_ = true;
  next_probe_ = now;
  return true;
}

bool ServerContact::TakeProbe(Time now) {
  if (!lost_ || now < next_probe_)
    return false;
  next_probe_ = now + kProbeInterval;
  return true;
}

Time ServerContact::NextCheck() const {
  if (lost_)
    return next_probe_;
  return unresponsive_.size() < kMinUnresponsive
             ? kNever
             : unresponsive_since_ + kMaxSilence;
}

}  // namespace limpetrudder::detail
