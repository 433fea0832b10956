#include <doctest/doctest.h>

#include "dispatch/internal/server_load.h"

namespace limpetrudder::detail {
namespace {

ServerEntry Entry() {
  ServerEntry entry;
  entry.id = "a";
  entry.service = "shop";
  entry.slots = 2;
  entry.started_ms = 1;
  return entry;
}

Time At(std::int64_t millis) {
  return Time(Seconds(100)) + Millis(millis);
}

TEST_CASE("An instance's view of one server") {
  ServerLoad server(Entry());
  REQUIRE(server.usable());

  SUBCASE("a single pause doesn't count as slowness") {
    for (std::int64_t i = 0; i < 5; ++i) {
      server.OnSent(At(i * 100));
      server.OnRequestEnded();
      server.OnAnswer(1, At(i * 100 + 20));
    }
    // Three requests wait for the same pause to end and finish together.
    for (std::int64_t i = 0; i < 3; ++i)
      server.OnAnswer(12, At(700 + i));
    CHECK(server.Slowness(At(701)) < 1.5);
  }
  SUBCASE("consistently slow answers raise the slowness") {
    for (std::int64_t i = 0; i < 3; ++i)
      server.OnAnswer(6, At(i * 100));
    CHECK(server.Slowness(At(200)) > 5);

    SUBCASE("and slowness decays within seconds without answers") {
      CHECK(server.Slowness(At(8000)) < 1.3);
    }
    SUBCASE("and slowness ends after two answers of usual latency") {
      server.OnAnswer(1, At(300));
      server.OnAnswer(1, At(400));
      CHECK(server.Slowness(At(400)) < 1.5);
    }
  }
  SUBCASE("silence is measured from the last answer or the first request") {
    CHECK(server.SilentFor(At(0)) == Duration(0));
    server.OnSent(At(0));
    server.OnSent(At(50));
    CHECK(server.SilentFor(At(80)) == Millis(80));
    server.OnRequestEnded();
    server.OnAnswer(1, At(90));
    CHECK(server.SilentFor(At(100)) == Millis(10));
  }
  SUBCASE("a server that answers nothing is marked down") {
    server.OnSent(At(0));
    CHECK_FALSE(server.OnUnanswered(20, Millis(400), At(400)));
    CHECK(server.OnUnanswered(20, Millis(400), At(800)));
    CHECK_FALSE(server.usable());

    SUBCASE("and probed at increasing intervals") {
      CHECK_FALSE(server.IsProbeDue(At(900)));
      CHECK(server.IsProbeDue(At(1300)));
      server.OnProbeSent(At(1300));
      CHECK_FALSE(server.IsProbeDue(At(2200)));
    }
    SUBCASE("and up again after a successful probe") {
      CHECK(server.OnProbe(true, At(1400)));
      CHECK(server.usable());

      SUBCASE("but down again after one more unanswered request") {
        CHECK(server.OnUnanswered(20, Millis(400), At(2500)));
      }
    }
  }
  SUBCASE("an unanswered request among answered ones counts as a failure") {
    server.OnAnswer(1, At(380));
    CHECK_FALSE(server.OnUnanswered(20, Millis(400), At(400)));
    CHECK(server.FailureRatio(At(400)) > 0.2);
  }
  SUBCASE("rejections raise the reject ratio, which decays") {
    for (std::int64_t i = 0; i < 10; ++i)
      server.OnRejected(At(i * 10));
    CHECK(server.RejectRatio(At(100)) > 0.9);
    CHECK(server.RejectRatio(At(10000)) < 0.1);
  }
  SUBCASE("a reported queue raises the expected latency for a moment") {
    server.OnLoad({2, 6, 2, 1}, At(0));
    CHECK(server.ExpectedLatency(Millis(20), Millis(1), At(1)) > Millis(60));
    CHECK(server.ExpectedLatency(Millis(20), Millis(1), At(2000)) < Millis(25));
  }
  SUBCASE("a rejected connection") {
    server.OnSent(At(0));
    server.OnRequestEnded();
    server.OnConnectionRejected(At(0));

    SUBCASE("a rejected connection blocks new ones for a moment") {
      CHECK(server.ConnectionLimit(4, At(1)) == 0);
      CHECK(server.ConnectionLimit(4, At(60)) == 1);
    }
    SUBCASE("a rejected connection doesn't block open ones") {
      server.OnAnswer(1, At(2));
      CHECK(server.ConnectionLimit(4, At(3)) == 1);
    }
    SUBCASE("the connection limit grows by one each second") {
      CHECK(server.ConnectionLimit(4, At(2500)) == 3);
      CHECK(server.ConnectionLimit(4, At(60000)) == 4);
    }
    SUBCASE("consecutive rejections block new connections for longer") {
      for (std::int64_t i = 0; i < 5; ++i)
        server.OnConnectionRejected(At(100));
      CHECK(server.ConnectionLimit(4, At(800)) == 0);
    }
  }
  SUBCASE("a connection that can't be opened") {
    server.OnSent(At(0));
    server.OnAnswer(1, At(10));

    SUBCASE("limits new ones while a request runs on an open one") {
      CHECK_FALSE(server.OnConnectionFailed(At(20)));
      CHECK_FALSE(server.down());
      CHECK(server.ConnectionLimit(4, At(30)) <= 1);
    }
    SUBCASE("means that the server is down if no request runs") {
      server.OnRequestEnded();
      CHECK(server.OnConnectionFailed(At(20)));
    }
    SUBCASE("means that it is down if an open one broke off") {
      server.OnConnectionBroken(At(15));
      CHECK(server.OnConnectionFailed(At(20)));
    }
    SUBCASE("means that it is down if nothing was heard lately") {
      CHECK(server.OnConnectionFailed(At(900)));
    }
  }
  SUBCASE("a new process under the same id resets the slowness") {
    for (std::int64_t i = 0; i < 3; ++i)
      server.OnAnswer(6, At(i * 100));
    ServerEntry restarted = Entry();
    restarted.started_ms = 2;
    server.Update(restarted);
    CHECK(server.Slowness(At(300)) == doctest::Approx(1));
  }
  SUBCASE("a draining server isn't usable") {
    ServerEntry draining = Entry();
    draining.draining = true;
    server.Update(draining);
    CHECK_FALSE(server.usable());
  }
}

}  // namespace
}  // namespace limpetrudder::detail
