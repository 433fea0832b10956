#include "dispatch/internal/quarantine_exchange.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace limpetrudder::detail {

std::vector<std::size_t> QuarantineExchange::OnToldChange() {
  return peer_count_ > kMaxDirect ? Choose(kRelayed)
                                  : std::vector<std::size_t>();
}

std::vector<std::size_t> QuarantineExchange::Tick(bool has_notices,
                                                  Time now,
                                                  Time* next) {
  if (peer_count_ > 0 && !std::exchange(asked_, true)) {
    next_ = now + kInterval;
    return Choose(kAskedAtStart);
  }
  if (!has_notices)
    return {};
  std::vector<std::size_t> chosen;
  if (now >= next_) {
    next_ = now + kInterval;
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
