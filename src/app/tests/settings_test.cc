#include <doctest/doctest.h>

#include "app/settings.h"

namespace limpetrudder {
namespace {

nlohmann::json ValidSettings() {
  return {{"instance", "kingston-1"},
          {"data_centre", "kingston"},
          {"caller_address", "127.0.0.1:8001"},
          {"operator_address", "127.0.0.1:8002"},
          {"peer_address", "127.0.0.1:8003"},
          {"platform_address", "127.0.0.1:8500"},
          {"operator_token_sha256", std::string(64, 'a')}};
}

Error SingleFault(const nlohmann::json& json) {
  const auto settings = ReadSettings(json);
  REQUIRE_FALSE(settings);
  REQUIRE(settings.error().size() == 1);
  return settings.error().front();
}

TEST_CASE("ReadSettings validates the settings of an instance") {
  nlohmann::json json = ValidSettings();
  SUBCASE("valid instance settings are accepted") {
    const auto settings = ReadSettings(json);
    REQUIRE(settings);
    CHECK(SplitAddress(settings.assume_value().caller_address).port == 8001);
    CHECK(settings.assume_value().stop_bound == Seconds(10));
  }
  SUBCASE("instance settings with a host name for an IP are refused") {
    json["peer_address"] = "localhost:8003";
    CHECK(SingleFault(json).pointer == "/peer_address");
  }
  SUBCASE("instance settings with a port above 65535 are refused") {
    json["peer_address"] = "127.0.0.1:70000";
    CHECK(SingleFault(json).code == ResultCode::kFieldOutOfRange);
  }
  SUBCASE("instance settings with a duration above its limit name the limit") {
    json["lame_duck_ms"] = 60001;
    const Error fault = SingleFault(json);
    CHECK(fault.pointer == "/lame_duck_ms");
    CHECK(fault.message.find("60000") != std::string::npos);
  }
  SUBCASE("instance settings with an unknown field are refused") {
    json["colour"] = "red";
    CHECK(SingleFault(json).code == ResultCode::kFieldUnknown);
  }
  SUBCASE("instance settings without a name are refused") {
    json.erase("instance");
    CHECK(SingleFault(json).code == ResultCode::kFieldMissing);
  }
}

}  // namespace
}  // namespace limpetrudder
