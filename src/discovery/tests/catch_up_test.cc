#include <algorithm>

#include <doctest/doctest.h>

#include "discovery/tests/discovery_simulation.h"

namespace limpetrudder {
namespace {

constexpr int kInstances = 9;
constexpr int kServers = 60;

// Interval at which servers write their entries.
constexpr Duration kHeartbeat = Millis(1200);

std::size_t MinServersKnown(const DiscoverySimulation& simulation) {
  std::size_t min_servers = kServers;
  for (int i = 0; i < kInstances; ++i)
    min_servers = std::min(min_servers, simulation.ServersAt(i).size());
  return min_servers;
}

// Guards against instances that know no servers in the first seconds after an
// outage of the store in which the entries of all servers lapsed.
TEST_CASE("Server entries that lapsed during an outage of the store") {
  DiscoverySimulation simulation({kInstances, kServers, 3});
  simulation.WriteRoutes(1);
  simulation.Run(Seconds(6));
  simulation.SetStoreDown(true);
  simulation.EraseServerEntries();
  for (int i = 0; i < kInstances; ++i)
    simulation.KillInstance(i);
  simulation.Run(Seconds(3));

  SUBCASE(
      "are known to starting instances 600 ms after all servers wrote them "
      "again") {
    for (int i = 0; i < kInstances; ++i)
      simulation.StartInstance(i);
    simulation.Run(Seconds(2));
    simulation.SetStoreDown(false);
    simulation.ResetCounts();
    simulation.Run(kHeartbeat + Millis(600));
    CHECK(MinServersKnown(simulation) == kServers);

    SUBCASE("and then the store is read at the usual interval again") {
      simulation.Run(Seconds(2));
      simulation.ResetCounts();
      simulation.Run(Seconds(10));
      CHECK(simulation.changes_read() <= 40);
    }
  }
}

TEST_CASE(
    "A service without any server doesn't cause faster reads of the store "
    "forever") {
  DiscoverySimulation simulation({kInstances, 0, 3});
  simulation.WriteRoutes(1);
  simulation.Run(Seconds(6));
  simulation.ResetCounts();
  simulation.Run(Seconds(10));
  CHECK(simulation.changes_read() <= 40);
}

}  // namespace
}  // namespace limpetrudder
