#include <doctest/doctest.h>

#include "membership/revision_guard.h"

namespace limpetrudder {
namespace {

TEST_SUITE("promise-8") {
  TEST_CASE("An instance that was frozen checks its revision") {
    RevisionGuard guard;
    Time now = Time() + Seconds(100);
    CHECK_FALSE(guard.OnTick(now));
    const Time before = now;
    now += Seconds(20);
    CHECK(guard.OnTick(now));
    CHECK_FALSE(guard.MayTakeWork(now));

    SUBCASE("and takes new work once a peer confirms the revision") {
      guard.OnConfirmed(now);
      CHECK(guard.MayTakeWork(now));
    }
    SUBCASE("and ignores a response to a request sent before the freeze") {
      guard.OnConfirmed(before);
      CHECK_FALSE(guard.MayTakeWork(now));
    }
    SUBCASE("and takes new work after the time limit if no peer responds") {
      CHECK(guard.MayTakeWork(now + RevisionGuard::kMaxCheckTime));
    }
  }
}

}  // namespace
}  // namespace limpetrudder
