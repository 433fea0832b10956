#include <mutex>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <asio.hpp>

#include "net/http_server.h"
#include "net/tests/free_port.h"

namespace limpetrudder {
namespace {

// A server that records the requests it received, and a caller that sends raw
// bytes to it.
class RawCaller {
 public:
  RawCaller()
      : port_(FreePort()),
        server_(
            {"127.0.0.1", port_},
            [this](ServerRequest request, const Responder& respond) {
              const std::lock_guard lock(mutex_);
              requests_.push_back(request.target + " " + request.body);
              respond({200, "answer to " + request.target});
            },
            nullptr) {
    REQUIRE(server_.Start());
  }

  // Sends `bytes` and returns what the server sends until it closes the
  // connection, or within 300 ms.
  std::string Exchange(const std::string& bytes) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port_});
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    asio::async_read(socket, asio::dynamic_buffer(received),
                     [](const asio::error_code&, std::size_t) {});
    context.run_for(std::chrono::milliseconds(300));
    return received;
  }

  std::vector<std::string> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  const std::uint16_t port_;
  std::mutex mutex_;
  std::vector<std::string> requests_;
  HttpServer server_;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("HttpServer parses raw bytes from callers") {
  RawCaller caller;

  SUBCASE("joins the chunks of a chunked body") {
    caller.Exchange(
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(caller.requests() == std::vector<std::string>{"/a abcde"});
  }
  SUBCASE("responds to pipelined requests in order") {
    const std::string received = caller.Exchange(
        "GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
        "GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(Contains(received, "answer to /one"));
    REQUIRE(Contains(received, "answer to /two"));
    CHECK(received.find("answer to /one") < received.find("answer to /two"));
  }

  // Request smuggling: a parser that frames these messages differently takes
  // the rest of the bytes for another request.
  SUBCASE("smuggles no request by Content-Length and chunked encoding") {
    caller.Exchange(
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
    for (const auto& request : caller.requests())
      CHECK_FALSE(Contains(request, "/smuggled"));
  }
  SUBCASE("smuggles no request by two Content-Length headers") {
    caller.Exchange(
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
        "Content-Length: 40\r\n\r\n"
        "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
    for (const auto& request : caller.requests())
      CHECK_FALSE(Contains(request, "/smuggled "));
  }
  SUBCASE("smuggles no request by a space before a header's colon") {
    caller.Exchange(
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length : 40\r\n\r\n"
        "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
    for (const auto& request : caller.requests())
      CHECK_FALSE(Contains(request, "/smuggled "));
  }
  SUBCASE("rejects bytes that are not an HTTP request") {
    CHECK_FALSE(Contains(caller.Exchange("HELO there\r\n\r\n"), " 200 "));
    CHECK(caller.requests().empty());
  }
}

}  // namespace
}  // namespace limpetrudder
