#include <doctest/doctest.h>

#include "query/tests/session.h"

namespace limpetrudder {
namespace {

TEST_CASE("A search that arrives at an instance that is not a coordinator") {
  Session session({.instances = 40});
  // NOTE With 25 connections, 11 of 40 instances are coordinators. The loop
  // looks for a collection name for which the engine is one of the other 29.
  std::string name = "catalogue";
  for (int i = 0;; ++i) {
    session.Reconfigure([&](Collection* collection) {
      collection->name = name = "catalogue-" + std::to_string(i);
    });
    const auto coordinators = session.engine().CoordinatorsOf(name);
    REQUIRE(coordinators.size() == 11);
    if (std::find(coordinators.begin(), coordinators.end(), "kingston-0") ==
        coordinators.end())
      break;
  }
  SearchRequest request;
  request.collection = name;
  request.deadline = session.now() + Millis(290);
  const QueryId query = session.SearchAs(request);
  REQUIRE(session.forwarded.size() == 1);

  SUBCASE("the search is forwarded again if a coordinator did not run it") {
    session.engine().OnForward(query, ForwardOutcome::kNotRun, session.now());
    session.Run(Millis(1));
    REQUIRE(session.forwarded.size() == 2);
    CHECK(session.forwarded[0].peer != session.forwarded[1].peer);
  }
  SUBCASE("the search is 'not run' if two coordinators did not run it") {
    session.engine().OnForward(query, ForwardOutcome::kNotRun, session.now());
    session.engine().OnForward(query, ForwardOutcome::kNotRun, session.now());
    session.Run(Millis(1));
    CHECK(session.answer(query).code == ResultCode::kNoHome);
    CHECK(session.answer(query).execution == Execution::kNotRun);
  }
  SUBCASE("the outcome is unknown if forwarding to a coordinator failed") {
    session.engine().OnForward(query, ForwardOutcome::kFailed, session.now());
    session.engine().OnForward(query, ForwardOutcome::kNotRun, session.now());
    session.Run(Millis(1));
    CHECK(session.answer(query).execution == Execution::kUnknown);
  }
  SUBCASE("Explain lists each coordinator that got the search") {
    session.engine().OnForward(query, ForwardOutcome::kNotRun, session.now());
    session.engine().OnForward(query, ForwardOutcome::kAnswered, session.now());
    const auto* decisions = session.engine().Explain("r1");
    REQUIRE(decisions != nullptr);
    REQUIRE(decisions->size() == 3);
    CHECK((*decisions)[2].kind == DecisionKind::kForwarded);
    CHECK((*decisions)[2].target != (*decisions)[0].target);
  }
  SUBCASE("the search runs locally if another instance forwarded it") {
    session.SearchAs(request, /*forwarded=*/true);
    CHECK(session.forwarded.size() == 1);
    CHECK(session.sent > 0);
  }
}

TEST_CASE("Live attempts are cancelled when the caller disconnects") {
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

TEST_CASE("A stopped engine finishes running searches and refuses new ones") {
  Session session({});
  session.WarmUp(5);
  const QueryId running = session.Search();
  session.Run(Millis(2));
  session.engine().Stop();
  const QueryId refused = session.Search();
  session.Run(Millis(100));
  CHECK(session.answer(running).coverage.complete());
  CHECK(session.answer(refused).code == ResultCode::kStopping);
  CHECK(session.answer(refused).execution == Execution::kNotRun);
  CHECK(session.engine().idle());
}

TEST_CASE("Running queries finish after a change of strategy") {
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

TEST_CASE("Explain returns the decisions of a known request only") {
  Session session({});
  session.Ask();
  const auto* decisions = session.engine().Explain("r1");
  REQUIRE(decisions != nullptr);
  CHECK(decisions->front().kind == DecisionKind::kPinned);
  CHECK(session.engine().Explain("r2") == nullptr);
}

TEST_SUITE("promise-6") {
  TEST_CASE("A leaving server gets no new sub-queries") {
    Session session({});
    session.WarmUp(20);
    FakeServer& leaving = session.server(0, 0);

    SUBCASE("leaving server announced by its own draining response") {
      leaving.draining = true;
      const int before = leaving.requests;
      for (int i = 0; i < 200; ++i)
        REQUIRE(session.Ask().coverage.complete());
      CHECK(leaving.requests - before <= 1);
    }
    SUBCASE("leaving server announced by the platform listing") {
      session.engine().OnListedLeaving({"shard-0-0"}, session.now());
      const int before = leaving.requests;
      for (int i = 0; i < 50; ++i)
        REQUIRE(session.Ask().coverage.complete());
      CHECK(leaving.requests == before);
    }
    SUBCASE("leaving server announced by the configuration") {
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
