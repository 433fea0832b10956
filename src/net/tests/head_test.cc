#include <string>

#include <doctest/doctest.h>
#include <asio.hpp>

#include "net/http_server.h"
#include "net/tests/free_port.h"

namespace limpetrudder {
namespace {

// A server that answers with the status and the body that the path names, and
// refuses heads above 200 bytes.
class BodyServer {
 public:
  BodyServer()
      : port_(FreePort()),
        server_(
            {"127.0.0.1", port_, /*max_body_bytes=*/100,
             /*max_header_bytes=*/200},
            [](const ServerRequest& request, const Responder& respond) {
              ServerResponse response;
              response.status = std::stoi(request.path.substr(1));
              response.body = "{\"a\": 1}";
              respond(std::move(response));
            },
            nullptr) {
    REQUIRE(server_.Start());
  }

  // Sends `bytes` and returns what the server sends until it closes the
  // connection.
  std::string Exchange(const std::string& bytes) const {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port_});
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    bool closed = false;
    asio::async_read(
        socket, asio::dynamic_buffer(received),
        [&closed](const asio::error_code&, std::size_t) { closed = true; });
    context.run_for(std::chrono::seconds(5));
    REQUIRE(closed);
    return received;
  }

 private:
  const std::uint16_t port_;
  HttpServer server_;
};

std::string Request(const std::string& method,
                    const std::string& path,
                    const std::string& headers) {
  return method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}

// Requests, the last of which asks that the connection be closed.
std::string Only(const std::string& method,
                 const std::string& path,
                 const std::string& headers = "") {
  return Request(method, path, headers + "Connection: close\r\n");
}
std::string Two(const std::string& method, const std::string& path) {
  return Request(method, path, "") + Only("GET", "/200");
}

// Returns what follows the first head in `text`.
std::string AfterHead(const std::string& text) {
  const std::size_t end = text.find("\r\n\r\n");
  REQUIRE(end != std::string::npos);
  return text.substr(end + 4);
}

TEST_CASE("The answer to HEAD has no body") {
  const BodyServer server;

  for (const std::string path : {"/200", "/400", "/404", "/503"}) {
    CAPTURE(path);
    const std::string answer = server.Exchange(Only("HEAD", path));
    CHECK(answer.starts_with("HTTP/1.1 " + path.substr(1)));
    CHECK(answer.find("Content-Length: 8\r\n") != std::string::npos);
    CHECK(AfterHead(answer).empty());
  }
  SUBCASE("so the next answer stands where it is due") {
    const std::string answers = server.Exchange(Two("HEAD", "/503"));
    const std::string second = AfterHead(answers);
    CHECK(second.starts_with("HTTP/1.1 200 "));
    CHECK(AfterHead(second) == "{\"a\": 1}");
  }
  SUBCASE("nor if the server refuses what it can't take") {
    const std::string long_head = "Long: " + std::string(300, 'x') + "\r\n";
    CHECK(AfterHead(server.Exchange(Only("HEAD", "/200", long_head))).empty());
  }
}

TEST_CASE("An answer whose status allows no body has none") {
  const BodyServer server;
  for (const std::string path : {"/204", "/304"}) {
    CAPTURE(path);
    const std::string answers = server.Exchange(Two("GET", path));
    CHECK(AfterHead(answers).starts_with("HTTP/1.1 200 "));
  }
}

}  // namespace
}  // namespace limpetrudder
