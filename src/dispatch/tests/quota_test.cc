#include <algorithm>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "accounts/account_list.h"
#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

// With six calls of it in a second, this is far above what the account gets.
constexpr int kManyCalls = 100;

AccountDirectory Accounts(double rate, double burst) {
  AccountList list;
  list.Add({.name = "small", .rate_per_second = rate, .burst = burst},
           {"key-s"});
  list.Add({.name = "free"}, {"key-f"});
  return list.Build();
}

FleetSession::Options WithLimit() {
  FleetSession::Options options = FleetSession::SmallFleet(12);
  options.accounts = Accounts(6, 6);
  options.quota = QuotaBounds{Seconds(5), 0.1, 0};
  return options;
}

const SessionAnswer& Finish(FleetSession* session, CallId call) {
  while (!session->answered(call))
    session->Run(Millis(1));
  return session->answer(call);
}

// The number of calls that ended with this code.
int Count(const FleetSession& session, ResultCode code) {
  int count = 0;
  for (const auto& [id, answer] : session.answers())
    count += answer.record.code == code ? 1 : 0;
  return count;
}

int Runs(FleetSession* session) {
  int runs = 0;
  for (std::size_t i = 0; i < 3; ++i)
    runs += session->single(i).runs;
  return runs;
}

TEST_CASE("A call of an account with a limit") {
  FleetSession session(WithLimit());
  // Lets shares of new owners fill.
  session.Run(Seconds(10));

  SUBCASE("is served once there is a token for it") {
    const SessionAnswer& answer =
        Finish(&session, session.SendWithKey("/one/x", "key-s"));
    CHECK(answer.reply.status == 200);
    CHECK(session.quota_asks() > 0);
  }
  SUBCASE("is refused, not run, beyond the limit") {
    for (int i = 0; i < kManyCalls; ++i)
      session.SendWithKey("/one/x", "key-s", static_cast<std::size_t>(i % 8));
    session.Run(Seconds(1));
    const int refused = Count(session, ResultCode::kAccountOverLimit);
    CHECK(refused > kManyCalls / 2);
    CHECK(Runs(&session) == kManyCalls - refused);
    CHECK(Runs(&session) <= (6 * 5 + 6) * 1.1);
    for (const auto& [id, answer] : session.answers()) {
      if (answer.record.code != ResultCode::kAccountOverLimit)
        continue;
      CHECK(answer.reply.status == 429);
      CHECK(answer.reply.retry_after > Duration(0));
    }

    SUBCASE("and others are served as before") {
      CHECK(Finish(&session, session.SendWithKey("/one/x", "key-f"))
                .reply.status == 200);
    }
    SUBCASE("and served again when the rate allows it") {
      session.Run(Seconds(3));
      CHECK(Finish(&session, session.SendWithKey("/one/x", "key-s"))
                .reply.status == 200);
    }
  }
  SUBCASE("costs one token, though it has many parts") {
    for (int i = 0; i < 3; ++i) {
      CHECK(Finish(&session, session.SendWithKey("/all/x", "key-s"))
                .reply.status == 200);
    }
  }
  SUBCASE("isn't sent if its caller leaves while it waits") {
    const CallId call = session.SendWithKey("/one/x", "key-s");
    session.DisconnectCaller(call);
    session.Run(Seconds(1));
    CHECK_FALSE(session.answered(call));
    CHECK(Runs(&session) == 0);
  }
  SUBCASE("is refused, not run, if no owner answers") {
    for (std::size_t i = 1; i < session.instance_count(); ++i)
      session.Freeze(i);
    const SessionAnswer& answer =
        Finish(&session, session.SendWithKey("/one/x", "key-s"));
    CHECK(answer.reply.status == 503);
    CHECK(answer.record.code == ResultCode::kPeerUnreachable);
    CHECK(answer.record.took < Millis(400));
    CHECK(Runs(&session) == 0);
  }
  SUBCASE("is ended with the instance's other calls") {
    for (std::size_t i = 1; i < session.instance_count(); ++i)
      session.Freeze(i);
    const CallId call = session.SendWithKey("/one/x", "key-s");
    session.GiveUpCalls(0);
    REQUIRE(session.answered(call));
    CHECK(session.answer(call).reply.status == 503);
  }
  SUBCASE("is served at once when the limit is lifted while it waits") {
    for (std::size_t i = 1; i < session.instance_count(); ++i)
      session.Freeze(i);
    const CallId call = session.SendWithKey("/one/x", "key-s");
    session.Announce(session.WithAccounts(2, Accounts(0, 0)));
    CHECK(Finish(&session, call).reply.status == 200);
  }
}

TEST_CASE("Calls that other instances coordinate spend their tokens") {
  // Small instances forward their queries to two large ones.
  FleetSession::Options options;
  options.instances = {"kgn-a", "kgn-a", "kgn-a", "kgn-a"};
  options.cores_of = {0.05, 0.05, 4, 4};
  options.shards.assign(20, {"kgn-a", "kgn-a"});
  options.accounts = Accounts(20, 20);
  const QuotaBounds bounds{Seconds(5), 0.1, 0};
  options.quota = bounds;
  FleetSession session(options);
  session.Run(Seconds(10));

  std::vector<std::pair<CallId, Time>> calls;
  for (int i = 0; i < 20 * kManyCalls; ++i) {
    calls.emplace_back(
        session.SendWithKey("/all/x", "key-s", static_cast<std::size_t>(i % 2)),
        session.now());
    session.Run(Millis(5));
  }
  session.Run(Seconds(2));
  std::vector<Time> served;
  int coordinated = 0;
  for (const auto& [call, began] : calls) {
    const SessionAnswer& answer = session.answer(call);
    if (answer.reply.status != 200)
      continue;
    served.push_back(began);
    coordinated += answer.record.coordinator.empty() ? 0 : 1;
  }
  CHECK(coordinated > kManyCalls);
  for (const Time from : served) {
    const auto in_window =
        std::count_if(served.begin(), served.end(), [&](Time began) {
          return began >= from && began < from + bounds.window;
        });
    CHECK(in_window <= (20 * 5 + 20) * (1 + bounds.overage));
  }
}

TEST_CASE("Without limits, no instance asks for tokens") {
  FleetSession::Options options = WithLimit();
  SUBCASE("since no account has one") {
    options.accounts = Accounts(0, 0);
  }
  SUBCASE("since the settings have no bounds") {
    options.quota.reset();
  }
  FleetSession session(options);
  for (int i = 0; i < kManyCalls; ++i) {
    CHECK(
        Finish(&session, session.SendWithKey("/one/x", "key-s")).reply.status ==
        200);
  }
  CHECK(session.quota_asks() == 0);
}

}  // namespace
}  // namespace limpetrudder
