#include <doctest/doctest.h>

#include "discovery/registrar.h"

namespace limpetrudder {
namespace {

const Time kStart = Time(Seconds(10));

TEST_CASE("Registering an instance") {
  Registrar registrar({"a", "kgn-a", "10.0.0.1:7000", 1, 100}, 3);
  Time next{};
  auto call = registrar.Turn(kStart, &next);
  REQUIRE(call);
  REQUIRE(std::holds_alternative<GrantLease>(*call));

  SUBCASE("has nothing to end before it has a lease") {
    CHECK_FALSE(registrar.Leave());
  }
  SUBCASE("with a lease") {
    registrar.OnReply({LeaseStatus::kOk, 77}, kStart);
    call = registrar.Turn(kStart, &next);
    REQUIRE(call);
    CHECK(std::get<WriteInstance>(*call).lease == 77);

    SUBCASE("writes again if the reply is lost") {
      registrar.OnReply({LeaseStatus::kFailed, 0}, kStart);
      CHECK_FALSE(registrar.Turn(kStart, &next));
      call = registrar.Turn(next, &next);
      REQUIRE(call);
      CHECK(std::holds_alternative<WriteInstance>(*call));
    }
    SUBCASE("renews the lease in time") {
      registrar.OnReply({LeaseStatus::kOk, 0}, kStart);
      CHECK_FALSE(registrar.Turn(kStart + Seconds(9), &next));
      call = registrar.Turn(kStart + Registrar::kRenewal, &next);
      REQUIRE(call);
      CHECK(std::get<RenewLease>(*call).lease == 77);

      SUBCASE("and begins anew if it has lapsed") {
        registrar.OnReply({LeaseStatus::kNoLease, 0}, kStart + Seconds(10));
        call = registrar.Turn(kStart + Seconds(10), &next);
        REQUIRE(call);
        CHECK(std::holds_alternative<GrantLease>(*call));
      }
    }
    SUBCASE("ends it when it leaves, and makes no call afterwards") {
      registrar.OnReply({LeaseStatus::kOk, 0}, kStart);
      const auto last = registrar.Leave();
      REQUIRE(last);
      CHECK(std::get<EndLease>(*last).lease == 77);
      CHECK_FALSE(registrar.Turn(kStart + Seconds(60), &next));
    }
  }
}

}  // namespace
}  // namespace limpetrudder
