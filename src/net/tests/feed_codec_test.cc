#include <string>

#include <doctest/doctest.h>

#include "framework/base64.h"
#include "framework/deflate.h"
#include "net/feed_codec.h"

namespace limpetrudder {
namespace {

constexpr char kValidBody[] =
    R"({"era":2,"revision":9,"whole":true,"age_ms":5,"items":[
        {"key":"a","revision":3,"value":"x"},
        {"key":"b","revision":4,"packed":"AAAA","size":1},
        {"key":"c","revision":6,"value":null}]})";

FeedReply Decode(const std::string& body) {
  HttpResponse response;
  response.status = TransferStatus::kAnswered;
  response.http_status = 200;
  response.body = body;
  return DecodePeerFeedReply(response);
}

// Returns the valid body without its compressed item, with `to` for `from`.
std::string With(const std::string& from, const std::string& to) {
  std::string body = kValidBody;
  const std::size_t packed = body.find("{\"key\":\"b\"");
  body.erase(packed, body.find("{\"key\":\"c\"") - packed);
  REQUIRE(body.find(from) != std::string::npos);
  return body.replace(body.find(from), from.size(), to);
}

TEST_CASE("A feed response of another instance") {
  SUBCASE("is read") {
    const FeedReply reply = Decode(With("2", "2"));
    REQUIRE(reply.status == FeedStatus::kOk);
    CHECK(reply.era == 2);
    CHECK(reply.revision == 9);
    CHECK(reply.age == Millis(5));
    REQUIRE(reply.items.size() == 2);
    CHECK(reply.items[0].revision == 3);
    CHECK(reply.items[0].value == "x");
    CHECK_FALSE(reply.items[1].value);
  }
  SUBCASE("may lack the era, as those of older builds do") {
    CHECK(Decode(With("\"era\":2,", "")).status == FeedStatus::kOk);
  }
  SUBCASE("is refused whole if a number isn't a whole one in range") {
    for (const char* number :
         {"3888888888888888888888888888888888888888888888888888888888888888",
          "18446744073709551616", "1e300", "-1", "0.5", "true", "\"3\"", "null",
          "[]"}) {
      for (const char* field :
           {"\"era\":2", "\"revision\":9", "\"age_ms\":5", "\"revision\":3"}) {
        CAPTURE(number);
        CAPTURE(field);
        const std::string text(field);
        CHECK(Decode(With(text, text.substr(0, text.size() - 1) + number))
                  .status == FeedStatus::kNoReply);
      }
    }
  }
  SUBCASE("is refused whole if the size of a compressed value is none") {
    for (const char* size : {"-1", "1e300", "18446744073709551615", "null"}) {
      CAPTURE(size);
      std::string body = kValidBody;
      body.replace(body.find("\"size\":1"), 8, std::string("\"size\":") + size);
      CHECK(Decode(body).status == FeedStatus::kNoReply);
    }
  }
  SUBCASE("is refused whole if its compressed values take too much memory") {
    const std::string value(1 << 20, 'x');
    const std::string row = R"({"key":"b","revision":4,"size":1048576,)"
                            R"("packed":")" +
                            EncodeBase64(Deflate(value)) + "\"},";
    const auto with_rows = [&row](int count) {
      std::string rows;
      for (int i = 0; i < count; ++i)
        rows += row;
      return With("{\"key\":\"a\"", rows + "{\"key\":\"a\"");
    };
    CHECK(Decode(with_rows(16)).status == FeedStatus::kOk);
    CHECK(Decode(with_rows(17)).status == FeedStatus::kNoReply);
  }
  SUBCASE("may be millions of years old") {
    const FeedReply reply =
        Decode(With("\"age_ms\":5", "\"age_ms\":18446744073709551615"));
    CHECK(reply.status == FeedStatus::kOk);
    CHECK(reply.age > Seconds(86'400));
  }
  SUBCASE("is refused if it isn't an object, or has no items") {
    for (const char* body : {"", "{", "[]", "null", "7", "{}"}) {
      CAPTURE(body);
      CHECK(Decode(body).status == FeedStatus::kNoReply);
    }
    CHECK(Decode(With("\"items\":[", "\"parts\":[")).status ==
          FeedStatus::kNoReply);
    CHECK(Decode(With("{\"key\":\"a\"", "7,{\"key\":\"a\"")).status ==
          FeedStatus::kNoReply);
  }
}

}  // namespace
}  // namespace limpetrudder
