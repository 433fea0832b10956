#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>

#include <doctest/doctest.h>
#include <asio.hpp>

#include "net/http_client.h"
#include "net/internal/stream_end.h"
#include "net/tests/pool_fixture.h"
#include "net/tests/raw_server.h"

namespace limpetrudder {
namespace {

// More than the socket buffers take.
constexpr std::size_t kLongBodyBytes = 16 << 20;

constexpr char kHead[] = "HTTP/1.1 200 OK\r\n";

// A server that answers a long request, of which it has read the head, and ends
// the connection. Both become visible to the client at once, while its write of
// the body is pending.
class LongRequest {
 public:
  // `response`: as for RawServer.
  explicit LongRequest(std::string response)
      : server_([this, response = std::move(response)](int) {
          may_answer_.get_future().wait();
          return response;
        }) {}

  PoolResponse Send() {
    const std::string body(kLongBodyBytes, 'x');
    PoolRequest request = fixture_.MakeRequest(server_.address(), "id", false);
    request.bytes = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body;
    fixture_.pool().Send(std::move(request));
    fixture_.Run([this] { return server_.requests() == 1; });
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(20);
    fixture_.Run([&] { return std::chrono::steady_clock::now() > until; });
    may_answer_.set_value();
    while (server_.ended_connections() == 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return fixture_.Next();
  }

 private:
  std::promise<void> may_answer_;
  PoolFixture fixture_;
  RawServer server_;
};

// Guards against a truncated answer that reaches the caller as a whole one
// (incident 013): the pending write took the error of the reset connection, and
// the read saw an orderly end.
TEST_CASE("A connection is reset while a long request is being written") {
  SUBCASE("in the middle of an answer without a length") {
    const PoolResponse response =
        LongRequest(kResetAfterResponse + std::string(kHead) + "\r\npart of it")
            .Send();
    CHECK(response.outcome == AttemptOutcome::kBroken);
    CHECK(response.body.empty());
  }
  SUBCASE("in the middle of an answer with a length") {
    CHECK(LongRequest(kResetAfterResponse + std::string(kHead) +
                      "Content-Length: 50\r\n\r\npart of it")
              .Send()
              .outcome == AttemptOutcome::kBroken);
  }
  SUBCASE("in the middle of a head") {
    CHECK(
        LongRequest(kResetAfterResponse + std::string(kHead)).Send().outcome ==
        AttemptOutcome::kBroken);
  }
  SUBCASE("behind an answer with a length") {
    const PoolResponse response =
        LongRequest(kResetAfterResponse + BuildResponse("early")).Send();
    CHECK(response.outcome == AttemptOutcome::kAnswered);
    CHECK(response.body == "early");
  }
  SUBCASE("behind the orderly end of an answer without a length") {
    const PoolResponse response =
        LongRequest(kShutDownAndResetAfterResponse + std::string(kHead) +
                    "\r\nall of it")
            .Send();
    CHECK(response.outcome == AttemptOutcome::kAnswered);
    CHECK(response.body == "all of it");
  }
  SUBCASE("before an answer, which rejects the new connection") {
    CHECK(LongRequest(kResetConnection).Send().outcome ==
          AttemptOutcome::kConnectionRejected);
  }
}

TEST_CASE("A server ends its answer and reads no more of a long request") {
  const PoolResponse response =
      LongRequest(kShutDownAfterResponse + std::string(kHead) + "\r\nall of it")
          .Send();
  CHECK(response.outcome == AttemptOutcome::kAnswered);
  CHECK(response.body == "all of it");
}

TEST_CASE("ClassifyStreamEnd tells an orderly end from a failure") {
  using detail::ClassifyStreamEnd;
  using detail::StreamEnd;
  const asio::error_code end_of_file = asio::error::eof;
  const asio::error_code none;

  SUBCASE("by the read, if no write has failed") {
    CHECK(ClassifyStreamEnd(end_of_file, none) == StreamEnd::kOrderly);
    CHECK(ClassifyStreamEnd(asio::error::connection_reset, none) ==
          StreamEnd::kReset);
    CHECK(ClassifyStreamEnd(asio::error::timed_out, none) ==
          StreamEnd::kFailed);
  }
  SUBCASE("by the write, if it took the failure of the connection") {
    CHECK(ClassifyStreamEnd(end_of_file, asio::error::connection_reset) ==
          StreamEnd::kReset);
    for (const asio::error_code error :
         {asio::error::timed_out, asio::error::host_unreachable,
          asio::error::network_unreachable})
      CHECK(ClassifyStreamEnd(end_of_file, error) == StreamEnd::kFailed);
  }
  SUBCASE("by the read, if the write failed behind the peer's close") {
    CHECK(ClassifyStreamEnd(end_of_file, asio::error::broken_pipe) ==
          StreamEnd::kOrderly);
    CHECK(ClassifyStreamEnd(asio::error::connection_reset,
                            asio::error::broken_pipe) == StreamEnd::kReset);
  }
}

TEST_CASE("HttpClient fails an answer that is reset during a long request") {
  RawServer server([](int) {
    return kResetAfterResponse + std::string(kHead) + "\r\npart of it";
  });
  HttpClient http(16);
  http.Start();
  std::promise<HttpResponse> answer;
  HttpRequest request;
  request.tag = 1;
  request.method = "POST";
  request.address = server.address();
  request.path = "/";
  request.body = std::string(kLongBodyBytes, 'x');
  request.timeout = Seconds(5);
  REQUIRE(http.Send(std::move(request), [&answer](HttpResponse response) {
    answer.set_value(std::move(response));
  }));
  CHECK(answer.get_future().get().status == TransferStatus::kFailed);
  http.Stop();
}

}  // namespace
}  // namespace limpetrudder
