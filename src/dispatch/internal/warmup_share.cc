#include "dispatch/internal/warmup_share.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include "framework/hash.h"

namespace limpetrudder::detail {
namespace {

// Number of disjoint sets of senders that together have to keep the bound: the
// instances of one view of the fleet, and those of an outdated one.
constexpr double kViews = 2;

// In any second a sender starts one request more than its rate.
std::size_t SenderCount(const WarmupBounds& bounds) {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::max(0.0, bounds.slack) / kViews));
}

// Orders the candidates; the lowest ranks send.
auto RankOf(const ServerEntry& server,
            const InstanceEntry& instance,
            const Topology& topology) {
  const Distance distance =
      topology.Between(server.data_centre, instance.data_centre);
  return std::make_tuple(distance, -instance.cores,
                         Hash64(instance.name, Hash64(server.id)),
                         std::string_view(instance.name));
}

}  // namespace

double WarmupShare(const ServerEntry& server,
                   double server_rate,
                   const WarmupBounds& bounds,
                   const std::string& own_name,
                   const std::vector<InstanceEntry>& instances,
                   const Topology& topology) {
  const auto own = std::find_if(instances.begin(), instances.end(),
                                [&own_name](const InstanceEntry& instance) {
                                  return instance.name == own_name;
                                });
  if (own == instances.end())
    return 0;
  const auto own_rank = RankOf(server, *own, topology);
  const auto ahead = static_cast<std::size_t>(std::count_if(
      instances.begin(), instances.end(), [&](const InstanceEntry& instance) {
        return RankOf(server, instance, topology) < own_rank;
      }));
  const std::size_t senders = std::min(SenderCount(bounds), instances.size());
  if (ahead >= senders)
    return 0;
  return server_rate * bounds.overage / kViews / static_cast<double>(senders);
}

}  // namespace limpetrudder::detail
