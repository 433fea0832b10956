#include <doctest/doctest.h>

#include "net/internal/target_codec.h"

namespace limpetrudder {
namespace {

HttpResponse Answer(int status, const std::string& body) {
  HttpResponse response;
  response.status = TransferStatus::kAnswered;
  response.http_status = status;
  response.body = body;
  return response;
}

constexpr char kSound[] =
    R"({"attempt":"i:7","shard":"s","map_epoch":1,"version":3,"age_ms":5,
        "state":"serving","held":[[1,2],[1,3]],
        "hits":[{"id":"a","title":"b","score":0.5}]})";

TEST_SUITE("promise-3") {
  TEST_CASE("What a server answers to attempt 7") {
    const auto read = [](int status, const std::string& body) {
      return detail::ReadTargetSearch(7, "i:7", Answer(status, body));
    };

    SUBCASE("is read") {
      const auto result = read(200, kSound);
      CHECK(result.code == ResultCode::kOk);
      CHECK(result.answer.snapshot == Snapshot{1, 3});
      CHECK(result.answer.hits.size() == 1);
      CHECK(result.report.held.size() == 2);
    }
    SUBCASE("is dropped if it names another attempt") {
      std::string crossed = kSound;
      crossed.replace(crossed.find("i:7"), 3, "i:6");
      const auto result = read(200, crossed);
      CHECK(result.code == ResultCode::kAnswerCrossed);
      CHECK(result.answer.hits.empty());
    }
    SUBCASE("is refused if it can't be read") {
      for (const char* body : {"", "[]", "{", "null", R"({"attempt":"i:7"})",
                               R"({"attempt":"i:7","hits":"x"})"}) {
        CHECK(read(200, body).code == ResultCode::kAnswerMalformed);
      }
      CHECK(read(500, "<html>").code == ResultCode::kServerFailed);
    }
    SUBCASE("may be a refusal") {
      const std::string tail = R"(,"state":"serving","held":[]})";
      CHECK(read(409, R"({"error":"version_not_held")" + tail).code ==
            ResultCode::kVersionNotHeld);
      CHECK(read(409, R"({"error":"map_not_held")" + tail).code ==
            ResultCode::kMapNotHeld);
      CHECK(read(503, R"({"error":"draining")" + tail).code ==
            ResultCode::kServerLeaving);
      CHECK(read(429, R"({"error":"shed","retry_after_ms":70)" + tail)
                .retry_after == Millis(70));
    }
  }
}

}  // namespace
}  // namespace limpetrudder
