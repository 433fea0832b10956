#include <doctest/doctest.h>

#include "query/tests/session.h"

namespace limpetrudder {
namespace {

struct OverloadResult {
  int answered = 0;
  int refused = 0;
  int incomplete = 0;
};

// Starts `per_second` searches a second for ten seconds. The servers can run
// 200 a second.
OverloadResult RunLoad(Session* session, int per_second) {
  OverloadResult result;
  std::vector<QueryId> queries;
  const int count = per_second * 10;
  for (int i = 0; i < count; ++i) {
    queries.push_back(session->Search());
    session->Run(Duration(1'000'000 / per_second));
  }
  session->Run(Millis(500));
  for (QueryId query : queries) {
    const auto& answer = session->answer(query);
    if (answer.execution == Execution::kNotRun)
      ++result.refused;
    else if (answer.coverage.complete())
      ++result.answered;
    else
      ++result.incomplete;
  }
  return result;
}

TEST_SUITE("promise-4") {
  TEST_CASE("Servers at three times their capacity") {
    Session session({.shards = 4, .servers_per_shard = 2});
    for (int shard = 0; shard < 4; ++shard) {
      for (int replica = 0; replica < 2; ++replica)
        session.server(shard, replica).service = Millis(20);
    }
    session.WarmUp(100);
    const auto result = RunLoad(&session, 600);

    SUBCASE("overload still completes at least 90% of the capacity") {
      CHECK(result.answered >= 1800);
    }
    SUBCASE("overload leaves few admitted searches incomplete") {
      CHECK(result.incomplete <= 100);
    }
    SUBCASE("overload refuses the excess searches without running them") {
      CHECK(result.refused >= 3000);
    }
  }

  TEST_CASE("A search refused as 'not run' sent no sub-query") {
    Session session({.shards = 2});
    session.WarmUp();
    for (int i = 0; i < 400; ++i)
      session.Search();
    const auto sent_before = session.sent;
    const QueryId refused = session.Search();
    CHECK(session.sent == sent_before);
    REQUIRE(session.HasAnswer(refused));
    CHECK(session.answer(refused).code == ResultCode::kOverloaded);
    CHECK(session.answer(refused).execution == Execution::kNotRun);
    CHECK(session.answer(refused).retry_after > Duration(0));
    CHECK(session.answer(refused).sub_queries == 0);
  }

  TEST_CASE("A search that sent sub-queries is not answered 'not run'") {
    Session session({});
    session.server(0, 0).failing = true;
    session.server(0, 1).failing = true;
    const auto answer = session.Ask(CallerClass::kTill);
    CHECK(answer.code == ResultCode::kNotWhole);
    CHECK(answer.execution == Execution::kRun);
  }
}

TEST_CASE("A queued till search runs before queued browse searches") {
  Session session({.shards = 2});
  session.WarmUp();
  for (int i = 0; i < 40; ++i)
    session.Search(CallerClass::kBrowse);
  const QueryId till = session.Search(CallerClass::kTill);
  session.Run(Millis(45));
  CHECK(session.HasAnswer(till));
}

TEST_CASE("An instance keeps at most its share of a server in flight") {
  Session session({.shards = 2, .instances = 3});
  session.WarmUp();
  for (int i = 0; i < 100; ++i)
    session.Search();
  session.Run(Millis(500));
  for (int shard = 0; shard < 2; ++shard) {
    for (int replica = 0; replica < 2; ++replica)
      CHECK(session.server(shard, replica).max_in_flight <= 2);
  }
}

TEST_CASE("A server that sheds load is backed off and the others answer") {
  Session session({});
  session.WarmUp();
  session.server(0, 0).shedding = true;
  const int before = session.server(0, 0).requests;
  for (int i = 0; i < 100; ++i) {
    const QueryId query = session.Search();
    session.Run(Millis(20));
    session.Run(Millis(20));
    REQUIRE(session.answer(query).coverage.complete());
  }
  CHECK(session.server(0, 0).requests - before <= 100);
}

}  // namespace
}  // namespace limpetrudder
