#include <doctest/doctest.h>

#include "once/write_router.h"

namespace limpetrudder {
namespace {

TEST_SUITE("promise-5") {
  TEST_CASE("A write goes to the issuer of its key and nowhere else") {
    const std::string key =
        WriteKey({"kingston-1", "10.0.0.1:7000", 3, 12, 500, "5ec"});

    SUBCASE("which may be this instance") {
      CHECK(RouteWrite(key, "kingston-1", IssuerStanding::kUnheardOf).kind ==
            WriteRouteKind::kHere);
    }
    SUBCASE("or another") {
      const auto route = RouteWrite(key, "kingston-2", IssuerStanding::kLive);
      CHECK(route.kind == WriteRouteKind::kForward);
      CHECK(route.address == "10.0.0.1:7000");
    }
    SUBCASE("and if that is gone, nobody runs it") {
      const auto route = RouteWrite(key, "kingston-2", IssuerStanding::kLeft);
      CHECK(route.kind == WriteRouteKind::kRefuse);
      CHECK(route.refusal.state == WriteState::kUnknown);
      CHECK(route.refusal.code == ResultCode::kIssuerGone);
    }
  }
}

TEST_SUITE("promise-4") {
  TEST_CASE("'Not run' is said only when nothing left the instance") {
    CHECK(OutcomeOfLostForward(/*sent=*/false).state == WriteState::kNotRun);
    CHECK(OutcomeOfLostForward(/*sent=*/true).state == WriteState::kUnknown);
    CHECK_FALSE(OutcomeOfLostForward(true).final);
  }
}

}  // namespace
}  // namespace limpetrudder
