#include "dispatch/internal/quarantine_exchange.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace limpetrudder::detail {

bool QuarantineExchange::IsInformed(Time now) const {
  return peer_count_ == 0 || (informed_ && !StoodStill(now));
}

bool QuarantineExchange::StoodStill(Time now) const {
  return ticked_at_ && now - *ticked_at_ > kMaxTickGap;
}

std::vector<std::size_t> QuarantineExchange::OnToldChange() {
  return peer_count_ > kMaxDirect ? Choose(kRelayed)
                                  : std::vector<std::size_t>();
}

std::vector<std::size_t> QuarantineExchange::Tick(NoticeState notices,
                                                  Time now,
                                                  Time* next) {
  if (StoodStill(now)) {
    informed_ = false;
    asking_since_.reset();
  }
  ticked_at_ = now;
  if (peer_count_ == 0)
    return {};
  *next = std::min(*next, now + kMaxTickGap / 2);
  if (!asking_since_)
    asking_since_ = next_ask_ = now;
  informed_ |= now - *asking_since_ >= kMaxAsking;
  if (!informed_) {
    *next = std::min(*next, std::max(next_ask_, now + kAskInterval));
    if (now < next_ask_)
      return {};
    next_ask_ = now + kAskInterval;
    next_ = now + kInterval;
    return Choose(kAskedAtStart);
  }
  if (notices == NoticeState::kNone)
    return {};
  const Duration interval =
      notices == NoticeState::kRecent
          ? kInterval * static_cast<std::int64_t>(intervals_)
          : kSlowInterval;
  next_ = std::min(next_, now + interval);
  std::vector<std::size_t> chosen;
  if (now >= next_) {
    next_ = now + interval;
    chosen = Choose(1);
  }
  *next = std::min(*next, next_);
  return chosen;
}

std::vector<std::size_t> QuarantineExchange::Choose(std::size_t max_count) {
  std::vector<std::size_t> peers(peer_count_);
  std::iota(peers.begin(), peers.end(), std::size_t{0});
  const std::size_t count = std::min(max_count, peer_count_);
  for (std::size_t i = 0; i < count; ++i)
    std::swap(peers[i], peers[i + random_.Below(peer_count_ - i)]);
  peers.resize(count);
  return peers;
}

}  // namespace limpetrudder::detail
