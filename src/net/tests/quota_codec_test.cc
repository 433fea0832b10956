#include "net/quota_codec.h"

#include <doctest/doctest.h>

#include "framework/http_status.h"

namespace limpetrudder {
namespace {

std::string BodyOf(const PoolRequest& request) {
  return request.bytes.substr(request.bytes.find("\r\n\r\n") + 4);
}

PoolResponse Response(int status, std::string body) {
  PoolResponse response;
  response.outcome = AttemptOutcome::kAnswered;
  response.status = status;
  response.body = std::move(body);
  return response;
}

TEST_CASE("An ask for tokens") {
  const OutgoingQuotaAsk ask{
      7, "b", "10.0.0.2:90", {"shop \"one\"", QuotaPurpose::kTransfer, 2.25}};

  SUBCASE("survives encoding and decoding") {
    const PoolRequest request = EncodeQuotaAsk(ask, 9);
    CHECK(request.id == 9);
    CHECK(request.server == "b");
    const auto decoded = DecodeQuotaAsk(BodyOf(request));
    REQUIRE(decoded);
    CHECK(decoded->account == ask.ask.account);
    CHECK(decoded->purpose == ask.ask.purpose);
    CHECK(decoded->tokens == ask.ask.tokens);
  }
  SUBCASE("is short") {
    CHECK(EncodeQuotaAsk(ask, 9).bytes.size() <= 180);
  }
  SUBCASE("is left unanswered if it can't be read") {
    for (const char* body :
         {"", "{}", "[", "[1]", "null",
          R"({"account":1,"purpose":"calls","tokens":1})",
          R"({"account":"a","purpose":"odd","tokens":1})",
          R"({"account":"a","purpose":"calls","tokens":-1})",
          R"({"account":"a","purpose":"calls","tokens":1e300})",
          R"({"account":"a","purpose":"calls","tokens":"1"})"}) {
      CAPTURE(body);
      CHECK_FALSE(DecodeQuotaAsk(body));
    }
  }
}

TEST_CASE("An answer to an ask for tokens") {
  const QuotaAnswer answer{true, 3, 0.5, Millis(250), Millis(1200)};

  SUBCASE("survives encoding and decoding") {
    const auto decoded = DecodeQuotaAnswer(
        Response(http_status::kOk, EncodeQuotaAnswer(answer).body));
    REQUIRE(decoded);
    CHECK(decoded->is_owner);
    CHECK(decoded->tokens == answer.tokens);
    CHECK(decoded->spare == answer.spare);
    CHECK(decoded->life == answer.life);
    CHECK(decoded->retry_after == answer.retry_after);
  }
  SUBCASE("is short") {
    CHECK(EncodeQuotaAnswer(answer).body.size() <= 80);
  }
  SUBCASE("of an older build says that it owns nothing") {
    const auto decoded =
        DecodeQuotaAnswer(Response(http_status::kNotFound, "{}"));
    REQUIRE(decoded);
    CHECK_FALSE(decoded->is_owner);
  }
  SUBCASE("is none if it can't be read or there was none") {
    CHECK_FALSE(DecodeQuotaAnswer(Response(http_status::kOk, "{}")));
    CHECK_FALSE(DecodeQuotaAnswer(Response(http_status::kUnavailable, "{}")));
    CHECK_FALSE(DecodeQuotaAnswer(PoolResponse()));
  }
}

}  // namespace
}  // namespace limpetrudder
