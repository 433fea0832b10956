#include "app/connection_shares.h"

#include <sys/resource.h>

#include <algorithm>

namespace limpetrudder {
namespace {

constexpr std::size_t kMaxReadyBytes = 2 << 20;
constexpr std::size_t kMaxReadyConnections = 32;

std::size_t MaxDescriptors(const EntrySettings& settings) {
  rlimit limit{};
  std::size_t descriptors = settings.max_descriptors;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
    descriptors = std::min<std::size_t>(descriptors, limit.rlim_cur);
  return descriptors;
}

}  // namespace

ConnectionShares MakeConnectionShares(const EntrySettings& settings) {
  const std::size_t descriptors = MaxDescriptors(settings);
  const auto quarter =
      static_cast<std::size_t>(settings.memory_mb * 0x1p20 / 4);
  ConnectionShares shares;
  shares.callers.max_bytes = quarter;
  shares.callers.max_connections = descriptors * 3 / 4;
  shares.peers.max_bytes = quarter;
  shares.peers.max_connections = descriptors / 8;
  shares.ready.max_bytes = kMaxReadyBytes;
  shares.ready.max_connections = kMaxReadyConnections;
  return shares;
}

}  // namespace limpetrudder
