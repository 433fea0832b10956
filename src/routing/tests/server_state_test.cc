#include <doctest/doctest.h>

#include "routing/latency_window.h"
#include "routing/server_state.h"

namespace limpetrudder {
namespace {

constexpr Duration kTypical = Millis(20);

ServerState MakeServer(bool leaving = false) {
  return ServerState({"s1", "10.0.0.1:9000", "kingston", 2, 25, leaving}, 3, 7);
}

TEST_CASE("A latency window follows the present") {
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

TEST_CASE("A server that answers") {
  Random random(1);
  ServerState server = MakeServer();
  Time now = Time() + Seconds(100);

  SUBCASE("has room up to its limit") {
    CHECK(server.HasRoom(now));
    server.OnSent();
    server.OnSent();
    CHECK_FALSE(server.HasRoom(now));
    server.OnSettled();
    CHECK(server.HasRoom(now));
  }
  SUBCASE("slowly is expected to be slow") {
    for (int i = 0; i < 50; ++i)
      server.OnAnswer(Millis(160), now);
    CHECK(server.ExpectedLatency(kTypical) > Millis(150));

    SUBCASE("until a sample, long after, says otherwise") {
      CHECK_FALSE(server.IsLatencyStale(now + Seconds(1)));
      CHECK(server.IsLatencyStale(now + Seconds(20)));
      server.OnAnswer(Millis(20), now + Seconds(20));
      CHECK(server.ExpectedLatency(kTypical) < Millis(60));
    }
    SUBCASE("whatever was cancelled early") {
      server.OnUnfinished(Millis(20), now);
      CHECK(server.ExpectedLatency(kTypical) > Millis(150));
      server.OnUnfinished(Millis(400), now);
      CHECK(server.ExpectedLatency(kTypical) > Millis(160));
    }
  }
  SUBCASE("with a refusal to shed load gets a pause and half the limit") {
    server.OnShed(Millis(100), now, &random);
    CHECK_FALSE(server.MayTakeWork(now));
    CHECK(server.MayTakeWork(now + Millis(151)));
    CHECK(server.limit() == 1);
  }
}

TEST_CASE("A connection that goes silent") {
  Random random(1);
  ServerState server = MakeServer();
  const Time now = Time() + Seconds(100);

  SUBCASE("is not the server's fault while it was an old one") {
    server.OnSilence(/*fresh=*/false, now, now, &random);
    CHECK(server.MayTakeWork(now));
    CHECK(server.NeedsFreshConnection());
    server.OnAnswer(Millis(10), now);
    CHECK_FALSE(server.NeedsFreshConnection());
  }
  SUBCASE("is, once a fresh one is silent too") {
    server.OnSilence(false, now, now, &random);
    server.OnSilence(true, now, now, &random);
    CHECK(server.standing() == ServerStanding::kUnreachable);
  }
  SUBCASE("isn't, if it answered over another connection meanwhile") {
    server.OnAnswer(Millis(10), now + Millis(50));
    server.OnSilence(true, now, now + Millis(100), &random);
    CHECK(server.MayTakeWork(now + Millis(100)));
  }
}

TEST_CASE("A report that has aged says nothing about newer snapshots") {
  ServerState server = MakeServer();
  const Time now = Time() + Seconds(100);
  server.OnReport({false, {{1, 6}, {1, 7}}}, now);
  CHECK_FALSE(server.MayHold({1, 8}));
  CHECK_FALSE(server.MayHaveAdvancedTo({1, 8}, now + Millis(1)));
  CHECK(server.MayHaveAdvancedTo({1, 8}, now + Seconds(1)));
  CHECK(server.MayHaveAdvancedTo({2, 1}, now + Seconds(1)));
  CHECK_FALSE(server.MayHaveAdvancedTo({1, 5}, now + Seconds(1)));
}

TEST_CASE("A server that can't be reached is probed, not tried with queries") {
  Random random(1);
  ServerState server = MakeServer();
  Time now = Time() + Seconds(100);
  server.OnUnreachable(now, &random);
  CHECK_FALSE(server.MayTakeWork(now + Seconds(60)));
  CHECK(server.IsProbeDue(now + Seconds(10)));

  SUBCASE("and ramps up from one when it answers the probe") {
    server.OnReport({false, {{1, 7}}}, now + Seconds(10));
    CHECK(server.MayTakeWork(now + Seconds(10)));
    CHECK(server.limit() == 1);
    CHECK(server.MayHold({1, 7}));
    CHECK(server.MayHold({1, 0}));
    CHECK_FALSE(server.MayHold({1, 8}));
    CHECK_FALSE(server.MayHold({2, 0}));
  }
  SUBCASE("and is probed less and less often while it is gone") {
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
  TEST_CASE("A leaving server gets no new work") {
    Random random(1);
    const Time now = Time() + Seconds(100);

    SUBCASE("from the moment its own drain answer is seen") {
      ServerState server = MakeServer();
      server.OnReport({true, {}}, now);
      CHECK_FALSE(server.MayTakeWork(now));
      CHECK_FALSE(server.MayTakeWork(now + Seconds(600)));
    }
    SUBCASE("from the moment the configuration says so") {
      ServerState server = MakeServer();
      Server info = server.info();
      info.leaving = true;
      server.Reconfigure(info, 3, 7);
      CHECK_FALSE(server.MayTakeWork(now));
      server.OnReport({false, {}}, now);
      CHECK_FALSE(server.MayTakeWork(now));
    }
    SUBCASE("from the moment the platform lists it, whatever it reports") {
      ServerState server = MakeServer();
      server.SetListedLeaving(true);
      server.OnReport({false, {}}, now);
      CHECK_FALSE(server.MayTakeWork(now));
      server.SetListedLeaving(false);
      CHECK(server.MayTakeWork(now));
    }
    SUBCASE("nor after failures that would otherwise end in a retry") {
      ServerState server = MakeServer(/*leaving=*/true);
      server.OnFailure(now, &random);
      server.OnUnreachable(now, &random);
      server.OnShed(Millis(1), now, &random);
      CHECK_FALSE(server.MayTakeWork(now + Seconds(60)));
    }
    SUBCASE("until it reports that it serves again") {
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
