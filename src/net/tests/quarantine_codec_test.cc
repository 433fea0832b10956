#include "net/quarantine_codec.h"

#include <doctest/doctest.h>

namespace limpetrudder {
namespace {

TEST_CASE("Notices of requests under which servers crashed") {
  const QuarantineNotice notice{"0123456789abcdef0123456789abcdef",
                                RequestStanding::kQuarantined,
                                Millis(1500),
                                Seconds(600),
                                2,
                                std::nullopt};

  SUBCASE("survive encoding and decoding") {
    const auto decoded = DecodeNotices(EncodeNotices({notice}));
    REQUIRE(decoded.size() == 1);
    CHECK(decoded[0].digest == notice.digest);
    CHECK(decoded[0].standing == notice.standing);
    CHECK(decoded[0].age == notice.age);
    CHECK(decoded[0].quarantine_left == notice.quarantine_left);
    CHECK(decoded[0].quarantines == notice.quarantines);
  }
  SUBCASE("are left out if they can't be read") {
    for (
        const char* text :
        {"", "{}", "[1]", "[{}]", "[", "null",
         R"([{"digest":"no hex","standing":"suspected","age_ms":1,"left_ms":1,"quarantines":1}])",
         R"([{"digest":"ab","standing":"odd","age_ms":1,"left_ms":1,"quarantines":1}])",
         R"([{"digest":"ab","standing":"suspected","age_ms":-1,"left_ms":1,"quarantines":1}])",
         R"([{"digest":"ab","standing":"suspected","age_ms":1,"left_ms":1e18,"quarantines":1}])"}) {
      CAPTURE(text);
      CHECK(DecodeNotices(text).empty());
    }
  }
  SUBCASE("are read up to the number that an instance sends") {
    CHECK(DecodeNotices(EncodeNotices({100, notice})).size() == 32);
  }
  SUBCASE("are none in the reply of an instance that doesn't know of them") {
    PoolResponse response;
    response.outcome = AttemptOutcome::kAnswered;
    response.status = 404;
    response.body = EncodeNotices({notice});
    const auto notices = DecodeExchangeReply(response);
    REQUIRE(notices);
    CHECK(notices->empty());
  }
  SUBCASE("are unknown if there was no reply") {
    PoolResponse response;
    response.outcome = AttemptOutcome::kNotSent;
    CHECK_FALSE(DecodeExchangeReply(response));
  }
  SUBCASE("have a revision, except those of older builds") {
    QuarantineNotice revised = notice;
    revised.revision = 7;
    CHECK(DecodeNotices(EncodeNotices({revised})).at(0).revision == 7);
    const auto older = DecodeNotices(
        R"([{"digest":"ab","standing":"suspected","age_ms":1,"left_ms":1,"quarantines":1}])");
    CHECK(older.at(0).revision == 0);
  }
  SUBCASE("are marked if they are changes only") {
    for (const NoticeScope scope : {NoticeScope::kAll, NoticeScope::kChanges}) {
      const PoolRequest encoded =
          EncodeExchange({"b", "10.0.0.2:7000", scope, {notice}}, 1);
      ServerRequest request;
      if (encoded.bytes.find("\r\nLimpet-Notices: changes\r\n") !=
          std::string::npos) {
        request.headers.push_back({"Limpet-Notices", "changes"});
      }
      CHECK(DecodeScope(request) == scope);
    }
  }
  SUBCASE("tell of a trial without a result") {
    QuarantineNotice tried = notice;
    tried.trial_age = Millis(250);
    CHECK(DecodeNotices(EncodeNotices({tried})).at(0).trial_age == Millis(250));
    CHECK_FALSE(DecodeNotices(EncodeNotices({notice})).at(0).trial_age);
  }
}

}  // namespace
}  // namespace limpetrudder
