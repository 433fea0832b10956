#include <atomic>
#include <deque>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <doctest/doctest.h>
#include <asio.hpp>

#include "net/http_client.h"
#include "net/target_pool.h"
#include "net/tests/raw_server.h"

namespace limpetrudder {
namespace {

constexpr std::size_t kMiB = 1 << 20;

// A server whose answers begin with `head` and go on with `piece` until the
// caller closes, or until far more was sent than any limit allows.
class EndlessServer {
 public:
  static constexpr std::size_t kMostBytes = 256 * kMiB;

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
          if (!error && sent_ < kMostBytes)
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

// Asks through a pool on the test's own thread.
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

  // Runs until `count` answers came, or for five seconds.
  const std::deque<PoolResponse>& Wait(std::size_t count) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (responses_.size() < count &&
           std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_for(std::chrono::milliseconds(5));
      most_buffered_ = std::max(most_buffered_, pool_.buffered_bytes());
    }
    return responses_;
  }

  std::size_t most_buffered() const { return most_buffered_; }
  std::size_t buffered() const { return pool_.buffered_bytes(); }

 private:
  asio::io_context context_{1};
  std::deque<PoolResponse> responses_;
  TargetPool pool_;
  std::uint64_t next_ = 1;
  std::size_t most_buffered_ = 0;
};

TEST_CASE("An answer that never ends") {
  Caller caller(64 * kMiB);
  const auto ask = [&caller](const EndlessServer& server) {
    caller.Send(server.address(), kMiB);
    const auto& responses = caller.Wait(1);
    REQUIRE(responses.size() == 1);
    return responses.front().outcome;
  };

  SUBCASE("in a body without a length") {
    const EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef");
    CHECK(ask(server) == SendOutcome::kTooLarge);
    CHECK(server.sent() < 16 * kMiB);
  }
  SUBCASE("in chunks") {
    const EndlessServer server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10\r\n0123456789abcdef\r\n");
    CHECK(ask(server) == SendOutcome::kTooLarge);
    CHECK(server.sent() < 16 * kMiB);
  }
  SUBCASE("in a body that is announced to be too long") {
    const EndlessServer server(
        "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
        "0123456789abcdef");
    CHECK(ask(server) == SendOutcome::kTooLarge);
    CHECK(caller.most_buffered() <= 64 << 10);
  }
  SUBCASE("in a head of many fields") {
    const EndlessServer server("HTTP/1.1 200 OK\r\n", "A: b\r\n");
    CHECK(ask(server) == SendOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("in one field of a head") {
    const EndlessServer server("HTTP/1.1 200 OK\r\nA: ", "0123456789abcdef");
    CHECK(ask(server) == SendOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("in informational answers") {
    const EndlessServer server("HTTP/1.1 100 Continue\r\n\r\n",
                               "HTTP/1.1 102 Processing\r\n\r\n");
    CHECK(ask(server) == SendOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  SUBCASE("in answers to other requests") {
    const std::string other =
        "HTTP/1.1 200 OK\r\nEcho-Id: other\r\nContent-Length: 4\r\n\r\nbody";
    const EndlessServer server(other, other);
    CHECK(ask(server) == SendOutcome::kTooLarge);
    CHECK(server.sent() < 4 * kMiB);
  }
  CHECK(caller.buffered() == 0);
}

TEST_CASE("Many answers that never end, beside a sound one") {
  // Each alone is within its own limit.
  constexpr std::size_t kServers = 20;
  constexpr std::size_t kTogether = 8 * kMiB;
  Caller caller(kTogether);
  RawServer sound([](int) { return HttpAnswer("sound"); });
  std::vector<std::unique_ptr<EndlessServer>> servers;
  for (std::size_t i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<EndlessServer>("HTTP/1.1 200 OK\r\n\r\n",
                                                      "0123456789abcdef"));
    caller.Send(servers.back()->address(), 4 * kMiB);
  }
  caller.Send(sound.address(), kMiB);
  const auto& responses = caller.Wait(kServers + 1);
  REQUIRE(responses.size() == kServers + 1);

  std::size_t answered = 0;
  for (const auto& response : responses) {
    if (response.outcome == SendOutcome::kAnswered) {
      ++answered;
      CHECK(response.body == "sound");
    } else {
      CHECK(response.outcome == SendOutcome::kTooLarge);
    }
  }
  CHECK(answered == 1);
  CHECK(caller.most_buffered() <= kTogether);
  CHECK(caller.buffered() == 0);
}

TEST_CASE("An answer of the store or of an instance that never ends") {
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

  SUBCASE("in its body") {
    const EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef");
    const HttpResponse response = ask(server);
    CHECK(response.status == TransferStatus::kTooLarge);
    CHECK(response.body.empty());
  }
  SUBCASE("in its head") {
    const EndlessServer server("HTTP/1.1 200 OK\r\n", "A: b\r\n");
    CHECK(ask(server).status == TransferStatus::kTooLarge);
  }
  SUBCASE("in informational answers") {
    const EndlessServer server("HTTP/1.1 100 Continue\r\n\r\n",
                               "HTTP/1.1 102 Processing\r\n\r\n");
    CHECK(ask(server).status == TransferStatus::kTooLarge);
  }
  http.Stop();
}

}  // namespace
}  // namespace limpetrudder
