#include <doctest/doctest.h>

#include "query/tests/session.h"

namespace limpetrudder {
namespace {

void SetHeld(Session* session, int shard, std::vector<Snapshot> held) {
  for (int replica = 0; replica < 2; ++replica)
    session->server(shard, replica).held = held;
}

TEST_SUITE("promise-1") {
  TEST_CASE("All hits of an answer come from one snapshot") {
    Session session({});

    SUBCASE("the snapshot is the newest that every shard holds") {
      SetHeld(&session, 0, {{1, 4}, {1, 5}});
      SetHeld(&session, 1, {{1, 4}, {1, 5}, {1, 6}});
      SetHeld(&session, 2, {{1, 5}, {1, 6}});
      session.Run(Seconds(2));
      const auto answer = session.Ask();
      CHECK(answer.coverage.complete());
      CHECK(answer.snapshot == Snapshot{1, 5});
    }
    SUBCASE("the first search finds a common snapshot on its own") {
      SetHeld(&session, 0, {{1, 4}, {1, 5}});
      SetHeld(&session, 1, {{1, 4}});
      SetHeld(&session, 2, {{1, 4}, {1, 5}});
      const auto answer = session.Ask();
      CHECK(answer.coverage.complete());
      CHECK(answer.snapshot == Snapshot{1, 4});
    }
    SUBCASE("the search changes its snapshot if a shard dropped it") {
      session.Ask();
      SetHeld(&session, 0, {{1, 3}, {1, 4}});
      SetHeld(&session, 1, {{1, 4}});
      SetHeld(&session, 2, {{1, 3}, {1, 4}});
      const auto answer = session.Ask();
      CHECK(answer.coverage.complete());
      CHECK(answer.snapshot == Snapshot{1, 4});
    }
    SUBCASE("the answer is partial if the shards have no common snapshot") {
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

  TEST_CASE("The shard map changes during a query") {
    Session session({});
    session.Ask();
    const QueryId running = session.Search();
    session.Run(Millis(2));
    for (int shard = 0; shard < 3; ++shard)
      SetHeld(&session, shard, {{2, 9}});
    session.Reconfigure(
        [](Collection* collection) { collection->map_epoch = 2; });
    session.Run(Millis(300));

    SUBCASE("a running query finishes on its old shard map") {
      CHECK(session.answer(running).snapshot.map_epoch == 1);
      CHECK(session.answer(running).coverage.complete());
    }
    SUBCASE("the next query uses the new shard map") {
      const auto answer = session.Ask();
      CHECK(answer.snapshot == Snapshot{2, 9});
      CHECK(answer.coverage.complete());
    }
  }

  TEST_CASE("A query restarts on the new shard map if the old is gone") {
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

  TEST_CASE("A restart on a smaller shard map drops earlier answers") {
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

  // Whether there is a version that a server of each shard holds.
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
      "Random version changes never mix snapshots in an answer, which is "
      "complete if the shards hold a common version") {
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
