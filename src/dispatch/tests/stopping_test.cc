#include <doctest/doctest.h>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

TEST_CASE(
    "Requests that come late in the grace of a stopping instance are cut") {
  FleetSession::Options options;
  options.timeout = Millis(2000);
  options.single_kind = RequestKind::kNonIdempotent;
  FleetSession session(options);

  SUBCASE("one that may not end in time is refused before it is sent") {
    session.engine(0).OnStopping(session.now() + Seconds(1));
    for (const CallId call : {session.Single(), session.Search()}) {
      REQUIRE(session.answered(call));
      CHECK(session.answer(call).reply.status == 503);
      CHECK(session.answer(call).reply.retry_after);
      CHECK(session.answer(call).record.code == ResultCode::kStopping);
    }
    CHECK(session.runs() == 0);
  }
  SUBCASE("one that ends in time is served") {
    session.engine(0).OnStopping(session.now() + Seconds(3));
    CHECK(session.SingleNow().reply.status == 200);
    CHECK(session.SearchNow().reply.status == 200);
  }
  SUBCASE("one that is still running at the end gets an answer") {
    for (std::size_t i = 0; i < 3; ++i)
      session.single(i).silent = true;
    const CallId call = session.Single();
    session.Run(Millis(100));
    REQUIRE_FALSE(session.answered(call));
    session.GiveUpCalls(0);
    REQUIRE(session.answered(call));
    // It may have run, so 503 would be a false promise.
    CHECK(session.answer(call).reply.status == 502);
  }
  SUBCASE("a search that lacks optional parts at the end is answered") {
    FleetSession::Options lenient = options;
    lenient.coverage_floor = 0.5;
    FleetSession other(lenient);
    other.server(0, 0).silent = true;
    other.server(0, 1).silent = true;
    const CallId call = other.Search();
    other.Run(Millis(100));
    REQUIRE_FALSE(other.answered(call));
    other.GiveUpCalls(0);
    CHECK(other.answer(call).reply.status == 200);
    CHECK(other.answer(call).reply.missing_parts == 1);
  }
}

TEST_CASE("An instance that stops is still listed for a while") {
  FleetSession::Options options = FleetSession::SmallFleet(18);
  options.cores_of = {0.02, 0.02, 0.02, 0.02, 0.02, 0.02, 0.02, 4};
  FleetSession session(options);
  const auto coordinated_elsewhere = [&session] {
    int count = 0;
    for (std::size_t i = 0; i < 70; ++i) {
      const SessionAnswer& answer = session.SearchNow(i % 7);
      CHECK(answer.reply.status == 200);
      count += answer.record.coordinator.empty() ? 0 : 1;
    }
    return count;
  };
  REQUIRE(coordinated_elsewhere() > 20);
  session.AnnounceStop(7);

  SUBCASE("others no longer have it coordinate what they can") {
    CHECK(coordinated_elsewhere() == 0);
  }
  SUBCASE("those that have lost the servers have it serve their calls") {
    for (std::size_t i = 0; i < 7; ++i)
      session.CutFromServers(i, ServerCut::kRefuse);
    for (std::size_t i = 0; i < 140; ++i) {
      session.SendRequest("/all/x", i % 7);
      session.Run(Millis(10));
    }
    session.Run(Seconds(3));
    for (std::size_t i = 0; i < 35; ++i) {
      CHECK(session.SearchNow(i % 7).reply.status == 200);
      CHECK(session.SingleNow(i % 7).reply.status == 200);
    }
    session.Deregister(7);
    CHECK(session.SearchNow(0).reply.status == 503);
  }
}

}  // namespace
}  // namespace limpetrudder
