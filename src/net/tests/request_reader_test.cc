#include "net/internal/request_reader.h"

#include <algorithm>
#include <string>

#include <doctest/doctest.h>

namespace limpetrudder::detail {
namespace {

using State = RequestReader::State;

constexpr RequestSizeLimits kLimits{200, 100};

// Feeds `bytes` in pieces of `step` bytes until the request ends. Returns how
// many were read.
std::size_t Feed(RequestReader* reader,
                 const std::string& bytes,
                 std::size_t step = 1) {
  std::size_t at = 0;
  while (at < bytes.size() &&
         (reader->state() == State::kEmpty || reader->state() == State::kHead ||
          reader->state() == State::kBody)) {
    at += reader->Read(bytes.data() + at, std::min(step, bytes.size() - at),
                       kLimits);
  }
  return at;
}

std::string Chunked(const std::string& chunks) {
  return "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
         chunks;
}

// Checks that requests in pieces of `step` bytes are read.
void CheckPieces(std::size_t step) {
  RequestReader reader;
  SUBCASE("a request without a body") {
    const std::string bytes =
        "\r\nGET /a?b=c HTTP/1.1\r\nHost: x\r\nA:\r\n\r\n";
    CHECK(Feed(&reader, bytes + "GET", step) == bytes.size());
    REQUIRE(reader.state() == State::kComplete);
    CHECK(std::string(reader.method()) == "GET");
    CHECK(reader.target() == "/a?b=c");
    REQUIRE(reader.headers().size() == 2);
    CHECK(reader.headers()[0].name == "Host");
    CHECK(reader.headers()[0].value == "x");
    CHECK(reader.headers()[1].name == "A");
    CHECK(reader.headers()[1].value.empty());
    CHECK(reader.keep_alive());
  }
  SUBCASE("a body with a length") {
    Feed(&reader,
         "POST /a HTTP/1.1\r\nContent-Length: 100\r\n\r\n" +
             std::string(100, 'x'),
         step);
    REQUIRE(reader.state() == State::kComplete);
    CHECK(reader.TakeBody() == std::string(100, 'x'));
  }
  SUBCASE("a chunked body with trailers, which are left out") {
    const std::string bytes =
        Chunked("3;q=1\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n");
    CHECK(Feed(&reader, bytes + "x", step) == bytes.size());
    REQUIRE(reader.state() == State::kComplete);
    CHECK(reader.headers().size() == 2);
    CHECK(reader.TakeBody() == "abcde");
  }
  SUBCASE("a body of the largest size in chunks of one byte") {
    std::string chunks;
    for (int i = 0; i < 100; ++i)
      chunks += "1\r\nx\r\n";
    Feed(&reader, Chunked(chunks + "0\r\n\r\n"), step);
    REQUIRE(reader.state() == State::kComplete);
    CHECK(reader.TakeBody().size() == 100);
  }
  SUBCASE("the next request after Begin") {
    Feed(&reader, "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", step);
    REQUIRE(reader.state() == State::kComplete);
    reader.Begin();
    CHECK(reader.held_bytes() < 100);
    Feed(&reader, "GET /b HTTP/1.0\r\n\r\n", step);
    REQUIRE(reader.state() == State::kComplete);
    CHECK(reader.target() == "/b");
    CHECK(reader.is_http_1_0());
    CHECK_FALSE(reader.keep_alive());
    CHECK(reader.TakeBody().empty());
  }
}

TEST_CASE("RequestReader reads requests byte by byte") {
  CheckPieces(1);
}

TEST_CASE("RequestReader reads requests in pieces") {
  CheckPieces(7);
}

TEST_CASE("RequestReader reads whole requests") {
  CheckPieces(1000);
}

TEST_CASE("RequestReader stops at a limit") {
  RequestReader reader;
  SUBCASE("at a length above it, before the body") {
    const std::string head = "POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n";
    CHECK(Feed(&reader, head + "x") <= head.size());
    CHECK(reader.state() == State::kBodyTooLarge);
  }
  SUBCASE("at the byte of a chunked body that passes it") {
    Feed(&reader, Chunked("60\r\n" + std::string(96, 'x') + "\r\n5\r\n1234"));
    CHECK(reader.state() == State::kBody);
    Feed(&reader, "5");
    CHECK(reader.state() == State::kBodyTooLarge);
  }
  SUBCASE("at extensions of chunks without an end") {
    const std::string endless = Chunked("1;" + std::string(5000, 'e'));
    CHECK(Feed(&reader, endless) < 400);
    CHECK(reader.state() == State::kBodyTooLarge);
  }
  SUBCASE("at trailers without an end") {
    CHECK(Feed(&reader, Chunked("0\r\nT: " + std::string(5000, 't'))) < 400);
    CHECK(reader.state() == State::kBodyTooLarge);
  }
  SUBCASE("at a request line without an end") {
    CHECK(Feed(&reader, "GET /" + std::string(5000, 'x')) < 250);
    CHECK(reader.state() == State::kHeadTooLarge);
  }
  SUBCASE("at a header without an end") {
    CHECK(Feed(&reader, "GET / HTTP/1.1\r\nA: " + std::string(5000, 'x')) <
          250);
    CHECK(reader.state() == State::kHeadTooLarge);
  }
  SUBCASE("at headers without an end") {
    std::string bytes = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 5000; ++i)
      bytes += "a:\r\n";
    CHECK(Feed(&reader, bytes) < 1000);
    CHECK(reader.state() == State::kHeadTooLarge);
  }
  SUBCASE("at empty lines without an end") {
    std::string lines;
    for (int i = 0; i < 5000; ++i)
      lines += "\r\n";
    CHECK(Feed(&reader, lines) < 2000);
    CHECK(reader.state() == State::kHeadTooLarge);
  }
  SUBCASE("and holds nothing afterwards") {
    Feed(&reader, Chunked("60\r\n" + std::string(96, 'x') + "\r\n50\r\n" +
                          std::string(50, 'x')));
    REQUIRE(reader.state() == State::kBodyTooLarge);
    CHECK(reader.held_bytes() <= kLimits.head);
  }
}

TEST_CASE("RequestReader holds no more than the limit of a body") {
  for (const std::size_t piece : {1, 30, 70}) {
    RequestReader reader;
    const std::string bytes =
        "POST /a HTTP/1.1\r\nContent-Length: 100\r\n\r\n" +
        std::string(100, 'x');
    Feed(&reader, bytes, piece);
    REQUIRE(reader.state() == State::kComplete);
    CHECK(reader.TakeBody().capacity() == 100);
  }
}

TEST_CASE("RequestReader holds no more than it has read") {
  RequestReader reader;
  Feed(&reader, "POST /a HTTP/1.1\r\nContent-Length: 100\r\n\r\nx");
  CHECK(reader.state() == State::kBody);
  CHECK(reader.held_bytes() < kLimits.head + 8 * sizeof(HeaderField));
}

TEST_CASE("RequestReader takes other bytes for malformed") {
  RequestReader reader;
  SUBCASE("not HTTP") {
    Feed(&reader, "HELO there\r\n\r\n");
    CHECK(reader.state() == State::kMalformed);
  }
  SUBCASE("a bad chunk size") {
    Feed(&reader, Chunked("xyz\r\n"));
    CHECK(reader.state() == State::kMalformed);
  }
}

}  // namespace
}  // namespace limpetrudder::detail
