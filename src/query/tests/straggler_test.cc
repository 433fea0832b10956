#include <doctest/doctest.h>

#include "query/tests/session.h"

namespace limpetrudder {
namespace {

TEST_CASE("A slow server of a shard") {
  Session session({.shards = 4});
  session.WarmUp(100);

  SUBCASE("slow server is hedged and the search finishes early") {
    session.server(0, 0).service = Millis(200);
    session.server(0, 1).service = Millis(200);
    const QueryId query = session.Search();
    session.Run(Millis(1));
    session.server(0, 0).service = Millis(10);
    session.server(0, 1).service = Millis(10);
    session.Run(Millis(299));
    CHECK(session.answer(query).took < Millis(60));
    CHECK(session.answer(query).extra_sub_queries == 1);
    CHECK(session.server(0, 0).cancelled + session.server(0, 1).cancelled == 1);
  }
  SUBCASE("persistently slow server gets almost no requests") {
    session.server(0, 0).service = Millis(160);
    session.WarmUp(20);
    const int before = session.server(0, 0).requests;
    for (int i = 0; i < 50; ++i)
      REQUIRE(session.Ask().took < Millis(20));
    CHECK(session.server(0, 0).requests - before <= 2);

    SUBCASE("recovered server gets requests again") {
      session.server(0, 0).service = Millis(10);
      session.WarmUp(1500);
      const int recovered = session.server(0, 0).requests;
      session.WarmUp(100);
      CHECK(session.server(0, 0).requests - recovered >= 20);
    }
  }
}

TEST_CASE("Extra sub-queries stay within the extra load budget") {
  for (double percent : {0.0, 3.0}) {
    CAPTURE(percent);
    Session session({.shards = 10, .extra_load_percent = percent});
    Random random(7);
    double extra = 0;
    double all = 0;
    for (int i = 0; i < 800; ++i) {
      for (int shard = 0; shard < 10; ++shard) {
        for (int replica = 0; replica < 2; ++replica) {
          const bool straggles = random.Below(100) < 8;
          session.server(shard, replica).service =
              Millis(straggles ? 80 : 8 + static_cast<int>(random.Below(5)));
        }
      }
      const QueryId query = session.Search();
      session.Run(Millis(60));
      if (session.HasAnswer(query)) {
        extra += session.answer(query).extra_sub_queries;
        all += session.answer(query).sub_queries;
      }
    }
    CHECK(extra <= (all - extra) * percent / 100 + 10);
    if (percent > 0)
      CHECK(extra > 0);
  }
}

TEST_CASE("Overload of all servers does not trigger hedges") {
  Session session({.shards = 1});
  session.WarmUp(100);
  for (int i = 0; i < 40; ++i)
    session.Search();
  const auto before = session.sent;
  session.Run(Millis(25));
  CHECK(session.sent - before <= 8);
  CHECK(session.server(0, 0).cancelled == 0);
  CHECK(session.server(0, 1).cancelled == 0);
}

TEST_CASE("A server that stops answering delays few searches") {
  Session session({});
  session.WarmUp(100);
  session.server(1, 0).silent = true;
  int slow = 0;
  for (int i = 0; i < 100; ++i) {
    const auto answer = session.Ask();
    REQUIRE(answer.coverage.complete());
    slow += answer.took > Millis(40) ? 1 : 0;
  }
  CHECK(slow <= 3);
}

TEST_CASE("A tail_first collection omits slow shards, except for captain") {
  Session session({.shards = 20, .policy = "tail_first"});
  session.WarmUp(100);
  session.server(3, 0).service = Millis(270);
  session.server(3, 1).service = Millis(270);
  const auto browse = session.Ask(CallerClass::kBrowse);
  CHECK(browse.code == ResultCode::kPartialAnswer);
  CHECK(browse.coverage.shards_answered == 19);
  CHECK(browse.took < Millis(100));
  session.Run(Seconds(20));
  session.server(3, 0).service = Millis(200);
  session.server(3, 1).service = Millis(200);
  const auto captain = session.Ask(CallerClass::kCaptain);
  CHECK(captain.coverage.complete());
}

}  // namespace
}  // namespace limpetrudder
