#include <doctest/doctest.h>

#include "query/tests/session.h"

namespace limpetrudder {
namespace {

// Makes both servers of the shard refuse connections.
void KillServers(Session* session, int shard) {
  session->server(shard, 0).dead = true;
  session->server(shard, 1).dead = true;
}

// Adds another data centre with a coordinator and a server of each shard.
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
  TEST_CASE("A search answer reports its coverage") {
    Session session({});
    session.WarmUp(5);

    SUBCASE("the answer names an unavailable shard as missing") {
      KillServers(&session, 1);
      const auto answer = session.Ask();
      CHECK(answer.code == ResultCode::kPartialAnswer);
      CHECK(answer.coverage.shards_total == 3);
      CHECK(answer.coverage.shards_answered == 2);
      REQUIRE(answer.coverage.missing.size() == 1);
      CHECK(answer.coverage.missing[0].shard == "shard-1");
      CHECK(answer.coverage.missing[0].reason == ResultCode::kNoServer);
    }
    SUBCASE("one unavailable shard causes no retry at other shards") {
      for (int shard = 0; shard < 3; ++shard) {
        session.server(shard, 0).held = {{1, 1}, {1, 2}, {1, 3}};
        session.server(shard, 1).held = {{1, 1}, {1, 2}, {1, 3}};
      }
      session.WarmUp(5);
      KillServers(&session, 1);
      session.Ask();
      CHECK(session.Ask().sub_queries == 2);
    }
    SUBCASE("one failing shard causes no retry at other shards") {
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
    SUBCASE("the answer is partial at the deadline if a shard is slow") {
      session.server(2, 0).service = Seconds(2);
      session.server(2, 1).service = Seconds(2);
      const auto answer = session.Ask();
      CHECK(answer.coverage.shards_answered == 2);
      CHECK(answer.took <= Millis(290));
    }
    SUBCASE("the answer has no hits if no shard answers") {
      for (int shard = 0; shard < 3; ++shard)
        KillServers(&session, shard);
      const auto answer = session.Ask();
      CHECK(answer.code == ResultCode::kNoAnswer);
      CHECK(answer.hits.empty());
    }
    SUBCASE("the answer is complete if all shards answer") {
      const auto answer = session.Ask();
      CHECK(answer.code == ResultCode::kOk);
      CHECK(answer.coverage.complete());
      CHECK(answer.coverage.missing.empty());
    }
  }

  TEST_CASE("Coverage stays complete while each shard has one live server") {
    Session session({});
    session.WarmUp(5);
    for (int shard = 0; shard < 3; ++shard)
      session.server(shard, shard % 2).dead = true;
    for (int i = 0; i < 50; ++i) {
      const auto answer = session.Ask();
      REQUIRE(answer.coverage.complete());
    }
  }

  TEST_CASE("A shard without live local servers is delegated") {
    Session session({});
    session.WarmUp(5);
    AddMontego(&session);
    KillServers(&session, 1);
    const QueryId query = session.Search();
    session.Run(Millis(20));
    REQUIRE(session.asked.size() == 1);
    const auto& action = session.asked[0];
    CHECK(action.peer == "montego-0");
    CHECK(action.request.only_shards == std::vector<std::string>{"shard-1"});

    SUBCASE("a delegated answer of the same snapshot completes coverage") {
      ShardAnswer remote_answer;
      remote_answer.shard = "shard-1";
      remote_answer.snapshot = action.request.pinned;
      session.engine().OnBatch(action.batch, {remote_answer}, session.now());
      session.Run(Millis(300));
      CHECK(session.answer(query).coverage.complete());
    }
    SUBCASE("a delegated answer of another snapshot is not merged") {
      ShardAnswer remote_answer;
      remote_answer.shard = "shard-1";
      remote_answer.snapshot = {1, 99};
      session.engine().OnBatch(action.batch, {remote_answer}, session.now());
      session.Run(Millis(300));
      CHECK(session.answer(query).coverage.shards_answered == 2);
    }
    SUBCASE("a failed delegated request leaves the shard missing") {
      session.engine().OnBatch(action.batch, {}, session.now());
      session.Run(Millis(300));
      REQUIRE(session.answer(query).coverage.missing.size() == 1);
      CHECK(session.answer(query).coverage.missing[0].reason ==
            ResultCode::kPeerUnreachable);
    }
  }

  TEST_CASE("A slow shard without another local server is delegated") {
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

    SUBCASE("a delegated answer completes the search before the slow server") {
      ShardAnswer remote_answer;
      remote_answer.shard = "shard-1";
      remote_answer.snapshot = session.asked[0].request.pinned;
      session.engine().OnBatch(session.asked[0].batch, {remote_answer},
                               session.now());
      session.Run(Millis(1));
      CHECK(session.answer(query).coverage.complete());
    }
    SUBCASE("a refused delegation keeps waiting for the slow server") {
      session.engine().OnBatch(session.asked[0].batch, {}, session.now());
      session.Run(Millis(10));
      CHECK_FALSE(session.HasAnswer(query));
    }
  }
}

TEST_SUITE("promise-3") {
  TEST_CASE("A caller that needs full coverage gets all shards or an error") {
    Session session({});
    session.WarmUp(5);

    SUBCASE("till gets all shards if an answer belongs to another request") {
      session.server(0, 0).crossed = true;
      for (int i = 0; i < 20; ++i) {
        const auto answer = session.Ask(CallerClass::kTill);
        REQUIRE(answer.coverage.complete());
        REQUIRE(answer.hits.size() == 3);
      }
    }
    SUBCASE("captain gets each hit once if a replaced answer arrives") {
      session.WarmUp(60);
      session.server(0, 0).service = Millis(100);
      for (int i = 0; i < 10; ++i)
        REQUIRE(session.Ask(CallerClass::kCaptain).hits.size() == 3);
    }
    SUBCASE("till is refused before any sub-query if a shard is lost") {
      KillServers(&session, 1);
      session.Run(Millis(10));
      session.Ask(CallerClass::kTill);
      const auto answer = session.Ask(CallerClass::kTill);
      CHECK(answer.code == ResultCode::kNotWhole);
      CHECK(answer.hits.empty());
      CHECK(answer.execution == Execution::kNotRun);
      CHECK(answer.sub_queries == 0);
      CHECK(answer.retry_after > Duration(0));
    }
    SUBCASE("mender gets no partial answer if a shard is slow") {
      session.server(2, 0).service = Seconds(2);
      session.server(2, 1).service = Seconds(2);
      const auto answer = session.Ask(CallerClass::kMender);
      CHECK(answer.code == ResultCode::kNotWhole);
      CHECK(answer.hits.empty());
    }
  }

  TEST_CASE("A search survives reused connections that stopped answering") {
    Session session({});
    session.WarmUp();
    for (int shard = 0; shard < 3; ++shard) {
      for (int replica = 0; replica < 2; ++replica)
        session.server(shard, replica).silent_if_reused = true;
    }
    const auto answer = session.Ask(CallerClass::kTill);
    CHECK(answer.coverage.complete());
    CHECK(session.closed_connections >= 1);

    SUBCASE("servers stay available if only reused connections are silent") {
      for (const auto& view : session.engine().Servers())
        CHECK(view.availability == ServerAvailability::kServing);
    }
  }
}

}  // namespace
}  // namespace limpetrudder
