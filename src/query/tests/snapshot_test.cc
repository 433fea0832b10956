#include <doctest/doctest.h>

#include "query/tests/session.h"

namespace limpetrudder {
namespace {

void SetHeld(Session* session, int shard, std::vector<Snapshot> held) {
  for (int replica = 0; replica < 2; ++replica)
    session->server(shard, replica).held = held;
}

TEST_SUITE("promise-1") {
  TEST_CASE("Every answer is of one snapshot") {
    Session session({});

    SUBCASE("the newest that every shard holds") {
      SetHeld(&session, 0, {{1, 4}, {1, 5}});
      SetHeld(&session, 1, {{1, 4}, {1, 5}, {1, 6}});
      SetHeld(&session, 2, {{1, 5}, {1, 6}});
      session.Run(Seconds(2));
      const auto answer = session.Ask();
      CHECK(answer.coverage.complete());
      CHECK(answer.snapshot == Snapshot{1, 5});
    }
    SUBCASE("also for the first search, when nothing is known") {
      SetHeld(&session, 0, {{1, 4}, {1, 5}});
      SetHeld(&session, 1, {{1, 4}});
      SetHeld(&session, 2, {{1, 4}, {1, 5}});
      const auto answer = session.Ask();
      CHECK(answer.coverage.complete());
      CHECK(answer.snapshot == Snapshot{1, 4});
    }
    SUBCASE("which is asked again when a shard has moved past it") {
      session.Ask();
      SetHeld(&session, 0, {{1, 3}, {1, 4}});
      SetHeld(&session, 1, {{1, 4}});
      SetHeld(&session, 2, {{1, 3}, {1, 4}});
      const auto answer = session.Ask();
      CHECK(answer.coverage.complete());
      CHECK(answer.snapshot == Snapshot{1, 4});
    }
    SUBCASE("and if the shards have none in common, part of them is labelled") {
      session.Ask();
      SetHeld(&session, 0, {{1, 3}});
      SetHeld(&session, 1, {{1, 7}});
      SetHeld(&session, 2, {{1, 3}});
      const auto answer = session.Ask();
      CHECK(answer.code == ResultCode::kPartialAnswer);
      CHECK(answer.coverage.shards_answered == 2);
      REQUIRE(answer.coverage.missing.size() == 1);
      CHECK(answer.coverage.missing[0].shard == "shard-1");
      CHECK(answer.snapshot == Snapshot{1, 3});
    }
  }

  TEST_CASE("A repartition under a running query") {
    Session session({});
    session.Ask();
    const QueryId running = session.Search();
    session.Run(Millis(2));
    for (int shard = 0; shard < 3; ++shard)
      SetHeld(&session, shard, {{2, 9}});
    session.Reconfigure(
        [](Collection* collection) { collection->map_epoch = 2; });
    session.Run(Millis(300));

    SUBCASE("lets the query finish on the map that it began with") {
      CHECK(session.answer(running).snapshot.map_epoch == 1);
      CHECK(session.answer(running).coverage.complete());
    }
    SUBCASE("moves the next query to the new one") {
      const auto answer = session.Ask();
      CHECK(answer.snapshot == Snapshot{2, 9});
      CHECK(answer.coverage.complete());
    }
  }

  TEST_CASE("A query whose map is gone starts again on the new one") {
    Session session({});
    session.Ask();
    for (int shard = 0; shard < 3; ++shard)
      SetHeld(&session, shard, {{2, 9}});
    const QueryId query = session.Search();
    session.Reconfigure(
        [](Collection* collection) { collection->map_epoch = 2; });
    session.Run(Millis(300));
    CHECK(session.answer(query).snapshot == Snapshot{2, 9});
    CHECK(session.answer(query).coverage.complete());
  }

  TEST_CASE("Answers from before a restart on a smaller map are dropped") {
    Session session({.shards = 5});
    session.Ask();
    for (int shard = 0; shard < 4; ++shard)
      session.server(shard, 0).service = session.server(shard, 1).service =
          Millis(60);
    SetHeld(&session, 4, {{2, 9}});
    const QueryId query = session.Search();
    for (int shard = 0; shard < 4; ++shard)
      SetHeld(&session, shard, {{1, 3}, {2, 9}});
    session.Reconfigure([](Collection* collection) {
      collection->map_epoch = 2;
      collection->services[0].shards.resize(2);
    });
    session.Run(Millis(300));
    REQUIRE(session.HasAnswer(query));
    CHECK(session.answer(query).coverage.shards_total == 2);
    CHECK(session.answer(query).coverage.complete());
    CHECK(session.answer(query).snapshot.map_epoch == 2);
  }

  // Whether some version is held by a server of each shard.
  bool HasCommonVersion(Session * session, int shards) {
    for (std::uint64_t version = 1; version < 20; ++version) {
      const Snapshot wanted{1, version};
      int holding = 0;
      for (int shard = 0; shard < shards; ++shard) {
        bool held = false;
        for (int replica = 0; replica < 2; ++replica) {
          const auto& list = session->server(shard, replica).held;
          held |= std::find(list.begin(), list.end(), wanted) != list.end();
        }
        holding += held ? 1 : 0;
      }
      if (holding == shards)
        return true;
    }
    return false;
  }

  TEST_CASE(
      "Versions that advance at random never mix, and are whole whenever "
      "the servers have one in common") {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      CAPTURE(seed);
      Session session({.shards = 5, .seed = seed});
      Random random(seed);
      for (int step = 0; step < 40; ++step) {
        CAPTURE(step);
        const int shard = static_cast<int>(random.Below(5));
        const int replica = static_cast<int>(random.Below(2));
        const std::uint64_t version = 3 + static_cast<std::uint64_t>(step) / 10;
        session.server(shard, replica).held = {
            {1, version - 1}, {1, version}, {1, version + 1}};
        const std::size_t before = session.transcript().size();
        const auto answer = session.Ask();
        INFO(session.transcript().substr(before));
        REQUIRE(answer.hits.size() == answer.coverage.shards_answered);
        REQUIRE(answer.coverage.complete() == HasCommonVersion(&session, 5));
      }
    }
  }
}

}  // namespace
}  // namespace limpetrudder
