#include <doctest/doctest.h>

#include "discovery/registrar.h"

namespace limpetrudder {
namespace {

const Time kStart = Time(Seconds(10));

LeaseReply Reply(LeaseStatus status,
                 std::uint64_t number,
                 std::uint64_t era = 4) {
  LeaseReply reply;
  reply.status = status;
  reply.era = era;
  reply.lease = number;
  reply.revision = number;
  return reply;
}

TEST_CASE("Registering an instance") {
  Registrar registrar({"a", "kgn-a", "10.0.0.1:7000", 1, 100}, 3);
  Time next{};
  auto call = registrar.Turn(kStart, &next);
  REQUIRE(call);
  REQUIRE(std::holds_alternative<GrantLease>(*call));

  SUBCASE("has nothing to end before it has a lease") {
    CHECK_FALSE(registrar.Leave());
  }
  SUBCASE("never writes an entry without a lease") {
    registrar.OnReply(Reply(LeaseStatus::kOk, 0), kStart);
    CHECK_FALSE(registrar.Turn(kStart, &next));
    call = registrar.Turn(next, &next);
    REQUIRE(call);
    CHECK(std::holds_alternative<GrantLease>(*call));
  }
  SUBCASE("with a lease") {
    registrar.OnReply(Reply(LeaseStatus::kOk, 77), kStart);
    call = registrar.Turn(kStart, &next);
    REQUIRE(call);
    CHECK(std::get<WriteInstance>(*call).lease == 77);

    SUBCASE("writes again if the reply is lost") {
      registrar.OnReply(Reply(LeaseStatus::kFailed, 0), kStart);
      CHECK_FALSE(registrar.Turn(kStart, &next));
      call = registrar.Turn(next, &next);
      REQUIRE(call);
      CHECK(std::holds_alternative<WriteInstance>(*call));
    }
    SUBCASE("renews the lease in time") {
      registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
      CHECK_FALSE(registrar.Turn(kStart + Seconds(9), &next));
      call = registrar.Turn(kStart + Registrar::kRenewal, &next);
      REQUIRE(call);
      CHECK(std::get<RenewLease>(*call).lease == 77);

      SUBCASE("and begins anew if it has lapsed") {
        registrar.OnReply(Reply(LeaseStatus::kNoLease, 0),
                          kStart + Seconds(10));
        call = registrar.Turn(kStart + Seconds(10), &next);
        REQUIRE(call);
        CHECK(std::holds_alternative<GrantLease>(*call));
      }
    }
    SUBCASE("removes its entry when it leaves, and makes no call afterwards") {
      registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
      const auto last = registrar.Leave();
      REQUIRE(last);
      CHECK(std::get<RemoveInstance>(*last).name == "a");
      CHECK(std::get<RemoveInstance>(*last).revision == 1200);
      CHECK_FALSE(registrar.Turn(kStart + Seconds(60), &next));
    }
    SUBCASE("and the store back from an older copy") {
      const auto next_call = [&](Time now) {
        CHECK_FALSE(registrar.Turn(now, &next));
        CHECK(next <= now + Registrar::kReregistrationSpread);
        return registrar.Turn(next, &next);
      };

      SUBCASE("never writes under the old lease, whose number is another's") {
        registrar.OnReply(Reply(LeaseStatus::kOk, 940, 5), kStart);
        call = next_call(kStart);
        REQUIRE(call);
        CHECK(std::holds_alternative<GrantLease>(*call));
      }
      SUBCASE("forgets a write that was out when it last_response of that") {
        registrar.OnEra(5, kStart);
        registrar.OnReply(Reply(LeaseStatus::kOk, 940, 5), kStart);
        call = next_call(kStart);
        REQUIRE(call);
        CHECK(std::holds_alternative<GrantLease>(*call));
      }
      SUBCASE("registers anew, and doesn't renew the old lease") {
        registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
        registrar.OnEra(5, kStart + Seconds(1));
        call = next_call(kStart + Seconds(1));
        REQUIRE(call);
        CHECK(std::holds_alternative<GrantLease>(*call));

        SUBCASE("nor believes an answer of the time before") {
          registrar.OnReply(Reply(LeaseStatus::kOk, 78, 4), kStart);
          CHECK_FALSE(registrar.Turn(kStart, &next));
          call = registrar.Turn(next, &next);
          REQUIRE(call);
          CHECK(std::holds_alternative<GrantLease>(*call));
        }
        SUBCASE("and doesn't remove what it has not written in this era") {
          CHECK_FALSE(registrar.Leave());
        }
      }
      SUBCASE("asks again at a pace while the store refuses") {
        registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
        registrar.OnEra(5, kStart + Seconds(1));
        int calls = 0;
        for (Time now = kStart; now < kStart + Seconds(10); now += Millis(10)) {
          if (registrar.Turn(now, &next)) {
            ++calls;
            registrar.OnReply(Reply(LeaseStatus::kFailed, 0, 6), now);
          }
        }
        CHECK(calls < 8);
      }
    }
    SUBCASE("registers anew if its entry was lost with another's lease") {
      registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
      registrar.OnListed(/*present=*/false, {4, 1100}, kStart);
      CHECK_FALSE(registrar.Turn(kStart + Seconds(1), &next));
      registrar.OnListed(/*present=*/false, {4, 1300}, kStart);
      call = registrar.Turn(kStart + Seconds(1), &next);
      REQUIRE(call);
      CHECK(std::holds_alternative<GrantLease>(*call));
    }
  }
}

}  // namespace
}  // namespace limpetrudder
