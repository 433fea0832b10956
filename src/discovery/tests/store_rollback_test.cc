#include <doctest/doctest.h>

#include "discovery/tests/discovery_simulation.h"

namespace limpetrudder {
namespace {

// Time limits for the smallest deployments: from the operator's write until
// routes are in force, and from a restore until all entries are back.
constexpr Duration kConfigInForce = Millis(3000);
constexpr Duration kEntriesBack = Millis(2000);

void CheckNoViolations(const DiscoverySimulation& simulation) {
  for (const auto& what : simulation.violations())
    FAIL_CHECK(what);
}

TEST_CASE("The store is restored from an older copy") {
  for (const int instances : {9, 200}) {
    CAPTURE(instances);
    DiscoverySimulation simulation({instances, 60, 7});
    simulation.WriteRoutes(6);
    simulation.Run(Seconds(8));
    REQUIRE(simulation.MinRoutesVersion() == 6);
    REQUIRE(simulation.RegisteredInstances() == instances);
    simulation.WriteRoutes(8);
    simulation.Run(Seconds(3));
    REQUIRE(simulation.MinRoutesVersion() == 8);
    simulation.DrainServer(0);
    simulation.CrashServer(1);
    simulation.StartServer();
    simulation.Run(Seconds(6));
    REQUIRE(simulation.ServersAt(1).count("s0") == 0);
    simulation.ResetCounts();

    SUBCASE("and loses all later writes") {
      simulation.RestoreOlderCopy(Seconds(10));
      simulation.Run(Millis(300));
      simulation.Run(kEntriesBack);
      CHECK(simulation.RegisteredInstances() == instances);

      SUBCASE("which costs few calls to the store") {
        simulation.Run(Seconds(5));
        CHECK(simulation.lease_calls() <= 4 * instances);
        // Each reader lists all items once, a hundred to a page.
        const int pages = (instances + 160) / 100 + 1;
        const int readers = std::max(2, (instances + 19) / 20);
        CHECK(simulation.listings() <= readers * pages);
        CHECK(simulation.changes_read() <= readers * 10);
      }
      SUBCASE("but the routes in force stay") {
        CHECK(simulation.MinRoutesVersion() == 8);

        SUBCASE("also if the operator writes versions again in another order") {
          simulation.WriteRoutes(7);
          simulation.Run(Seconds(2));
          CHECK(simulation.MinRoutesVersion() == 8);
          simulation.WriteRoutes(8);
          simulation.WriteRoutes(9);
          simulation.Run(kConfigInForce);
          CHECK(simulation.MinRoutesVersion() == 9);
        }
      }
      SUBCASE("and servers that have left since aren't used again") {
        simulation.Run(Seconds(3));
        for (int i = 0; i < instances; ++i) {
          CHECK(simulation.ServersAt(i).count("s0") == 0);
          CHECK(simulation.ServersAt(i).count("s1") == 0);
        }
      }
      SUBCASE("while live servers that it lost stay in use") {
        CHECK(simulation.ServersAt(2).count("s60") == 1);
      }
      SUBCASE(
          "and a starting instance gets newer routes from other instances") {
        simulation.KillInstance(4);
        simulation.Run(Seconds(1));
        simulation.StartInstance(4);
        std::uint64_t first = 0;
        for (int i = 0; i < 200 && first == 0; ++i) {
          simulation.Run(Millis(10));
          first = simulation.RoutesVersionAt(4);
        }
        CHECK(first == 8);
      }
    }
    SUBCASE("right before the operator writes new routes") {
      simulation.RestoreOlderCopy(Seconds(4));
      simulation.Run(Millis(310));
      simulation.WriteRoutes(9);
      simulation.Run(kConfigInForce);
      CHECK(simulation.MinRoutesVersion() == 9);
    }
    SUBCASE("twice within two seconds") {
      simulation.RestoreOlderCopy(Seconds(4));
      simulation.Run(Millis(1500));
      simulation.RestoreOlderCopy(Seconds(2));
      simulation.Run(Millis(310));
      simulation.WriteRoutes(10);
      simulation.Run(kConfigInForce);
      CHECK(simulation.MinRoutesVersion() == 10);
      CHECK(simulation.RegisteredInstances() == instances);
    }
    SUBCASE("while it rejects the calls of a third of the instances") {
      simulation.SetRefusedInstances(instances / 3);
      simulation.Run(Seconds(2));
      simulation.RestoreOlderCopy(Seconds(5));
      simulation.Run(Millis(310));
      simulation.WriteRoutes(11);
      simulation.Run(kConfigInForce);
      CHECK(simulation.MinRoutesVersion() == 11);
      simulation.SetRefusedInstances(0);
      simulation.Run(Seconds(6));
      CHECK(simulation.RegisteredInstances() == instances);
    }
    SUBCASE("after an outage of eight seconds") {
      simulation.SetStoreDown(true);
      simulation.Run(Seconds(8));
      simulation.RestoreOlderCopy(Seconds(10));
      simulation.Run(Seconds(4));
      simulation.WriteRoutes(12);
      simulation.Run(kConfigInForce);
      CHECK(simulation.MinRoutesVersion() == 12);
      CHECK(simulation.RegisteredInstances() == instances);
    }
    SUBCASE("right after all instances were killed") {
      for (int i = 0; i < instances; ++i)
        simulation.KillInstance(i);
      simulation.Run(Millis(200));
      simulation.RestoreOlderCopy(Seconds(4));
      simulation.Run(Millis(400));
      for (int i = 0; i < instances; ++i)
        simulation.StartInstance(i);
      simulation.WriteRoutes(13);
      simulation.Run(kConfigInForce);
      CHECK(simulation.MinRoutesVersion() == 13);
      simulation.Run(Seconds(2));
      CHECK(simulation.RegisteredInstances() == instances);
    }
    SUBCASE("and its replies don't name its era") {
      simulation.store().sends_era = false;
      simulation.RestoreOlderCopy(Seconds(4));
      simulation.Run(Seconds(10));
      // Without an era a restore can't be detected, but calls must stay few.
      CHECK(simulation.listings() <= 10 * instances);
    }
    CheckNoViolations(simulation);
  }
}

// Restores, outages, starts and changes in an order that the seed determines.
TEST_CASE("Random restores, outages, starts and changes violate no invariant") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    DiscoverySimulation simulation({9, 30, seed});
    simulation.WriteRoutes(1);
    simulation.Run(Seconds(6));
    std::uint64_t version = 1;
    int server = 0;
    for (int step = 0; step < 25; ++step) {
      switch (random.Below(7)) {
        case 0:
          simulation.RestoreOlderCopy(
              Millis(static_cast<std::int64_t>(random.Below(9000))),
              Millis(static_cast<std::int64_t>(random.Below(900))));
          simulation.Run(Millis(1000));
          // The operator writes its last version again.
          simulation.WriteRoutes(version);
          break;
        case 1:
          simulation.WriteRoutes(version += 1 + random.Below(3));
          break;
        case 2:
          if (server < 20 && random.Below(2) == 0)
            simulation.DrainServer(server++);
          else if (server < 20)
            simulation.CrashServer(server++);
          break;
        case 3:
          simulation.StartServer();
          break;
        case 4: {
          const int victim = static_cast<int>(random.Below(9));
          simulation.KillInstance(victim);
          simulation.Run(Millis(300));
          simulation.StartInstance(victim);
          break;
        }
        case 5:
          simulation.SetRefusedInstances(static_cast<int>(random.Below(5)));
          break;
        default:
          simulation.SetStoreDown(true);
          simulation.Run(Millis(static_cast<std::int64_t>(random.Below(4000))));
          simulation.SetStoreDown(false);
      }
      simulation.Run(Millis(static_cast<std::int64_t>(random.Below(2500))));
    }
    simulation.SetRefusedInstances(0);
    simulation.Run(Seconds(6));
    simulation.WriteRoutes(version + 1);
    simulation.Run(kConfigInForce);
    CHECK(simulation.MinRoutesVersion() == version + 1);
    simulation.Run(Seconds(4));
    CHECK(simulation.RegisteredInstances() == 9);
    CheckNoViolations(simulation);
  }
}

}  // namespace
}  // namespace limpetrudder
