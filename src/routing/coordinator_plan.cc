#include "routing/coordinator_plan.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "framework/hash.h"

namespace limpetrudder {
namespace {

// A coordinator needs one connection for a request and one for a hedge or a
// cancellation.
constexpr std::uint32_t kMinConnectionsPerCoordinator = 2;

// Share of a server's connections that coordinators may use, in percent.
constexpr std::uint32_t kCoordinatorSharePercent = 90;

std::uint32_t MinConnections(const Collection& collection,
                             std::string_view data_centre) {
  std::uint32_t min_connections = std::numeric_limits<std::uint32_t>::max();
  for (const auto& service : collection.services) {
    for (const auto& shard : service.shards) {
      for (const auto& server : shard.servers) {
        if (server.data_centre == data_centre)
          min_connections = std::min(min_connections, server.connections);
      }
    }
  }
  return min_connections;
}

}  // namespace

std::vector<std::string> HighestScores(std::string_view key,
                                       const std::vector<std::string>& names,
                                       std::size_t count) {
  const std::uint64_t seed = Hash64(key);
  std::vector<std::pair<std::uint64_t, std::string>> scored;
  scored.reserve(names.size());
  for (const auto& name : names)
    scored.emplace_back(Hash64(name, seed), name);
  std::sort(scored.begin(), scored.end(), std::greater<>());
  if (scored.size() > count)
    scored.resize(count);
  std::vector<std::string> best;
  best.reserve(scored.size());
  for (auto& [score, name] : scored)
    best.push_back(std::move(name));
  return best;
}

CoordinatorPlan PlanCoordinators(std::uint32_t instances,
                                 std::uint32_t connection_limit) {
  const std::uint32_t shared =
      connection_limit * kCoordinatorSharePercent / 100;
  const std::uint32_t max_coordinators =
      std::max<std::uint32_t>(1, shared / kMinConnectionsPerCoordinator);
  CoordinatorPlan plan;
  plan.coordinators = std::min(instances, max_coordinators);
  plan.connections_per_coordinator =
      std::max<std::uint32_t>(1, shared / plan.coordinators);
  return plan;
}

CoordinatorList FindCoordinators(const Collection& collection,
                                 std::string_view data_centre,
                                 const std::vector<std::string>& instances) {
  const auto count = static_cast<std::uint32_t>(instances.size());
  if (count == 0)
    return {};
  const std::uint32_t min_connections = MinConnections(collection, data_centre);
  if (min_connections == std::numeric_limits<std::uint32_t>::max())
    return {{count, 0}, instances};
  const CoordinatorPlan plan = PlanCoordinators(count, min_connections);
  return {plan, HighestScores(collection.name, instances, plan.coordinators)};
}

}  // namespace limpetrudder
