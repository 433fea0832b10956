#include <doctest/doctest.h>

#include "net/internal/response_reader.h"
#include "net/tests/pool_fixture.h"
#include "net/tests/raw_server.h"

namespace limpetrudder {
namespace {

TEST_CASE("TargetPool manages connections") {
  PoolFixture fixture;

  SUBCASE("reuses an idle connection") {
    RawServer server([](int) { return BuildResponse("hello"); });
    for (int i = 0; i < 3; ++i) {
      const PoolResponse response = fixture.Ask(server.address());
      CHECK(response.outcome == AttemptOutcome::kAnswered);
      CHECK(response.body == "hello");
      CHECK((response.connect_time > Duration(0)) == (i == 0));
    }
    CHECK(server.connections() == 1);
  }
  SUBCASE("closes a connection after extra bytes behind a response") {
    RawServer server([](int) { return BuildResponse("one") + "surplus"; });
    CHECK(fixture.Ask(server.address()).body == "one");
    CHECK(fixture.Ask(server.address()).body == "one");
    CHECK(server.connections() == 2);
  }
  SUBCASE("closes a connection after the header Connection: close") {
    RawServer server(
        [](int) { return BuildResponse("x", "Connection: close\r\n"); });
    fixture.Ask(server.address());
    fixture.Ask(server.address());
    CHECK(server.connections() == 2);
  }
  SUBCASE("closes an idle connection before the server does") {
    RawServer server(
        [](int) { return BuildResponse("x", "Keep-Alive: timeout=1\r\n"); });
    fixture.Ask(server.address());
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(400);
    fixture.Run([&] { return std::chrono::steady_clock::now() > until; });
    fixture.Ask(server.address());
    CHECK(server.connections() == 2);
  }
  SUBCASE("sends a request once, also on a dead connection") {
    RawServer server([](int request) {
      return request == 1 ? BuildResponse("x") : std::string(kResetConnection);
    });
    CHECK(fixture.Ask(server.address()).outcome == AttemptOutcome::kAnswered);
    CHECK(fixture.Ask(server.address()).outcome == AttemptOutcome::kBroken);
    CHECK(server.requests() == 2);
  }
  SUBCASE("reports a reset right after connecting as a rejection") {
    RawServer server([](int) { return std::string(kResetConnection); });
    CHECK(fixture.Ask(server.address()).outcome ==
          AttemptOutcome::kConnectionRejected);
  }
  SUBCASE("closes a connection if the server didn't read all of a body") {
    RawServer server([](int) { return BuildResponse("early"); });
    PoolRequest request = fixture.MakeRequest(server.address(), "id", false);
    const std::string body(16 << 20, 'x');
    request.bytes = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body;
    fixture.pool().Send(std::move(request));
    CHECK(fixture.Next().body == "early");
    CHECK(fixture.Ask(server.address()).body == "early");
    CHECK(server.connections() == 2);
  }
  SUBCASE("reports that nothing was sent if it can't connect") {
    CHECK(fixture.Ask("127.0.0.1:1").outcome == AttemptOutcome::kNotSent);
    CHECK(fixture.Ask("nowhere").outcome == AttemptOutcome::kNotSent);
  }
  SUBCASE("closes the connection of a cancelled request") {
    RawServer server([](int) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      return BuildResponse("late");
    });
    PoolRequest request = fixture.MakeRequest(server.address(), "id", false);
    const std::uint64_t id = request.id;
    fixture.pool().Send(std::move(request));
    fixture.Run([&] { return server.requests() == 1; });
    fixture.pool().Cancel(id);
    CHECK(fixture.Ask(server.address()).body == "late");
    CHECK_FALSE(fixture.has_response());
    CHECK(server.connections() == 2);
  }
}

TEST_CASE("TargetPool reads responses") {
  PoolFixture fixture;

  SUBCASE("fails a truncated response") {
    RawServer server([](int) {
      return kCloseAfterResponse +
             std::string("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort");
    });
    CHECK(fixture.Ask(server.address()).outcome == AttemptOutcome::kBroken);
  }
  SUBCASE("reads a response without a length until the close") {
    RawServer server([](int) {
      return kCloseAfterResponse +
             std::string("HTTP/1.1 200 OK\r\n\r\nall of it");
    });
    const PoolResponse response = fixture.Ask(server.address());
    CHECK(response.outcome == AttemptOutcome::kAnswered);
    CHECK(response.body == "all of it");
  }
  SUBCASE("fails a response without a length after a reset") {
    RawServer server([](int) {
      return kResetAfterResponse +
             std::string("HTTP/1.1 200 OK\r\n\r\npart of it");
    });
    CHECK(fixture.Ask(server.address()).outcome != AttemptOutcome::kAnswered);
  }
  SUBCASE("fails a response that isn't HTTP") {
    RawServer server([](int) { return std::string("garbage\r\n\r\n"); });
    CHECK(fixture.Ask(server.address()).outcome == AttemptOutcome::kBroken);
  }
  SUBCASE("skips a response to another request") {
    RawServer server([](int) {
      return BuildResponse("theirs", "Echo-Id: old\r\n") +
             BuildResponse("ours", "Echo-Id: new\r\n");
    });
    const PoolResponse response = fixture.Ask(server.address(), "new");
    CHECK(response.outcome == AttemptOutcome::kAnswered);
    CHECK(response.body == "ours");
  }
  SUBCASE("joins the chunks of a response") {
    RawServer server([](int) {
      return std::string(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    });
    CHECK(fixture.Ask(server.address()).body == "abcde");
    CHECK(fixture.Ask(server.address()).body == "abcde");
    CHECK(server.connections() == 1);
  }
  SUBCASE("skips an informational response") {
    RawServer server([](int) {
      return "HTTP/1.1 100 Continue\r\n\r\n" + BuildResponse("final");
    });
    const PoolResponse response = fixture.Ask(server.address());
    CHECK(response.status == 200);
    CHECK(response.body == "final");
  }
  SUBCASE("expects no body in the response to a HEAD request") {
    RawServer server([](int) {
      return std::string("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
    });
    PoolRequest request = fixture.MakeRequest(server.address(), "id", false);
    request.head_only = true;
    fixture.pool().Send(std::move(request));
    CHECK(fixture.Next().outcome == AttemptOutcome::kAnswered);
  }
}

TEST_CASE("A server that ends in the middle of its answer's head") {
  // In an orderly way, which completes an answer without a length.
  for (const std::string framing :
       {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n",
        "Connection: close\r\n", ""}) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nEtag: abc\r\n" + framing + "Age: 1\r\n\r\n";
    for (std::size_t size = 1; size < head.size(); ++size) {
      CAPTURE(framing);
      CAPTURE(size);
      detail::ResponseReader reader;
      reader.Read(head.data(), size);
      reader.ReadEnd();
      CHECK(reader.state() == detail::ResponseReader::State::kMalformed);
    }
  }
  PoolFixture pool;
  const RawServer server([](int) {
    return std::string(1, kCloseAfterResponse) +
           "HTTP/1.1 200 OK\r\nEtag: abc\r\nContent-Le";
  });
  CHECK(pool.Ask(server.address()).outcome == AttemptOutcome::kBroken);
}

}  // namespace
}  // namespace limpetrudder
