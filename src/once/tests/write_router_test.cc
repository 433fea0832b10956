#include <doctest/doctest.h>

#include "once/write_router.h"

namespace limpetrudder {
namespace {

TEST_SUITE("promise-5") {
  TEST_CASE("A write is sent only to the issuer of its key") {
    const std::string key =
        FormatKey({"kingston-1", "10.0.0.1:7000", 3, 12, 500, "5ec"});

    SUBCASE("and runs here if this instance is the issuer") {
      CHECK(RouteWrite(key, "kingston-1", IssuerState::kUnknown).kind ==
            WriteRouteKind::kHere);
    }
    SUBCASE("and is forwarded if another live instance is the issuer") {
      const auto route = RouteWrite(key, "kingston-2", IssuerState::kLive);
      CHECK(route.kind == WriteRouteKind::kForward);
      CHECK(route.address == "10.0.0.1:7000");
    }
    SUBCASE("and is refused if the issuer has left") {
      const auto route = RouteWrite(key, "kingston-2", IssuerState::kLeft);
      CHECK(route.kind == WriteRouteKind::kRefuse);
      CHECK(route.refusal.state == WriteState::kUnknown);
      CHECK(route.refusal.code == ResultCode::kIssuerGone);
    }
  }
}

TEST_SUITE("promise-4") {
  TEST_CASE("A failed forward is 'not run' only if no byte was sent") {
    CHECK(OutcomeOfFailedForward(/*sent=*/false).state == WriteState::kNotRun);
    CHECK(OutcomeOfFailedForward(/*sent=*/true).state == WriteState::kUnknown);
    CHECK_FALSE(OutcomeOfFailedForward(true).final);
  }
}

}  // namespace
}  // namespace limpetrudder
