#include <doctest/doctest.h>

#include "routing/latency_window.h"
#include "routing/server_state.h"

namespace limpetrudder {
namespace {

constexpr Duration kTypicalLatency = Millis(20);

ServerState MakeServer(bool leaving = false) {
  return ServerState({"s1", "10.0.0.1:9000", "kingston", 2, 25, leaving}, 3, 7);
}

TEST_CASE("A latency window follows recent samples") {
  LatencyWindow window(256);
  CHECK(window.Quantile(0.5, Millis(7)) == Millis(7));
  for (int i = 1; i <= 200; ++i)
    window.Record(Millis(i));
  CHECK(ToMillis(window.Quantile(0.5, Millis(0))) ==
        doctest::Approx(100).epsilon(0.1));
  CHECK(ToMillis(window.Quantile(0.95, Millis(0))) ==
        doctest::Approx(190).epsilon(0.1));
  for (int i = 0; i < 3000; ++i)
    window.Record(Millis(500));
  CHECK(ToMillis(window.Quantile(0.2, Millis(0))) ==
        doctest::Approx(500).epsilon(0.1));
}

TEST_CASE("A server that answers requests") {
  Random random(1);
  ServerState server = MakeServer();
  Time now = Time() + Seconds(100);

  SUBCASE("has capacity up to its limit of requests in flight") {
    CHECK(server.HasCapacity(now));
    server.OnSent();
    server.OnSent();
    CHECK_FALSE(server.HasCapacity(now));
    server.OnSettled();
    CHECK(server.HasCapacity(now));
  }
  SUBCASE("is expected to be slow after slow answers") {
    for (int i = 0; i < 50; ++i)
      server.OnAnswer(Millis(160), now);
    CHECK(server.ExpectedLatency(kTypicalLatency) > Millis(150));

    SUBCASE("until a fast answer arrives after its latency has become stale") {
      CHECK_FALSE(server.IsLatencyStale(now + Seconds(1)));
      CHECK(server.IsLatencyStale(now + Seconds(20)));
      server.OnAnswer(Millis(20), now + Seconds(20));
      CHECK(server.ExpectedLatency(kTypicalLatency) < Millis(60));
    }
    SUBCASE("and still so after a request was cancelled early") {
      server.OnUnfinished(Millis(20), now);
      CHECK(server.ExpectedLatency(kTypicalLatency) > Millis(150));
      server.OnUnfinished(Millis(400), now);
      CHECK(server.ExpectedLatency(kTypicalLatency) > Millis(160));
    }
  }
  SUBCASE("is paused at half its limit after it sheds load") {
    server.OnShed(Millis(100), now, &random);
    CHECK_FALSE(server.MayTakeWork(now));
    CHECK(server.MayTakeWork(now + Millis(151)));
    CHECK(server.limit() == 1);
  }
}

TEST_CASE("A connection to a server that goes silent") {
  Random random(1);
  ServerState server = MakeServer();
  const Time now = Time() + Seconds(100);

  SUBCASE("leaves the server in use if the connection was reused") {
    server.OnConnectionSilent(/*fresh=*/false, now, now, &random);
    CHECK(server.MayTakeWork(now));
    CHECK(server.NeedsFreshConnection());
    server.OnAnswer(Millis(10), now);
    CHECK_FALSE(server.NeedsFreshConnection());
  }
  SUBCASE("makes the server unreachable if the connection was new") {
    server.OnConnectionSilent(false, now, now, &random);
    server.OnConnectionSilent(true, now, now, &random);
    CHECK(server.availability() == ServerAvailability::kUnreachable);
  }
  SUBCASE("leaves the server in use if it answered over another connection") {
    server.OnAnswer(Millis(10), now + Millis(50));
    server.OnConnectionSilent(true, now, now + Millis(100), &random);
    CHECK(server.MayTakeWork(now + Millis(100)));
  }
}

TEST_CASE("A server may hold newer snapshots than its aged report lists") {
  ServerState server = MakeServer();
  const Time now = Time() + Seconds(100);
  server.OnReport({false, {{1, 6}, {1, 7}}}, now);
  CHECK_FALSE(server.MayHold({1, 8}));
  CHECK_FALSE(server.MayHaveAdvancedTo({1, 8}, now + Millis(1)));
  CHECK(server.MayHaveAdvancedTo({1, 8}, now + Seconds(1)));
  CHECK(server.MayHaveAdvancedTo({2, 1}, now + Seconds(1)));
  CHECK_FALSE(server.MayHaveAdvancedTo({1, 5}, now + Seconds(1)));
}

TEST_CASE("An unreachable server receives probes but no queries") {
  Random random(1);
  ServerState server = MakeServer();
  Time now = Time() + Seconds(100);
  server.OnUnreachable(now, &random);
  CHECK_FALSE(server.MayTakeWork(now + Seconds(60)));
  CHECK(server.IsProbeDue(now + Seconds(10)));

  SUBCASE("and serves again with a limit of one after it answers a probe") {
    server.OnReport({false, {{1, 7}}}, now + Seconds(10));
    CHECK(server.MayTakeWork(now + Seconds(10)));
    CHECK(server.limit() == 1);
    CHECK(server.MayHold({1, 7}));
    CHECK(server.MayHold({1, 0}));
    CHECK_FALSE(server.MayHold({1, 8}));
    CHECK_FALSE(server.MayHold({2, 0}));
  }
  SUBCASE("and is probed at growing intervals while it stays unreachable") {
    int probes = 0;
    for (int i = 0; i < 600; ++i) {
      now += Millis(100);
      if (!server.IsProbeDue(now))
        continue;
      ++probes;
      server.OnProbeSent(now);
      server.OnProbeFailed(now, &random);
    }
    CHECK(probes < 30);
    CHECK(probes > 8);
  }
}

TEST_SUITE("promise-6") {
  TEST_CASE("A leaving server receives no new work") {
    Random random(1);
    const Time now = Time() + Seconds(100);

    SUBCASE("from the moment that it reports draining") {
      ServerState server = MakeServer();
      server.OnReport({true, {}}, now);
      CHECK_FALSE(server.MayTakeWork(now));
      CHECK_FALSE(server.MayTakeWork(now + Seconds(600)));
    }
    SUBCASE("from the moment that the configuration marks it as leaving") {
      ServerState server = MakeServer();
      Server info = server.info();
      info.leaving = true;
      server.Reconfigure(info, 3, 7);
      CHECK_FALSE(server.MayTakeWork(now));
      server.OnReport({false, {}}, now);
      CHECK_FALSE(server.MayTakeWork(now));
    }
    SUBCASE("while the platform lists it as leaving, whatever it reports") {
      ServerState server = MakeServer();
      server.SetListedLeaving(true);
      server.OnReport({false, {}}, now);
      CHECK_FALSE(server.MayTakeWork(now));
      server.SetListedLeaving(false);
      CHECK(server.MayTakeWork(now));
    }
    SUBCASE("nor after failures whose pause has ended") {
      ServerState server = MakeServer(/*leaving=*/true);
      server.OnFailure(now, &random);
      server.OnUnreachable(now, &random);
      server.OnShed(Millis(1), now, &random);
      CHECK_FALSE(server.MayTakeWork(now + Seconds(60)));
    }
    SUBCASE("until it reports that it no longer drains") {
      ServerState server = MakeServer();
      server.OnReport({true, {}}, now);
      server.OnReport({false, {}}, now + Seconds(30));
      CHECK(server.MayTakeWork(now + Seconds(30)));
      CHECK(server.limit() == 1);
    }
  }
}

}  // namespace
}  // namespace limpetrudder
