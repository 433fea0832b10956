#include <doctest/doctest.h>

#include "net/internal/target_codec.h"

namespace limpetrudder {
namespace {

HttpResponse MakeResponse(int status, const std::string& body) {
  HttpResponse response;
  response.status = TransferStatus::kAnswered;
  response.http_status = status;
  response.body = body;
  return response;
}

constexpr char kValidBody[] =
    R"({"attempt":"i:7","shard":"s","map_epoch":1,"version":3,"age_ms":5,
        "state":"serving","held":[[1,2],[1,3]],
        "hits":[{"id":"a","title":"b","score":0.5}]})";

TEST_SUITE("promise-3") {
  TEST_CASE("ReadTargetSearch") {
    const auto read = [](int status, const std::string& body) {
      return detail::ReadTargetSearch(7, "i:7", MakeResponse(status, body));
    };

    SUBCASE("a valid response is read") {
      const auto result = read(200, kValidBody);
      CHECK(result.code == ResultCode::kOk);
      CHECK(result.answer.snapshot == Snapshot{1, 3});
      CHECK(result.answer.hits.size() == 1);
      CHECK(result.report.held.size() == 2);
    }
    SUBCASE("a response that names another attempt yields no hits") {
      std::string crossed = kValidBody;
      crossed.replace(crossed.find("i:7"), 3, "i:6");
      const auto result = read(200, crossed);
      CHECK(result.code == ResultCode::kAnswerCrossed);
      CHECK(result.answer.hits.empty());
    }
    SUBCASE("a malformed response is an error") {
      for (const char* body : {"", "[]", "{", "null", R"({"attempt":"i:7"})",
                               R"({"attempt":"i:7","hits":"x"})"}) {
        CHECK(read(200, body).code == ResultCode::kAnswerMalformed);
      }
      CHECK(read(500, "<html>").code == ResultCode::kServerFailed);
    }
    SUBCASE("a number that isn't a whole one in range is malformed") {
      for (const char* number :
           {"3e63", "-1", "0.5", "18446744073709551616", "\"3\"", "null"}) {
        for (const char* field : {"\"map_epoch\":1", "\"version\":3",
                                  "\"age_ms\":5", "\"held\":[[1,2],[1"}) {
          CAPTURE(number);
          CAPTURE(field);
          std::string body = kValidBody;
          const std::string text(field);
          const std::size_t end = body.find(text) + text.size();
          body.replace(end - 1, 1, number);
          CHECK(read(200, body).code == ResultCode::kAnswerMalformed);
        }
      }
    }
    SUBCASE("an age or a wait of millions of years is a long one") {
      std::string body = kValidBody;
      body.replace(body.find("\"age_ms\":5"), 10,
                   "\"age_ms\":18446744073709551615");
      CHECK(read(200, body).answer.snapshot_age > Seconds(86'400));
      CHECK(read(429, R"({"error":"shed","state":"serving","held":[],
                         "retry_after_ms":9223372036854775807})")
                .retry_after > Seconds(3'600));
    }
    SUBCASE("a rejection gives its reason") {
      const std::string report = R"(,"state":"serving","held":[]})";
      CHECK(read(409, R"({"error":"version_not_held")" + report).code ==
            ResultCode::kVersionNotHeld);
      CHECK(read(409, R"({"error":"map_not_held")" + report).code ==
            ResultCode::kMapNotHeld);
      CHECK(read(503, R"({"error":"draining")" + report).code ==
            ResultCode::kServerLeaving);
      CHECK(read(429, R"({"error":"shed","retry_after_ms":70)" + report)
                .retry_after == Millis(70));
    }
  }
}

}  // namespace
}  // namespace limpetrudder
