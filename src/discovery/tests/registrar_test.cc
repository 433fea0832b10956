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

TEST_CASE("Registering an instance in the store") {
  Registrar registrar({"a", "kgn-a", "10.0.0.1:7000", 1, 100}, 3);
  Time next{};
  auto call = registrar.NextCall(kStart, &next);
  REQUIRE(call);
  REQUIRE(std::holds_alternative<GrantLease>(*call));

  SUBCASE("makes no call to unregister before it has a lease") {
    CHECK_FALSE(registrar.Leave());
  }
  SUBCASE("writes no entry without a lease") {
    registrar.OnReply(Reply(LeaseStatus::kOk, 0), kStart);
    CHECK_FALSE(registrar.NextCall(kStart, &next));
    call = registrar.NextCall(next, &next);
    REQUIRE(call);
    CHECK(std::holds_alternative<GrantLease>(*call));
  }
  SUBCASE("with a granted lease") {
    registrar.OnReply(Reply(LeaseStatus::kOk, 77), kStart);
    call = registrar.NextCall(kStart, &next);
    REQUIRE(call);
    CHECK(std::get<WriteInstance>(*call).lease == 77);

    SUBCASE("writes the entry again if the reply is lost") {
      registrar.OnReply(Reply(LeaseStatus::kFailed, 0), kStart);
      CHECK_FALSE(registrar.NextCall(kStart, &next));
      call = registrar.NextCall(next, &next);
      REQUIRE(call);
      CHECK(std::holds_alternative<WriteInstance>(*call));
    }
    SUBCASE("renews the lease every ten seconds") {
      registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
      CHECK_FALSE(registrar.NextCall(kStart + Seconds(9), &next));
      call = registrar.NextCall(kStart + Registrar::kRenewal, &next);
      REQUIRE(call);
      CHECK(std::get<RenewLease>(*call).lease == 77);

      SUBCASE("and requests a new lease if the old one has expired") {
        registrar.OnReply(Reply(LeaseStatus::kNoLease, 0),
                          kStart + Seconds(10));
        call = registrar.NextCall(kStart + Seconds(10), &next);
        REQUIRE(call);
        CHECK(std::holds_alternative<GrantLease>(*call));
      }
    }
    SUBCASE("says in the entry that the instance stops") {
      const auto stops_in = [](const std::optional<LeaseCall>& made) {
        REQUIRE(made);
        const auto& write = std::get<WriteInstance>(*made);
        CHECK(write.lease == 77);
        return write.entry.stopping;
      };
      CHECK_FALSE(stops_in(call));

      SUBCASE("at once, and then removes the entry that says so") {
        registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
        CHECK_FALSE(registrar.NextCall(kStart + Seconds(1), &next));
        registrar.MarkStopping(kStart + Seconds(1));
        CHECK(stops_in(registrar.NextCall(kStart + Seconds(1), &next)));
        registrar.OnReply(Reply(LeaseStatus::kOk, 1300), kStart + Seconds(1));
        CHECK_FALSE(registrar.NextCall(kStart + Seconds(2), &next));
        const auto last = registrar.Leave();
        REQUIRE(last);
        CHECK(std::get<RemoveInstance>(*last).revision == 1300);
      }
      SUBCASE("once the call before it is answered") {
        registrar.MarkStopping(kStart);
        CHECK_FALSE(registrar.NextCall(kStart, &next));
        registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
        CHECK(stops_in(registrar.NextCall(kStart, &next)));
      }
      SUBCASE("again if the reply is lost") {
        registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
        registrar.MarkStopping(kStart);
        CHECK(stops_in(registrar.NextCall(kStart, &next)));
        registrar.OnReply(Reply(LeaseStatus::kFailed, 0), kStart);
        CHECK_FALSE(registrar.NextCall(kStart, &next));
        CHECK(stops_in(registrar.NextCall(next, &next)));
      }
    }
    SUBCASE("removes the entry on leaving and makes no call afterwards") {
      registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
      const auto last = registrar.Leave();
      REQUIRE(last);
      CHECK(std::get<RemoveInstance>(*last).name == "a");
      CHECK(std::get<RemoveInstance>(*last).revision == 1200);
      CHECK_FALSE(registrar.NextCall(kStart + Seconds(60), &next));
    }
    SUBCASE("and a store that was restored from an older copy") {
      const auto next_call = [&](Time now) {
        CHECK_FALSE(registrar.NextCall(now, &next));
        CHECK(next <= now + Registrar::kReregistrationSpread);
        return registrar.NextCall(next, &next);
      };

      SUBCASE(
          "writes nothing under the old lease, which may be another "
          "instance's") {
        registrar.OnReply(Reply(LeaseStatus::kOk, 940, 5), kStart);
        call = next_call(kStart);
        REQUIRE(call);
        CHECK(std::holds_alternative<GrantLease>(*call));
      }
      SUBCASE("ignores the reply to a write that was pending at the restore") {
        registrar.OnEra(5, kStart);
        registrar.OnReply(Reply(LeaseStatus::kOk, 940, 5), kStart);
        call = next_call(kStart);
        REQUIRE(call);
        CHECK(std::holds_alternative<GrantLease>(*call));
      }
      SUBCASE("registers again instead of renewing the old lease") {
        registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
        registrar.OnEra(5, kStart + Seconds(1));
        call = next_call(kStart + Seconds(1));
        REQUIRE(call);
        CHECK(std::holds_alternative<GrantLease>(*call));

        SUBCASE("and ignores a reply of the earlier era") {
          registrar.OnReply(Reply(LeaseStatus::kOk, 78, 4), kStart);
          CHECK_FALSE(registrar.NextCall(kStart, &next));
          call = registrar.NextCall(next, &next);
          REQUIRE(call);
          CHECK(std::holds_alternative<GrantLease>(*call));
        }
        SUBCASE("and removes no entry that it hasn't written in this era") {
          CHECK_FALSE(registrar.Leave());
        }
      }
      SUBCASE("retries at a limited rate while the store refuses") {
        registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
        registrar.OnEra(5, kStart + Seconds(1));
        int calls = 0;
        for (Time now = kStart; now < kStart + Seconds(10); now += Millis(10)) {
          if (registrar.NextCall(now, &next)) {
            ++calls;
            registrar.OnReply(Reply(LeaseStatus::kFailed, 0, 6), now);
          }
        }
        CHECK(calls < 8);
      }
    }
    SUBCASE("registers again if its entry disappeared from the store") {
      registrar.OnReply(Reply(LeaseStatus::kOk, 1200), kStart);
      registrar.OnListed(/*present=*/false, {4, 1100}, kStart);
      CHECK_FALSE(registrar.NextCall(kStart + Seconds(1), &next));
      registrar.OnListed(/*present=*/false, {4, 1300}, kStart);
      call = registrar.NextCall(kStart + Seconds(1), &next);
      REQUIRE(call);
      CHECK(std::holds_alternative<GrantLease>(*call));
    }
  }
}

}  // namespace
}  // namespace limpetrudder
