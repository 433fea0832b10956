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

}  // namespace
}  // namespace limpetrudder
