#include <doctest/doctest.h>

#include "query/tests/session.h"

namespace limpetrudder {
namespace {

TEST_CASE("A search that enters at an instance that isn't a home") {
  Session session({.instances = 40});
  // NOTE 25 connections make 11 homes of 40 instances; the engine is one of
  // the other 29 for a collection with a fitting name.
  std::string name = "catalogue";
  for (int i = 0;; ++i) {
    session.Reconfigure([&](Collection* collection) {
      collection->name = name = "catalogue-" + std::to_string(i);
    });
    const auto homes = session.engine().CoordinatorsOf(name);
    REQUIRE(homes.size() == 11);
    if (std::find(homes.begin(), homes.end(), "kingston-0") == homes.end())
      break;
  }
  SearchRequest request;
  request.collection = name;
  request.deadline = session.now() + Millis(290);
  const QueryId query = session.SearchAs(request);
  REQUIRE(session.forwarded.size() == 1);

  SUBCASE("goes to the next home when the first refuses") {
    session.engine().OnForward(query, ForwardOutcome::kNotRun, session.now());
    session.Run(Millis(1));
    REQUIRE(session.forwarded.size() == 2);
    CHECK(session.forwarded[0].peer != session.forwarded[1].peer);
  }
  SUBCASE("is refused truly when two homes refused") {
    session.engine().OnForward(query, ForwardOutcome::kNotRun, session.now());
    session.engine().OnForward(query, ForwardOutcome::kNotRun, session.now());
    session.Run(Millis(1));
    CHECK(session.answer(query).code == ResultCode::kNoHome);
    CHECK(session.answer(query).execution == Execution::kNotRun);
  }
  SUBCASE("isn't called 'not run' when a home fell silent") {
    session.engine().OnForward(query, ForwardOutcome::kFailed, session.now());
    session.engine().OnForward(query, ForwardOutcome::kNotRun, session.now());
    session.Run(Millis(1));
    CHECK(session.answer(query).execution == Execution::kUnknown);
  }
  SUBCASE("is explained by where it went") {
    session.engine().OnForward(query, ForwardOutcome::kNotRun, session.now());
    session.engine().OnForward(query, ForwardOutcome::kAnswered, session.now());
    const auto* decisions = session.engine().Explain("r1");
    REQUIRE(decisions != nullptr);
    REQUIRE(decisions->size() == 3);
    CHECK((*decisions)[2].kind == DecisionKind::kForwarded);
    CHECK((*decisions)[2].target != (*decisions)[0].target);
  }
  SUBCASE("is run where it arrives if another instance sent it") {
    session.SearchAs(request, /*forwarded=*/true);
    CHECK(session.forwarded.size() == 1);
    CHECK(session.sent > 0);
  }
}

TEST_CASE("A caller that leaves has its work cancelled") {
  Session session({});
  session.WarmUp(5);
  const QueryId query = session.Search();
  session.Run(Millis(2));
  session.engine().OnCallerLeft(query, session.now());
  session.Run(Millis(300));
  CHECK_FALSE(session.HasAnswer(query));
  int cancelled = 0;
  for (int shard = 0; shard < 3; ++shard)
    cancelled +=
        session.server(shard, 0).cancelled + session.server(shard, 1).cancelled;
  CHECK(cancelled == 3);
  CHECK(session.engine().idle());
}

TEST_CASE("An engine that stops") {
  Session session({});
  session.WarmUp(5);
  const QueryId running = session.Search();
  session.Run(Millis(2));
  session.engine().Stop();
  const QueryId late = session.Search();
  session.Run(Millis(100));
  CHECK(session.answer(running).coverage.complete());
  CHECK(session.answer(late).code == ResultCode::kStopping);
  CHECK(session.answer(late).execution == Execution::kNotRun);
  CHECK(session.engine().idle());
}

TEST_CASE("A change of strategy lets running queries finish") {
  Session session({});
  session.WarmUp(5);
  const QueryId running = session.Search();
  session.Reconfigure([](Collection* collection) {
    collection->strategy = Strategy::kBaseline;
  });
  session.Run(Millis(100));
  CHECK(session.answer(running).coverage.complete());
  CHECK(session.Ask().coverage.complete());
}

TEST_CASE("Each decision about a request can be asked for") {
  Session session({});
  session.Ask();
  const auto* decisions = session.engine().Explain("r1");
  REQUIRE(decisions != nullptr);
  CHECK(decisions->front().kind == DecisionKind::kPinned);
  CHECK(session.engine().Explain("r2") == nullptr);
}

TEST_SUITE("promise-6") {
  TEST_CASE("A leaving server gets no new work") {
    Session session({});
    session.WarmUp(20);
    FakeServer& leaving = session.server(0, 0);

    SUBCASE("after its own drain answer") {
      leaving.draining = true;
      const int before = leaving.requests;
      for (int i = 0; i < 200; ++i)
        REQUIRE(session.Ask().coverage.complete());
      CHECK(leaving.requests - before <= 1);
    }
    SUBCASE("after the platform listed it") {
      session.engine().OnListedLeaving({"shard-0-0"}, session.now());
      const int before = leaving.requests;
      for (int i = 0; i < 50; ++i)
        REQUIRE(session.Ask().coverage.complete());
      CHECK(leaving.requests == before);
    }
    SUBCASE("after the configuration said so") {
      session.Reconfigure([](Collection* collection) {
        collection->services[0].shards[0].servers[0].leaving = true;
      });
      const int before = leaving.requests;
      for (int i = 0; i < 50; ++i)
        REQUIRE(session.Ask().coverage.complete());
      CHECK(leaving.requests == before);
    }
  }
}

}  // namespace
}  // namespace limpetrudder
