#include <deque>
#include <optional>

#include <doctest/doctest.h>

#include "net/target_pool.h"
#include "net/tests/raw_server.h"

namespace limpetrudder {
namespace {

// A pool and the answers that it gave, on the test's own thread.
class PoolFixture {
 public:
  PoolFixture()
      : pool_(&context_, {"Echo-Id"}, [this](PoolResponse response) {
          responses_.push_back(std::move(response));
        }) {}

  PoolResponse Ask(const std::string& address,
                   const std::string& echo = "id",
                   bool fresh = false) {
    pool_.Send(MakeRequest(address, echo, fresh));
    return Next();
  }

  PoolRequest MakeRequest(const std::string& address,
                          const std::string& echo,
                          bool fresh) {
    PoolRequest request;
    request.id = next_++;
    request.server = "server";
    request.address = address;
    request.bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    request.echo = echo;
    request.fresh_connection = fresh;
    return request;
  }

  PoolResponse Next() {
    Run([this] { return !responses_.empty(); });
    REQUIRE_FALSE(responses_.empty());
    PoolResponse response = std::move(responses_.front());
    responses_.pop_front();
    return response;
  }

  template <typename Condition>
  void Run(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_for(std::chrono::milliseconds(5));
    }
  }

  TargetPool& pool() { return pool_; }
  bool has_response() const { return !responses_.empty(); }

 private:
  asio::io_context context_{1};
  std::deque<PoolResponse> responses_;
  TargetPool pool_;
  std::uint64_t next_ = 1;
};

std::string Answer(const std::string& body, const std::string& extra = "") {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + extra + "\r\n" + body;
}

TEST_CASE("Connections to servers") {
  PoolFixture fixture;

  SUBCASE("are kept and used again") {
    RawServer server([](int) { return Answer("hello"); });
    for (int i = 0; i < 3; ++i) {
      const PoolResponse response = fixture.Ask(server.address());
      CHECK(response.outcome == AttemptOutcome::kAnswered);
      CHECK(response.body == "hello");
      CHECK((response.connect_time > Duration(0)) == (i == 0));
    }
    CHECK(server.connections() == 1);
  }
  SUBCASE("aren't used again after surplus bytes behind an answer") {
    RawServer server([](int) { return Answer("one") + "surplus"; });
    CHECK(fixture.Ask(server.address()).body == "one");
    CHECK(fixture.Ask(server.address()).body == "one");
    CHECK(server.connections() == 2);
  }
  SUBCASE("aren't used again when the server says close") {
    RawServer server([](int) { return Answer("x", "Connection: close\r\n"); });
    fixture.Ask(server.address());
    fixture.Ask(server.address());
    CHECK(server.connections() == 2);
  }
  SUBCASE("aren't used again near the end of their idle time") {
    RawServer server(
        [](int) { return Answer("x", "Keep-Alive: timeout=1\r\n"); });
    fixture.Ask(server.address());
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(400);
    fixture.Run([&] { return std::chrono::steady_clock::now() > until; });
    fixture.Ask(server.address());
    CHECK(server.connections() == 2);
  }
  SUBCASE("carry each request once, also if they turn out dead") {
    RawServer server([](int request) {
      return request == 1 ? Answer("x") : std::string(kResetConnection);
    });
    CHECK(fixture.Ask(server.address()).outcome == AttemptOutcome::kAnswered);
    CHECK(fixture.Ask(server.address()).outcome == AttemptOutcome::kBroken);
    CHECK(server.requests() == 2);
  }
  SUBCASE("that are reset right after they opened tell of a full server") {
    RawServer server([](int) { return std::string(kResetConnection); });
    CHECK(fixture.Ask(server.address()).outcome ==
          AttemptOutcome::kConnectionRejected);
  }
  SUBCASE("aren't used again while the server hasn't read all of a body") {
    RawServer server([](int) { return Answer("early"); });
    PoolRequest request = fixture.MakeRequest(server.address(), "id", false);
    const std::string body(16 << 20, 'x');
    request.bytes = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body;
    fixture.pool().Send(std::move(request));
    CHECK(fixture.Next().body == "early");
    CHECK(fixture.Ask(server.address()).body == "early");
    CHECK(server.connections() == 2);
  }
  SUBCASE("that can't be opened carry nothing") {
    CHECK(fixture.Ask("127.0.0.1:1").outcome == AttemptOutcome::kNotSent);
    CHECK(fixture.Ask("nowhere").outcome == AttemptOutcome::kNotSent);
  }
  SUBCASE("are closed by a cancellation, and its answer is dropped") {
    RawServer server([](int) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      return Answer("late");
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

TEST_CASE("Answers of servers") {
  PoolFixture fixture;

  SUBCASE("that are cut short aren't complete") {
    RawServer server([](int) {
      return kThenClose +
             std::string("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort");
    });
    CHECK(fixture.Ask(server.address()).outcome == AttemptOutcome::kBroken);
  }
  SUBCASE("without a length end with the connection") {
    RawServer server([](int) {
      return kThenClose + std::string("HTTP/1.1 200 OK\r\n\r\nall of it");
    });
    const PoolResponse response = fixture.Ask(server.address());
    CHECK(response.outcome == AttemptOutcome::kAnswered);
    CHECK(response.body == "all of it");
  }
  SUBCASE("without a length aren't complete if the connection is reset") {
    RawServer server([](int) {
      return kThenReset + std::string("HTTP/1.1 200 OK\r\n\r\npart of it");
    });
    CHECK(fixture.Ask(server.address()).outcome != AttemptOutcome::kAnswered);
  }
  SUBCASE("that are no HTTP are broken") {
    RawServer server([](int) { return std::string("garbage\r\n\r\n"); });
    CHECK(fixture.Ask(server.address()).outcome == AttemptOutcome::kBroken);
  }
  SUBCASE("to another request are skipped") {
    RawServer server([](int) {
      return Answer("theirs", "Echo-Id: old\r\n") +
             Answer("ours", "Echo-Id: new\r\n");
    });
    const PoolResponse response = fixture.Ask(server.address(), "new");
    CHECK(response.outcome == AttemptOutcome::kAnswered);
    CHECK(response.body == "ours");
  }
  SUBCASE("in chunks are put together") {
    RawServer server([](int) {
      return std::string(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    });
    CHECK(fixture.Ask(server.address()).body == "abcde");
    CHECK(fixture.Ask(server.address()).body == "abcde");
    CHECK(server.connections() == 1);
  }
  SUBCASE("behind an informational one count") {
    RawServer server(
        [](int) { return "HTTP/1.1 100 Continue\r\n\r\n" + Answer("final"); });
    const PoolResponse response = fixture.Ask(server.address());
    CHECK(response.status == 200);
    CHECK(response.body == "final");
  }
  SUBCASE("to a HEAD request have no body") {
    RawServer server([](int) {
      return std::string("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
    });
    PoolRequest request = fixture.MakeRequest(server.address(), "id", false);
    request.head_only = true;
    fixture.pool().Send(std::move(request));
    CHECK(fixture.Next().outcome == AttemptOutcome::kAnswered);
  }
}

}  // namespace
}  // namespace limpetrudder
