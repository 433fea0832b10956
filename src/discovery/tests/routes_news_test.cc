#include <doctest/doctest.h>

#include "discovery/tests/discovery_simulation.h"

namespace limpetrudder {
namespace {

// The users' bounds: a version is in force by then, and news of it is no older
// than that.
constexpr Duration kInForce = Seconds(5);
constexpr Duration kMaxAge = Seconds(5);

TEST_CASE("News of the routes, which may take keys away") {
  DiscoverySimulation fleet({9, 40, 5});
  fleet.WriteRoutes(1);
  fleet.Run(Seconds(8));

  SUBCASE("reaches instances that the store turns away through others") {
    fleet.SetRefusedInstances(8);
    fleet.Run(Seconds(10));
    fleet.WriteRoutes(2);
    fleet.Run(kInForce);
    CHECK(fleet.MinRoutesVersion() == 2);
  }
  SUBCASE(
      "is confirmed again and again, at instances that read the store and "
      "at others") {
    for (int second = 0; second < 20; ++second) {
      fleet.Run(Seconds(1));
      for (int i = 0; i < fleet.instances(); ++i)
        CHECK(fleet.now() - fleet.RoutesConfirmedAt(i) < kMaxAge);
    }
  }
  SUBCASE("is confirmed also where the store turns instances away") {
    fleet.SetRefusedInstances(6);
    for (int second = 0; second < 20; ++second) {
      fleet.Run(Seconds(1));
      for (int i = 0; i < fleet.instances(); ++i)
        CHECK(fleet.now() - fleet.RoutesConfirmedAt(i) < kMaxAge);
    }
  }
  SUBCASE("is confirmed by nobody while the store is away") {
    fleet.SetStoreDown(true);
    const Time down = fleet.now();
    fleet.Run(Seconds(10));
    for (int i = 0; i < fleet.instances(); ++i)
      CHECK(fleet.RoutesConfirmedAt(i) <= down);
  }
  SUBCASE("is not confirmed at an instance that is cut off, until it is back") {
    fleet.CutOff(4);
    const Time cut = fleet.now();
    fleet.WriteRoutes(2);
    fleet.Run(Seconds(10));
    CHECK(fleet.RoutesConfirmedAt(4) <= cut);
    CHECK(fleet.RoutesVersionAt(4) == 1);
    fleet.Reconnect(4);
    fleet.Run(kInForce);
    CHECK(fleet.RoutesVersionAt(4) == 2);
    CHECK(fleet.now() - fleet.RoutesConfirmedAt(4) < kMaxAge);
  }
  CHECK(fleet.violations().empty());
}

TEST_SUITE("routes-news-from-one") {
  TEST_CASE("News of the routes is confirmed where the store serves one only") {
    DiscoverySimulation fleet({9, 40, 5});
    fleet.WriteRoutes(1);
    fleet.Run(Seconds(8));
    fleet.SetRefusedInstances(8);
    fleet.Run(Seconds(10));
    for (int i = 0; i < fleet.instances(); ++i)
      CHECK(fleet.now() - fleet.RoutesConfirmedAt(i) < kMaxAge);
  }
}

}  // namespace
}  // namespace limpetrudder
