#include <atomic>

#include <doctest/doctest.h>

#include "net/tests/pool_fixture.h"
#include "net/tests/raw_server.h"

namespace limpetrudder {
namespace {

constexpr char kRefusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    "Not-Executed: 1\r\n\r\n";

std::string Echo(const std::string& id) {
  return "Echo-Id: " + id + "\r\n";
}

// A pool whose requests name the id that their server echoes.
class Caller {
 public:
  PoolRequest MakeRequest(const RawServer& server, const std::string& id) {
    PoolRequest request = fixture_.MakeRequest(server.address(), id, false);
    request.echoes_all_or_none = true;
    return request;
  }

  PoolResponse Ask(const RawServer& server, const std::string& id) {
    fixture_.pool().Send(MakeRequest(server, id));
    return fixture_.Next();
  }

  PoolFixture& fixture() { return fixture_; }

 private:
  PoolFixture fixture_;
};

TEST_CASE("A response that came before its request") {
  Caller caller;

  SUBCASE("on a connection that was idle isn't the answer") {
    RawServer server([](int) { return BuildResponse("answer"); });
    CHECK(caller.Ask(server, "a").body == "answer");
    server.SendUnasked(BuildResponse("late"));
    const PoolResponse response = caller.Ask(server, "b");
    CHECK(response.outcome == AttemptOutcome::kAnswered);
    CHECK(response.body == "answer");
    CHECK(server.connections() == 2);
  }
  SUBCASE("isn't believed that the request didn't run") {
    RawServer server([](int) { return BuildResponse("answer"); });
    CHECK(caller.Ask(server, "a").body == "answer");
    server.SendUnasked(kRefusal);
    server.SendUnasked(kRefusal);
    CHECK(caller.Ask(server, "b").status == 200);
    CHECK(server.requests() == 2);
  }
}

TEST_CASE("A server that echoes ids sends a late response without one") {
  Caller caller;

  SUBCASE("before its answer, which is taken") {
    RawServer server([](int request) {
      return request == 1
                 ? BuildResponse("one", Echo("a"))
                 : BuildResponse("late") + BuildResponse("two", Echo("b"));
    });
    CHECK(caller.Ask(server, "a").body == "one");
    const PoolResponse response = caller.Ask(server, "b");
    CHECK(response.body == "two");
    CHECK_FALSE(response.maybe_foreign);
    CHECK(server.connections() == 1);
  }
  SUBCASE("that states that a request didn't run, which isn't believed") {
    RawServer server([](int request) {
      return request == 1 ? BuildResponse("one", Echo("a"))
                          : kRefusal + BuildResponse("two", Echo("b"));
    });
    CHECK(caller.Ask(server, "a").body == "one");
    CHECK(caller.Ask(server, "b").status == 200);
  }
  SUBCASE("and closes the connection: the request may have run") {
    RawServer server([](int request) {
      return request == 1 ? BuildResponse("one", Echo("a"))
                          : BuildResponse("late", "Connection: close\r\n");
    });
    CHECK(caller.Ask(server, "a").body == "one");
    CHECK(caller.Ask(server, "b").outcome == AttemptOutcome::kBroken);
  }
  SUBCASE("that ends with the connection: the request may have run") {
    RawServer server([](int request) {
      return request == 1 ? BuildResponse("one", Echo("a"))
                          : kCloseAfterResponse +
                                std::string("HTTP/1.1 200 OK\r\n\r\nlate");
    });
    CHECK(caller.Ask(server, "a").body == "one");
    CHECK(caller.Ask(server, "b").outcome == AttemptOutcome::kBroken);
  }
  SUBCASE("on another of its connections") {
    std::atomic<int> requests{0};
    RawServer server([&requests](int) {
      return ++requests == 1 ? BuildResponse("one", Echo("a"))
                             : kRefusal + BuildResponse("two", Echo("b"));
    });
    CHECK(caller.Ask(server, "a").body == "one");
    PoolFixture& fixture = caller.fixture();
    fixture.pool().Send(caller.MakeRequest(server, "b"));
    fixture.pool().Send(caller.MakeRequest(server, "b"));
    CHECK(fixture.Next().body == "two");
    CHECK(fixture.Next().body == "two");
    CHECK(server.connections() == 2);
  }
}

TEST_CASE("A server that doesn't echo ids") {
  Caller caller;

  SUBCASE("is believed, but its later answers may be foreign") {
    RawServer server([](int) { return BuildResponse("answer"); });
    CHECK_FALSE(caller.Ask(server, "a").maybe_foreign);
    const PoolResponse response = caller.Ask(server, "b");
    CHECK(response.body == "answer");
    CHECK(response.maybe_foreign);
  }
  SUBCASE("is believed after a process that did, once that one is gone") {
    std::atomic<int> requests{0};
    RawServer server([&requests](int) {
      return ++requests == 1
                 ? BuildResponse("one", Echo("a") + "Connection: close\r\n")
                 : BuildResponse("two");
    });
    CHECK(caller.Ask(server, "a").body == "one");
    CHECK(caller.Ask(server, "b").body == "two");
  }
  SUBCASE("is believed where only some answers bear an id") {
    RawServer server([](int request) {
      return request == 1 ? BuildResponse("passed on", Echo("a"))
                          : BuildResponse("own");
    });
    PoolFixture& fixture = caller.fixture();
    CHECK(fixture.Ask(server.address(), "a").body == "passed on");
    CHECK(fixture.Ask(server.address(), "b").body == "own");
  }
}

TEST_CASE("A response to another request that ends with the connection") {
  Caller caller;
  RawServer server([](int) {
    return kCloseAfterResponse +
           std::string("HTTP/1.1 200 OK\r\nEcho-Id: old\r\n\r\ntheirs");
  });
  CHECK(caller.Ask(server, "new").outcome == AttemptOutcome::kBroken);
}

TEST_CASE("A success without the server's signature ends the connection") {
  Caller caller;
  RawServer server([](int request) {
    return request == 1 ? BuildResponse("signed", "Signature: s\r\n")
                        : BuildResponse("unsigned");
  });
  for (int i = 0; i < 3; ++i) {
    PoolRequest request = caller.MakeRequest(server, "id");
    request.signature_header = "Signature";
    caller.fixture().pool().Send(std::move(request));
    CHECK(caller.fixture().Next().outcome == AttemptOutcome::kAnswered);
  }
  CHECK(server.connections() == 2);
}

}  // namespace
}  // namespace limpetrudder
