#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <doctest/doctest.h>
#include <asio.hpp>

#include "net/http_client.h"
#include "net/internal/response_reader.h"
#include "net/response_limits.h"
#include "net/target_pool.h"
#include "net/tests/raw_server.h"

namespace limpetrudder {
namespace {

constexpr std::size_t kMiB = 1 << 20;

// A server whose responses begin with `head` and repeat `piece` until the
// caller closes the connection, or until kMaxBytes, far above any limit, are
// sent.
class EndlessServer {
 public:
  static constexpr std::size_t kMaxBytes = 256 * kMiB;

  EndlessServer(std::string head, std::string piece)
      : head_(std::move(head)),
        acceptor_(
            context_,
            asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    while (piece_.size() < 64 << 10)
      piece_ += piece;
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~EndlessServer() {
    context_.stop();
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  std::size_t sent() const { return sent_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket open) : socket(std::move(open)) {}
    asio::ip::tcp::socket socket;
    asio::streambuf request;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept() {
    acceptor_.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (error)
            return;
          auto connection = std::make_shared<Connection>(std::move(socket));
          asio::async_read_until(
              connection->socket, connection->request, "\r\n\r\n",
              [this, connection](const asio::error_code& failed, std::size_t) {
                if (!failed)
                  Send(connection, head_);
              });
          Accept();
        });
  }

  void Send(const ConnectionPtr& connection, const std::string& bytes) {
    asio::async_write(
        connection->socket, asio::buffer(bytes),
        [this, connection](const asio::error_code& error, std::size_t size) {
          sent_ += size;
          if (!error && sent_ < kMaxBytes)
            Send(connection, piece_);
        });
  }

  const std::string head_;
  std::string piece_;
  asio::io_context context_{1};
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<std::size_t> sent_{0};
  std::thread thread_;
};

// Makes requests through a pool that runs on the test's thread.
class Caller {
 public:
  explicit Caller(std::size_t max_buffered_bytes)
      : pool_(&context_,
              {"Echo-Id", max_buffered_bytes},
              [this](PoolResponse response) {
                responses_.push_back(std::move(response));
              }) {}

  void Send(const std::string& address, std::size_t max_body_bytes) {
    PoolRequest request;
    request.id = next_++;
    request.server = address;
    request.address = address;
    request.bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    request.echo = "mine";
    request.max_body_bytes = max_body_bytes;
    pool_.Send(std::move(request));
  }

  // Runs until `count` responses have come, or for five seconds.
  const std::deque<PoolResponse>& Wait(std::size_t count) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (responses_.size() < count &&
           std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_for(std::chrono::milliseconds(5));
      max_buffered_ = std::max(max_buffered_, pool_.buffered_bytes());
    }
    return responses_;
  }

  std::size_t max_buffered() const { return max_buffered_; }
  std::size_t buffered() const { return pool_.buffered_bytes(); }

 private:
  asio::io_context context_{1};
  std::deque<PoolResponse> responses_;
  TargetPool pool_;
  std::uint64_t next_ = 1;
  std::size_t max_buffered_ = 0;
};

TEST_CASE("TargetPool stops reading an endless response") {
  Caller caller(64 * kMiB);
  const auto ask = [&caller](const EndlessServer& server) {
    caller.Send(server.address(), kMiB);
    const auto& responses = caller.Wait(1);
    REQUIRE(responses.size() == 1);
    return responses.front().outcome;
  };

  SUBCASE("with an endless body without a length") {
    const EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 16 * kMiB);
  }
  SUBCASE("with an endless chunked body") {
    const EndlessServer server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10\r\n0123456789abcdef\r\n");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 16 * kMiB);
  }
  SUBCASE("with a Content-Length above the body limit") {
    const EndlessServer server(
        "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
        "0123456789abcdef");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(caller.max_buffered() <= 64 << 10);
  }
  SUBCASE("with endless header fields") {
    const EndlessServer server("HTTP/1.1 200 OK\r\n", "A: b\r\n");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("with an endless header value") {
    const EndlessServer server("HTTP/1.1 200 OK\r\nA: ", "0123456789abcdef");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("with endless informational responses") {
    const EndlessServer server("HTTP/1.1 100 Continue\r\n\r\n",
                               "HTTP/1.1 102 Processing\r\n\r\n");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("with an endless reason phrase") {
    const EndlessServer server("HTTP/1.1 200 ", "0123456789abcdef");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("with an endless header name") {
    const EndlessServer server("HTTP/1.1 200 OK\r\n", "0123456789abcdef");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("with endless space before a header value") {
    const EndlessServer server("HTTP/1.1 200 OK\r\nA:", " ");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("with endless zeros in the size of a chunk") {
    const EndlessServer server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("with an endless chunk extension") {
    const EndlessServer server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        "0123456789abcdef");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("with an extension to each of its tiny chunks") {
    const EndlessServer server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1;" + std::string(60 << 10, 'x') + "\r\na\r\n");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 16 * kMiB);
  }
  SUBCASE("with endless trailers") {
    const EndlessServer server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "A: b\r\n");
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("with endless empty lines before it") {
    const EndlessServer server("\r\n", "\r\n");
    CHECK(ask(server) == AttemptOutcome::kBroken);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("with endless bytes that aren't HTTP") {
    const EndlessServer server("0123456789", "0123456789abcdef");
    CHECK(ask(server) == AttemptOutcome::kBroken);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("followed by endless bytes") {
    const EndlessServer server(HttpOkResponse("sound"), "0123456789abcdef");
    CHECK(ask(server) == AttemptOutcome::kAnswered);
    caller.Wait(2);  // Runs on, while the server sends.
    CHECK(server.sent() < 16 * kMiB);
  }
  SUBCASE("preceded by endless responses to other requests") {
    const std::string other =
        "HTTP/1.1 200 OK\r\nEcho-Id: other\r\nContent-Length: 4\r\n\r\nbody";
    const EndlessServer server(other, other);
    CHECK(ask(server) == AttemptOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  CHECK(caller.buffered() == 0);
}

TEST_CASE("ResponseReader limits the bytes around a body") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  // Returns the state after a response that is read in pieces of `piece` bytes.
  const auto read = [](const std::string& response, std::size_t piece) {
    detail::ResponseReader reader;
    for (std::size_t at = 0; at < response.size(); at += piece)
      reader.Read(response.data() + at, std::min(piece, response.size() - at));
    return reader.state();
  };
  const std::array<std::size_t, 4> pieces{1, 7, 8 << 10, kMiB};

  SUBCASE("and reads a body in chunks of one byte") {
    std::string response = head;
    for (int i = 0; i < 100'000; ++i)
      response += "1\r\nx\r\n";
    response += "0\r\n\r\n";
    for (const std::size_t piece : pieces)
      CHECK(read(response, piece) == detail::ResponseReader::State::kComplete);
  }
  SUBCASE("wherever they stand and however they are divided") {
    const std::string extension(kMaxFramingBytes / 2, 'x');
    const std::string chunk = "1;" + extension + "\r\na\r\n";
    const std::string last = "0;" + extension + "\r\n\r\n";
    for (const std::size_t piece : pieces) {
      CHECK(read(head + chunk + "0\r\n\r\n", piece) ==
            detail::ResponseReader::State::kComplete);
      CHECK(read(head + chunk + last, piece) ==
            detail::ResponseReader::State::kTooLarge);
      CHECK(read(head + chunk + chunk + "400\r\n" + std::string(1024, 'a') +
                     "\r\n0\r\n\r\n",
                 piece) == detail::ResponseReader::State::kTooLarge);
    }
  }
}

TEST_CASE("TargetPool limits the total size of incomplete responses") {
  // Each response alone is within its own limit.
  constexpr std::size_t kServers = 20;
  constexpr std::size_t kTotalLimit = 8 * kMiB;
  Caller caller(kTotalLimit);
  RawServer valid([](int) { return HttpOkResponse("sound"); });
  std::vector<std::unique_ptr<EndlessServer>> servers;
  for (std::size_t i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<EndlessServer>("HTTP/1.1 200 OK\r\n\r\n",
                                                      "0123456789abcdef"));
    caller.Send(servers.back()->address(), 4 * kMiB);
  }
  caller.Send(valid.address(), kMiB);
  const auto& responses = caller.Wait(kServers + 1);
  REQUIRE(responses.size() == kServers + 1);

  std::size_t answered = 0;
  for (const auto& response : responses) {
    if (response.outcome == AttemptOutcome::kAnswered) {
      ++answered;
      CHECK(response.body == "sound");
    } else {
      CHECK(response.outcome == AttemptOutcome::kTooLarge);
    }
  }
  CHECK(answered == 1);
  CHECK(caller.max_buffered() <= kTotalLimit);
  CHECK(caller.buffered() == 0);
}

TEST_CASE(
    "HttpClient stops reading an endless response of the store or a peer") {
  HttpClient http(16);
  http.Start();
  const auto ask = [&http](const EndlessServer& server) {
    std::promise<HttpResponse> answer;
    HttpRequest request;
    request.tag = 1;
    request.address = server.address();
    request.path = "/";
    request.timeout = Seconds(5);
    request.max_body_bytes = kMiB;
    REQUIRE(http.Send(std::move(request), [&answer](HttpResponse response) {
      answer.set_value(std::move(response));
    }));
    return answer.get_future().get();
  };

  SUBCASE("with a body that never ends") {
    const EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef");
    const HttpResponse response = ask(server);
    CHECK(response.status == TransferStatus::kTooLarge);
    CHECK(response.body.empty());
  }
  SUBCASE("with a head that never ends") {
    const EndlessServer server("HTTP/1.1 200 OK\r\n", "A: b\r\n");
    CHECK(ask(server).status == TransferStatus::kTooLarge);
  }
  SUBCASE("with informational responses that never stop") {
    const EndlessServer server("HTTP/1.1 100 Continue\r\n\r\n",
                               "HTTP/1.1 102 Processing\r\n\r\n");
    CHECK(ask(server).status == TransferStatus::kTooLarge);
  }
  http.Stop();
}

}  // namespace
}  // namespace limpetrudder
