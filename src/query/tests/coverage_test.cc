#include <doctest/doctest.h>

#include "query/tests/session.h"

namespace limpetrudder {
namespace {

void Lose(Session* session, int shard) {
  session->server(shard, 0).dead = true;
  session->server(shard, 1).dead = true;
}

// Another data centre with a home and a server of each shard.
void AddMontego(Session* session) {
  session->engine().OnInstances({{"kingston-0", "kingston", "kingston-0"},
                                 {"montego-0", "montego", "montego-0"}},
                                session->now());
  session->Reconfigure([](Collection* collection) {
    for (auto& shard : collection->services[0].shards)
      shard.servers.push_back(
          {shard.name + "-far", shard.name + "-far", "montego", 2, 25, false});
  });
}

TEST_SUITE("promise-2") {
  TEST_CASE("A page of part of the catalogue says so") {
    Session session({});
    session.WarmUp(5);

    SUBCASE("when a shard is lost") {
      Lose(&session, 1);
      const auto answer = session.Ask();
      CHECK(answer.code == ResultCode::kPartialAnswer);
      CHECK(answer.coverage.shards_total == 3);
      CHECK(answer.coverage.shards_answered == 2);
      REQUIRE(answer.coverage.missing.size() == 1);
      CHECK(answer.coverage.missing[0].shard == "shard-1");
      CHECK(answer.coverage.missing[0].reason == ResultCode::kNoServer);
    }
    SUBCASE("when a shard is lost, without asking the others again") {
      for (int shard = 0; shard < 3; ++shard) {
        session.server(shard, 0).held = {{1, 1}, {1, 2}, {1, 3}};
        session.server(shard, 1).held = {{1, 1}, {1, 2}, {1, 3}};
      }
      session.WarmUp(5);
      Lose(&session, 1);
      session.Ask();
      CHECK(session.Ask().sub_queries == 2);
    }
    SUBCASE("when a shard fails, without asking the others again") {
      for (int shard = 0; shard < 3; ++shard) {
        session.server(shard, 0).held = {{1, 1}, {1, 2}, {1, 3}};
        session.server(shard, 1).held = {{1, 1}, {1, 2}, {1, 3}};
      }
      session.WarmUp(5);
      session.server(1, 0).failing = true;
      session.server(1, 1).failing = true;
      session.Ask();
      CHECK(session.server(0, 0).requests + session.server(0, 1).requests ==
            11);
    }
    SUBCASE("when a shard is late") {
      session.server(2, 0).service = Seconds(2);
      session.server(2, 1).service = Seconds(2);
      const auto answer = session.Ask();
      CHECK(answer.coverage.shards_answered == 2);
      CHECK(answer.took <= Millis(290));
    }
    SUBCASE("when nothing answers at all") {
      for (int shard = 0; shard < 3; ++shard)
        Lose(&session, shard);
      const auto answer = session.Ask();
      CHECK(answer.code == ResultCode::kNoAnswer);
      CHECK(answer.hits.empty());
    }
    SUBCASE("and one of all of it is complete") {
      const auto answer = session.Ask();
      CHECK(answer.code == ResultCode::kOk);
      CHECK(answer.coverage.complete());
      CHECK(answer.coverage.missing.empty());
    }
  }

  TEST_CASE("Coverage stays whole wherever one server of each shard lives") {
    Session session({});
    session.WarmUp(5);
    for (int shard = 0; shard < 3; ++shard)
      session.server(shard, shard % 2).dead = true;
    for (int i = 0; i < 50; ++i) {
      const auto answer = session.Ask();
      REQUIRE(answer.coverage.complete());
    }
  }

  TEST_CASE("A shard without a local server is asked of another data centre") {
    Session session({});
    session.WarmUp(5);
    AddMontego(&session);
    Lose(&session, 1);
    const QueryId query = session.Search();
    session.Run(Millis(20));
    REQUIRE(session.asked.size() == 1);
    const auto& ask = session.asked[0];
    CHECK(ask.peer == "montego-0");
    CHECK(ask.request.only_shards == std::vector<std::string>{"shard-1"});

    SUBCASE("and its answer completes the page") {
      ShardAnswer far;
      far.shard = "shard-1";
      far.snapshot = ask.request.pinned;
      session.engine().OnBatch(ask.batch, {far}, session.now());
      session.Run(Millis(300));
      CHECK(session.answer(query).coverage.complete());
    }
    SUBCASE("and one of another snapshot isn't mixed in") {
      ShardAnswer far;
      far.shard = "shard-1";
      far.snapshot = {1, 99};
      session.engine().OnBatch(ask.batch, {far}, session.now());
      session.Run(Millis(300));
      CHECK(session.answer(query).coverage.shards_answered == 2);
    }
    SUBCASE("and a failed call leaves the shard missing") {
      session.engine().OnBatch(ask.batch, {}, session.now());
      session.Run(Millis(300));
      REQUIRE(session.answer(query).coverage.missing.size() == 1);
      CHECK(session.answer(query).coverage.missing[0].reason ==
            ResultCode::kPeerUnreachable);
    }
  }

  TEST_CASE(
      "A straggler that no server here can take over is asked of another "
      "data centre") {
    Session session({});
    AddMontego(&session);
    session.server(1, 1).dead = true;
    session.WarmUp(60);
    session.server(1, 0).service = Seconds(2);
    const QueryId query = session.Search();
    session.Run(Millis(100));
    REQUIRE(session.asked.size() == 1);
    CHECK(session.asked[0].request.only_shards ==
          std::vector<std::string>{"shard-1"});

    SUBCASE("and its answer completes the page long before") {
      ShardAnswer far;
      far.shard = "shard-1";
      far.snapshot = session.asked[0].request.pinned;
      session.engine().OnBatch(session.asked[0].batch, {far}, session.now());
      session.Run(Millis(1));
      CHECK(session.answer(query).coverage.complete());
    }
    SUBCASE("and if that refuses, the straggler may still make it") {
      session.engine().OnBatch(session.asked[0].batch, {}, session.now());
      session.Run(Millis(10));
      CHECK_FALSE(session.HasAnswer(query));
    }
  }
}

TEST_SUITE("promise-3") {
  TEST_CASE("A till gets the whole answer or an honest refusal") {
    Session session({});
    session.WarmUp(5);

    SUBCASE("the whole answer, when an answer is crossed") {
      session.server(0, 0).crossed = true;
      for (int i = 0; i < 20; ++i) {
        const auto answer = session.Ask(CallerClass::kTill);
        REQUIRE(answer.coverage.complete());
        REQUIRE(answer.hits.size() == 3);
      }
    }
    SUBCASE("the whole answer, when one arrives after its replacement") {
      session.WarmUp(60);
      session.server(0, 0).service = Millis(100);
      for (int i = 0; i < 10; ++i)
        REQUIRE(session.Ask(CallerClass::kCaptain).hits.size() == 3);
    }
    SUBCASE("a refusal at once, when a shard is lost") {
      Lose(&session, 1);
      session.Run(Millis(10));
      session.Ask(CallerClass::kTill);
      const auto answer = session.Ask(CallerClass::kTill);
      CHECK(answer.code == ResultCode::kNotWhole);
      CHECK(answer.hits.empty());
      CHECK(answer.execution == Execution::kNotRun);
      CHECK(answer.sub_queries == 0);
      CHECK(answer.retry_after > Duration(0));
    }
    SUBCASE("never a partial one, when a shard is late") {
      session.server(2, 0).service = Seconds(2);
      session.server(2, 1).service = Seconds(2);
      const auto answer = session.Ask(CallerClass::kMender);
      CHECK(answer.code == ResultCode::kNotWhole);
      CHECK(answer.hits.empty());
    }
  }

  TEST_CASE("Connections that go silent don't cost the answer") {
    Session session({});
    session.WarmUp();
    for (int shard = 0; shard < 3; ++shard) {
      for (int replica = 0; replica < 2; ++replica)
        session.server(shard, replica).silent_if_reused = true;
    }
    const auto answer = session.Ask(CallerClass::kTill);
    CHECK(answer.coverage.complete());
    CHECK(session.silenced >= 1);

    SUBCASE("and the servers aren't blamed") {
      for (const auto& view : session.engine().Servers())
        CHECK(view.availability == ServerAvailability::kServing);
    }
  }
}

}  // namespace
}  // namespace limpetrudder
