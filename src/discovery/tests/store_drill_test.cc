#include <doctest/doctest.h>

#include "discovery/tests/store_session.h"

namespace limpetrudder {
namespace {

// The users' bounds of the smallest deployments.
constexpr Duration kConfigInForce = Millis(3000);
constexpr Duration kEntriesBack = Millis(2000);

void CheckNothingBroken(const StoreSession& session) {
  for (const auto& what : session.broken())
    FAIL_CHECK(what);
}

TEST_CASE("The store comes back from an older copy") {
  for (const int instances : {9, 200}) {
    CAPTURE(instances);
    StoreSession session({instances, 60, 7});
    session.WriteRoutes(6);
    session.Run(Seconds(8));
    REQUIRE(session.LowestVersion() == 6);
    REQUIRE(session.Registered() == instances);
    session.WriteRoutes(8);
    session.Run(Seconds(3));
    REQUIRE(session.LowestVersion() == 8);
    session.Leave(0);
    session.Crash(1);
    session.StartServer();
    session.Run(Seconds(6));
    REQUIRE(session.ServersAt(1).count("s0") == 0);
    session.ResetCounts();

    SUBCASE("and loses what was written since") {
      session.Drill(Seconds(10));
      session.Run(Millis(300));
      session.Run(kEntriesBack);
      CHECK(session.Registered() == instances);

      SUBCASE("which costs few calls") {
        session.Run(Seconds(5));
        CHECK(session.lease_calls() <= 4 * instances);
        // Readers list once, with a page for each hundred items.
        const int pages = (instances + 160) / 100 + 1;
        const int readers = std::max(2, (instances + 19) / 20);
        CHECK(session.listings() <= readers * pages);
        CHECK(session.changes_read() <= readers * 10);
      }
      SUBCASE("but no routes that were in force") {
        CHECK(session.LowestVersion() == 8);

        SUBCASE("nor those that the operator writes again in another order") {
          session.WriteRoutes(7);
          session.Run(Seconds(2));
          CHECK(session.LowestVersion() == 8);
          session.WriteRoutes(8);
          session.WriteRoutes(9);
          session.Run(kConfigInForce);
          CHECK(session.LowestVersion() == 9);
        }
      }
      SUBCASE("and brings back no server that has left") {
        session.Run(Seconds(3));
        for (int i = 0; i < instances; ++i) {
          CHECK(session.ServersAt(i).count("s0") == 0);
          CHECK(session.ServersAt(i).count("s1") == 0);
        }
      }
      SUBCASE("while servers that it lacks go on being used") {
        CHECK(session.ServersAt(2).count("s60") == 1);
      }
      SUBCASE("and an instance that starts learns newer routes from others") {
        session.KillInstance(4);
        session.Run(Seconds(1));
        session.StartInstance(4);
        std::uint64_t first = 0;
        for (int i = 0; i < 200 && first == 0; ++i) {
          session.Run(Millis(10));
          first = session.VersionAt(4);
        }
        CHECK(first == 8);
      }
    }
    SUBCASE("right before the operator writes") {
      session.Drill(Seconds(4));
      session.Run(Millis(310));
      session.WriteRoutes(9);
      session.Run(kConfigInForce);
      CHECK(session.LowestVersion() == 9);
    }
    SUBCASE("twice within seconds") {
      session.Drill(Seconds(4));
      session.Run(Millis(1500));
      session.Drill(Seconds(2));
      session.Run(Millis(310));
      session.WriteRoutes(10);
      session.Run(kConfigInForce);
      CHECK(session.LowestVersion() == 10);
      CHECK(session.Registered() == instances);
    }
    SUBCASE("while it turns a third of the instances away") {
      session.SetRefused(instances / 3);
      session.Run(Seconds(2));
      session.Drill(Seconds(5));
      session.Run(Millis(310));
      session.WriteRoutes(11);
      session.Run(kConfigInForce);
      CHECK(session.LowestVersion() == 11);
      session.SetRefused(0);
      session.Run(Seconds(6));
      CHECK(session.Registered() == instances);
    }
    SUBCASE("after it was down for long") {
      session.SetStoreDown(true);
      session.Run(Seconds(8));
      session.Drill(Seconds(10));
      session.Run(Seconds(4));
      session.WriteRoutes(12);
      session.Run(kConfigInForce);
      CHECK(session.LowestVersion() == 12);
      CHECK(session.Registered() == instances);
    }
    SUBCASE("right after all instances lost power") {
      for (int i = 0; i < instances; ++i)
        session.KillInstance(i);
      session.Run(Millis(200));
      session.Drill(Seconds(4));
      session.Run(Millis(400));
      for (int i = 0; i < instances; ++i)
        session.StartInstance(i);
      session.WriteRoutes(13);
      session.Run(kConfigInForce);
      CHECK(session.LowestVersion() == 13);
      session.Run(Seconds(2));
      CHECK(session.Registered() == instances);
    }
    SUBCASE("and doesn't tell of it") {
      session.store().tells_era = false;
      session.Drill(Seconds(4));
      session.Run(Seconds(10));
      // NOTE Without an era nobody can know; calls stay few all the same.
      CHECK(session.listings() <= 10 * instances);
    }
    CheckNothingBroken(session);
  }
}

// Drills, outages, starts and changes in an order that follows from the seed.
TEST_CASE("Random days with drills keep the promises") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    StoreSession session({9, 30, seed});
    session.WriteRoutes(1);
    session.Run(Seconds(6));
    std::uint64_t version = 1;
    int server = 0;
    for (int step = 0; step < 25; ++step) {
      switch (random.Below(7)) {
        case 0:
          session.Drill(Millis(static_cast<std::int64_t>(random.Below(9000))),
                        Millis(static_cast<std::int64_t>(random.Below(900))));
          session.Run(Millis(1000));
          // The operator writes again what it wrote.
          session.WriteRoutes(version);
          break;
        case 1:
          session.WriteRoutes(version += 1 + random.Below(3));
          break;
        case 2:
          if (server < 20 && random.Below(2) == 0)
            session.Leave(server++);
          else if (server < 20)
            session.Crash(server++);
          break;
        case 3:
          session.StartServer();
          break;
        case 4: {
          const int victim = static_cast<int>(random.Below(9));
          session.KillInstance(victim);
          session.Run(Millis(300));
          session.StartInstance(victim);
          break;
        }
        case 5:
          session.SetRefused(static_cast<int>(random.Below(5)));
          break;
        default:
          session.SetStoreDown(true);
          session.Run(Millis(static_cast<std::int64_t>(random.Below(4000))));
          session.SetStoreDown(false);
      }
      session.Run(Millis(static_cast<std::int64_t>(random.Below(2500))));
    }
    session.SetRefused(0);
    session.Run(Seconds(6));
    session.WriteRoutes(version + 1);
    session.Run(kConfigInForce);
    CHECK(session.LowestVersion() == version + 1);
    session.Run(Seconds(4));
    CHECK(session.Registered() == 9);
    CheckNothingBroken(session);
  }
}

}  // namespace
}  // namespace limpetrudder
