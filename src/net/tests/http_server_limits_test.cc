#include <array>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <asio.hpp>

#include "framework/clock.h"
#include "net/http_server.h"
#include "net/tests/free_port.h"

namespace limpetrudder {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A server on the test's own event loop. Requests to /hold get no response,
// those to /large one that no socket buffer holds.
class Fixture {
 public:
  static constexpr std::size_t kLargeBytes = 32 << 20;

  explicit Fixture(ConnectionLimits limits)
      : port_(FreePort()),
        server_(
            [&] {
              HttpServerSettings settings;
              settings.address = "127.0.0.1";
              settings.port = port_;
              settings.max_body_bytes = 40000;
              settings.context = &context_;
              settings.connections = limits;
              settings.on_end = [this](ConnectionEnd end) { last_end = end; };
              return settings;
            }(),
            [this](const ServerRequest& request, const Responder& respond) {
              if (request.path == "/hold")
                held_.push_back(respond);
              else if (request.path == "/large")
                respond({200, std::string(kLargeBytes, 'x')});
              else
                respond({request.path == "/none" ? 204 : 200, "answer"});
            },
            nullptr) {
    REQUIRE(server_.Start());
  }

  class Client {
   public:
    explicit Client(Fixture* fixture)
        : fixture_(fixture), socket_(fixture->context_) {
      socket_.connect({asio::ip::address_v4::loopback(), fixture->port_});
      Receive();
      fixture->RunFor(Millis(20));
    }
    void Send(const std::string& bytes) {
      asio::error_code ignored;
      asio::write(socket_, asio::buffer(bytes), ignored);
      fixture_->RunFor(Millis(50));
    }
    std::string received;
    bool closed = false;

   private:
    void Receive() {
      socket_.async_read_some(
          asio::buffer(buffer_),
          [this](const asio::error_code& error, std::size_t size) {
            if (error == asio::error::operation_aborted)
              return;
            closed = bool(error);
            received.append(buffer_.data(), size);
            if (!closed)
              Receive();
          });
    }
    Fixture* const fixture_;
    asio::ip::tcp::socket socket_;
    std::array<char, 4096> buffer_{};
  };

  void RunFor(Duration duration) {
    context_.restart();
    context_.run_for(duration);
  }

  HttpServer* server() { return &server_; }
  std::optional<ConnectionEnd> last_end;

 private:
  asio::io_context context_;
  const std::uint16_t port_;
  std::vector<Responder> held_;
  HttpServer server_;
};

using Client = Fixture::Client;

const std::string kGet = "GET / HTTP/1.1\r\n\r\n";

std::string Body(std::size_t announced, std::size_t sent) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(announced) +
         "\r\n\r\n" + std::string(sent, 'x');
}

TEST_CASE("HttpServer frames its responses") {
  Fixture fixture({});
  Client client(&fixture);

  SUBCASE("those to HEAD have no body") {
    client.Send("HEAD / HTTP/1.1\r\n\r\n" + kGet);
    CHECK(client.received.find("answer") == client.received.rfind("answer"));
    CHECK(client.received.ends_with("\r\n\r\nanswer"));
  }
  SUBCASE("204 has neither a body nor a length") {
    client.Send("GET /none HTTP/1.1\r\n\r\n");
    CHECK(Contains(client.received, " 204 "));
    CHECK_FALSE(Contains(client.received, "Content-Length"));
    CHECK(client.received.ends_with("\r\n\r\n"));
  }
  SUBCASE("HTTP/1.0 is answered and closed") {
    client.Send("GET / HTTP/1.0\r\n\r\n");
    CHECK(Contains(client.received, "answer"));
    CHECK(client.closed);
  }
  SUBCASE("many pipelined requests are all answered, in turn") {
    std::string requests;
    for (int i = 0; i < 300; ++i)
      requests += kGet;
    client.Send(requests);
    fixture.RunFor(Millis(200));
    std::size_t answers = 0;
    for (std::size_t at = 0;
         (at = client.received.find("answer", at)) != std::string::npos; ++at)
      ++answers;
    CHECK(answers == 300);
  }
}

TEST_CASE("HttpServer refuses a request once it is known to be too large") {
  Fixture fixture({});
  Client client(&fixture);
  SUBCASE("when it is announced") {
    client.Send(Body(40001, 0));
    CHECK(Contains(client.received, "HTTP/1.1 413 "));
    CHECK(Contains(client.received, "\"not_run\""));
  }
  SUBCASE("at the byte that passes the limit") {
    client.Send(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" +
        std::string(40000, 'x'));
    CHECK(client.received.empty());
    client.Send("x");
    CHECK(Contains(client.received, "HTTP/1.1 413 "));
  }
  SUBCASE("a head without an end") {
    client.Send("GET / HTTP/1.1\r\nA: " + std::string(17 << 10, 'x'));
    CHECK(Contains(client.received, "HTTP/1.1 431 "));
  }
  CHECK(Contains(client.received, "Connection: close"));
  CHECK(client.closed);
}

TEST_CASE("HttpServer closes connections that take too long") {
  ConnectionLimits limits;
  limits.idle_timeout = Millis(300);
  limits.head_timeout = Millis(600);
  Fixture fixture(limits);
  Client client(&fixture);

  SUBCASE("idle ones") {
    client.Send(kGet);
    fixture.RunFor(Millis(100));
    CHECK_FALSE(client.closed);
    fixture.RunFor(Millis(600));
    CHECK(client.closed);
    CHECK(fixture.last_end == ConnectionEnd::kIdleTimeout);
  }
  SUBCASE("those with an unfinished head") {
    client.Send("GET / HTTP/1.1\r\n");
    fixture.RunFor(Millis(350));
    CHECK_FALSE(client.closed);
    fixture.RunFor(Millis(600));
    CHECK(fixture.last_end == ConnectionEnd::kHeadTimeout);
  }
  SUBCASE("not those whose request is being served, nor a slow body") {
    client.Send("GET /hold HTTP/1.1\r\n\r\n");
    Client slow(&fixture);
    slow.Send(Body(10, 1));
    fixture.RunFor(Millis(1200));
    CHECK_FALSE(client.closed);
    CHECK_FALSE(slow.closed);
    slow.Send("xxxxxxxxx");
    CHECK(Contains(slow.received, "answer"));
  }
  SUBCASE("by a limit that changed meanwhile") {
    fixture.server()->SetTimeouts(Seconds(60), Seconds(60));
    fixture.RunFor(Millis(700));
    CHECK_FALSE(client.closed);
    fixture.server()->SetTimeouts(Millis(200), Seconds(60));
    fixture.RunFor(Millis(400));
    CHECK(client.closed);
  }
}

TEST_CASE("HttpServer keeps all connections within its memory") {
  ConnectionLimits limits;
  limits.max_bytes = 100000;
  Fixture fixture(limits);

  SUBCASE("the slowest body is refused, a request of the largest size served") {
    Client slow(&fixture);
    slow.Send(Body(40000, 39999));
    Client slower(&fixture);
    slower.Send(Body(40000, 39999));
    Client quick(&fixture);
    quick.Send(Body(40000, 40000));
    CHECK(Contains(quick.received, "HTTP/1.1 200 "));
    CHECK(Contains(slow.received, "HTTP/1.1 503 "));
    CHECK(Contains(slow.received, "connection_budget"));
    CHECK(Contains(slow.received, "\"not_run\""));
  }
  SUBCASE("a response that its client doesn't take ends its connection") {
    Client client(&fixture);
    client.Send(kGet);
    CHECK(Contains(client.received, "answer"));
    Client large(&fixture);
    large.Send("GET /large HTTP/1.1\r\n\r\n");
    CHECK(fixture.last_end == ConnectionEnd::kMemory);
    CHECK(large.received.size() < Fixture::kLargeBytes);
  }
}

TEST_CASE("HttpServer keeps within its number of connections") {
  ConnectionLimits limits;
  limits.max_connections = 2;
  Fixture fixture(limits);
  Client first(&fixture);
  first.Send("GET /hold HTTP/1.1\r\n\r\n");
  Client second(&fixture);
  second.Send(kGet);
  Client third(&fixture);
  third.Send(kGet);
  CHECK_FALSE(first.closed);
  CHECK(second.closed);
  CHECK(Contains(third.received, "answer"));

  SUBCASE("a new one goes if all others are being served") {
    third.Send("GET /hold HTTP/1.1\r\n\r\n");
    Client fourth(&fixture);
    CHECK(fourth.closed);
    CHECK_FALSE(third.closed);
  }
}

}  // namespace
}  // namespace limpetrudder
