#include <future>
#include <string>

#include <doctest/doctest.h>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/internal/response_reader.h"
#include "net/tests/free_port.h"
#include "net/tests/pool_fixture.h"
#include "net/tests/raw_server.h"

namespace limpetrudder {
namespace {

using State = detail::ResponseReader::State;

constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::string WithStatusLine(const std::string& line) {
  return line + "\r\nContent-Length: 2\r\n\r\nok";
}

// Reads `bytes` in one piece, and once more byte by byte, which has to give the
// same.
void Read(const std::string& bytes, detail::ResponseReader* reader) {
  reader->Read(bytes.data(), bytes.size());
  detail::ResponseReader slow;
  for (const char& byte : bytes) {
    if (slow.state() == State::kReading)
      slow.Read(&byte, 1);
  }
  CHECK(slow.state() == reader->state());
  CHECK(slow.status() == reader->status());
}

TEST_CASE("A status line that isn't one ends the response") {
  for (const std::string line :
       {"HTTP/1.1 000 None", "HTTP/1.1 000",        "HTTP/1.1 001 One",
        "HTTP/1.1 099 Low",  "HTTP/1.1 99 Low",     "HTTP/1.1 20 Short",
        "HTTP/1.1 2 Short",  "HTTP/1.1 600 High",   "HTTP/1.1 999 High",
        "HTTP/1.1 0200 OK",  "HTTP/1.1 2000 OK",    "HTTP/1.1 1200 OK",
        "HTTP/1.1 +200 OK",  "HTTP/1.1 -20 OK",     "HTTP/1.1 2x0 OK",
        "HTTP/1.1 OK",       "HTTP/1.1  200 OK",    "HTTP/1.1 200OK",
        "HTTP/1.1",          "HTTP/1.1 ",           "HTTP 200 OK",
        "HTTP/1 200 OK",     "HTTP/11 200 OK",      "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",   "http/1.1 200 OK",     "200 OK",
        " HTTP/1.1 200 OK",  "\r\nHTTP/1.1 200 OK", "ICY 200 OK"}) {
    CAPTURE(line);
    detail::ResponseReader reader;
    Read(WithStatusLine(line), &reader);
    CHECK(reader.state() == State::kMalformed);
    const RawServer server([line](int) { return WithStatusLine(line); });
    PoolFixture pool;
    CHECK(pool.Ask(server.address()).outcome == AttemptOutcome::kBroken);
  }
  for (const std::string line :
       {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ",
        "HTTP/1.1 599 Odd"}) {
    CAPTURE(line);
    detail::ResponseReader reader;
    Read(WithStatusLine(line), &reader);
    CHECK(reader.state() == State::kComplete);
    CHECK(reader.status() >= 200);
  }
}

TEST_CASE("An informational response isn't the answer") {
  detail::ResponseReader reader;

  SUBCASE("nor a part of it") {
    Read("HTTP/1.1 103 Early Hints\r\nEtag: no\r\n\r\n" + std::string(kAnswer),
         &reader);
    CHECK(reader.state() == State::kComplete);
    CHECK(reader.status() == 200);
    CHECK(reader.headers().size() == 1);
    CHECK(reader.TakeBody() == "ok");
  }
  SUBCASE("and has no body") {
    for (const std::string framing : {"Content-Length: 2\r\n\r\nno",
                                      "Transfer-Encoding: chunked\r\n\r\n"}) {
      detail::ResponseReader framed;
      Read("HTTP/1.1 103 Early Hints\r\n" + framing + kAnswer, &framed);
      CHECK(framed.state() == State::kMalformed);
    }
  }
  SUBCASE("and is no change of the protocol") {
    Read(
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
        "Upgrade: other\r\n\r\n",
        &reader);
    CHECK(reader.state() == State::kMalformed);
    detail::ResponseReader plain;
    Read("HTTP/1.1 101 Switching Protocols\r\n\r\n" + std::string(kAnswer),
         &plain);
    CHECK(plain.state() == State::kMalformed);
  }
  SUBCASE("also if nothing follows it") {
    const std::string bytes = "HTTP/1.1 100 Continue\r\n\r\n";
    reader.Read(bytes.data(), bytes.size());
    CHECK(reader.state() == State::kReading);
    reader.ReadEnd();
    CHECK(reader.state() == State::kMalformed);
  }
  SUBCASE("and doesn't come without end") {
    std::string bytes;
    for (int i = 0; i < 20; ++i)
      bytes += "HTTP/1.1 100 Continue\r\n\r\n";
    Read(bytes, &reader);
    CHECK(reader.state() == State::kTooLarge);
  }
}

TEST_CASE("A response whose framing is ambiguous is malformed") {
  for (const std::string framing :
       {"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
        "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
        "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        "Content-Length: 2, 2\r\n\r\nok", "Content-Length: +2\r\n\r\nok",
        "Content-Length: -2\r\n\r\nok", "Content-Length: 0x2\r\n\r\nok",
        "Content-Length:\r\n\r\n", "Content-Length : 2\r\n\r\nok",
        "Content-Length: 99999999999999999999\r\n\r\nok",
        "Transfer-Encoding: gzip\r\n\r\nok",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked, gzip\r\n\r\nok",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\nok",
        "Transfer-Encoding: chunked\r\n\r\nx\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok!\r\n0\r\n\r\n"}) {
    CAPTURE(framing);
    detail::ResponseReader reader;
    Read("HTTP/1.1 200 OK\r\n" + framing, &reader);
    if (reader.state() == State::kReading)
      reader.ReadEnd();
    CHECK(reader.state() == State::kMalformed);
  }
}

TEST_CASE("A response whose length is followed by spaces is sound") {
  detail::ResponseReader reader;
  Read("HTTP/1.1 200 OK\r\nContent-Length: 2 \r\n\r\nok", &reader);
  CHECK(reader.state() == State::kComplete);
}

TEST_CASE("A response that has no body") {
  SUBCASE("ends with its head, whatever length that names") {
    detail::ResponseReader reader;
    const std::string head =
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n";
    CHECK(reader.Read(head.data(), head.size()) == head.size());
    CHECK(reader.state() == State::kComplete);
    CHECK(reader.TakeBody().empty());
  }
  SUBCASE("is malformed if it announces one that mustn't be there") {
    for (const std::string framing :
         {"Content-Length: 2\r\n\r\nno",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"}) {
      detail::ResponseReader reader;
      Read("HTTP/1.1 204 No Content\r\n" + framing, &reader);
      CHECK(reader.state() == State::kMalformed);
    }
  }
  SUBCASE("isn't followed by another on its connection if a body is due") {
    RawServer server([](int) {
      return std::string(
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n");
    });
    PoolFixture pool;
    CHECK(pool.Ask(server.address()).status == 304);
    CHECK(pool.Ask(server.address()).status == 304);
    CHECK(server.connections() == 2);
  }
  SUBCASE("keeps its connection otherwise") {
    RawServer server(
        [](int) { return std::string("HTTP/1.1 204 No Content\r\n\r\n"); });
    PoolFixture pool;
    CHECK(pool.Ask(server.address()).status == 204);
    CHECK(pool.Ask(server.address()).status == 204);
    CHECK(server.connections() == 1);
  }
}

TEST_CASE(
    "HttpClient takes no answer of the store or a peer without a status") {
  for (const std::string line :
       {"HTTP/1.1 000 None", "HTTP/1.1 099 Low", "HTTP/1.1 600 High",
        "HTTP/1.1 999 High", "HTTP/1.1 101 Switching Protocols", "200 OK"}) {
    CAPTURE(line);
    const RawServer server([line](int) {
      return std::string(1, kCloseAfterResponse) + WithStatusLine(line);
    });
    HttpClient http(4);
    http.Start();
    HttpRequest request;
    request.tag = 1;
    request.address = server.address();
    request.path = "/";
    request.timeout = Seconds(2);
    std::promise<HttpResponse> answer;
    REQUIRE(http.Send(std::move(request), [&answer](HttpResponse response) {
      answer.set_value(std::move(response));
    }));
    const HttpResponse response = answer.get_future().get();
    CHECK(response.status == TransferStatus::kFailed);
    CHECK(response.body.empty());
    http.Stop();
  }
}

TEST_CASE("HttpServer sends no status that isn't a final one") {
  const std::uint16_t port = FreePort();
  HttpServer server(
      {"127.0.0.1", port},
      [](const ServerRequest& request, const Responder& respond) {
        ServerResponse response;
        response.status = std::stoi(request.path.substr(1));
        response.body = "body";
        respond(std::move(response));
      },
      nullptr);
  REQUIRE(server.Start());
  PoolFixture pool;
  for (const std::string status : {"0", "99", "101", "600", "1200", "-1"}) {
    CAPTURE(status);
    PoolRequest request =
        pool.MakeRequest("127.0.0.1:" + std::to_string(port), "", false);
    request.bytes = "GET /" + status + " HTTP/1.1\r\nHost: x\r\n\r\n";
    pool.pool().Send(std::move(request));
    const PoolResponse response = pool.Next();
    CHECK(response.outcome == AttemptOutcome::kAnswered);
    CHECK(response.status == 502);
    CHECK(response.body != "body");
  }
}

}  // namespace
}  // namespace limpetrudder
