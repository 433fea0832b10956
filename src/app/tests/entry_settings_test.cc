#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include <doctest/doctest.h>
#include <unistd.h>

#include "app/entry_settings.h"
#include "app/internal/watched_file.h"

namespace limpetrudder {
namespace {

nlohmann::json ValidSettings() {
  return {{"instance", "kgn-1"},
          {"data_centre", "kgn"},
          {"regions", {{"kgn", "kingston"}}},
          {"caller_address", "127.0.0.1:8001"},
          {"ready_address", "127.0.0.1:8002"},
          {"peer_address", "127.0.0.1:8003"},
          {"store_address", "127.0.0.1:8500"},
          {"retry_budget", {{"ratio", 0.2}, {"slack", 56}}},
          {"stop_bound_ms", 6000}};
}

ResultCode SingleFault(const nlohmann::json& json, const std::string& pointer) {
  const auto settings = ReadEntrySettings(json);
  REQUIRE_FALSE(settings);
  REQUIRE(settings.error().size() == 1);
  CHECK(settings.error().front().pointer == pointer);
  return settings.error().front().code;
}

TEST_CASE("ReadEntrySettings validates the settings of an entry instance") {
  nlohmann::json json = ValidSettings();
  SUBCASE("valid entry settings are accepted") {
    const auto settings = ReadEntrySettings(json);
    REQUIRE(settings);
    CHECK(settings.assume_value().retry_budget.slack == 56);
    CHECK(settings.assume_value().stop_bound == Seconds(6));
  }
  SUBCASE("bounds for cold servers are optional and checked") {
    CHECK(ReadEntrySettings(json).assume_value().warmup.slack == 5);
    json["warmup"] = {{"overage", 2}, {"slack", 9}};
    CHECK(ReadEntrySettings(json).assume_value().warmup.overage == 2);
    json["warmup"]["overage"] = 0;
    CHECK(SingleFault(json, "/warmup/overage") == ResultCode::kFieldOutOfRange);
  }
  SUBCASE("the bounds of client accounts are optional") {
    CHECK_FALSE(ReadEntrySettings(json).assume_value().quota);
    json["quota"] = {{"window", 5}, {"overage", 0.1}, {"slack", 20}};
    const auto quota = ReadEntrySettings(json).assume_value().quota;
    REQUIRE(quota);
    CHECK(quota->window == Seconds(5));
    CHECK(quota->overage == 0.1);
    CHECK(quota->slack == 20);
    json["quota"]["window"] = 0;
    CHECK(SingleFault(json, "/quota/window") == ResultCode::kFieldOutOfRange);
  }
  SUBCASE("keys have to be confirmed only if the settings say so") {
    CHECK_FALSE(ReadEntrySettings(json).assume_value().key_confirmation_bound);
    json["key_confirmation"] = {{"strict", false}, {"bound_ms", 5000}};
    CHECK_FALSE(ReadEntrySettings(json).assume_value().key_confirmation_bound);
    json["key_confirmation"]["strict"] = true;
    CHECK(ReadEntrySettings(json).assume_value().key_confirmation_bound ==
          Seconds(5));
    json["key_confirmation"]["bound_ms"] = 0;
    CHECK(SingleFault(json, "/key_confirmation/bound_ms") ==
          ResultCode::kFieldOutOfRange);
  }
  SUBCASE("entry settings without a store address are refused") {
    json.erase("store_address");
    CHECK(SingleFault(json, "") == ResultCode::kFieldMissing);
  }
  SUBCASE("entry settings with an unknown field are refused") {
    json["colour"] = "blue";
    CHECK(SingleFault(json, "") == ResultCode::kFieldUnknown);
  }
  SUBCASE("entry settings with a port above 65535 are refused") {
    json["peer_address"] = "127.0.0.1:99999";
    CHECK(SingleFault(json, "/peer_address") == ResultCode::kFieldOutOfRange);
  }
  SUBCASE("entry settings with a negative retry budget are refused") {
    json["retry_budget"]["ratio"] = -1;
    CHECK(SingleFault(json, "/retry_budget/ratio") ==
          ResultCode::kFieldOutOfRange);
  }
}

class TemporaryFile {
 public:
  TemporaryFile() {
    const int descriptor = mkstemp(path.data());
    REQUIRE(descriptor >= 0);
    close(descriptor);
    Write("one");
  }
  ~TemporaryFile() { std::remove(path.c_str()); }

  void Write(const std::string& text) { std::ofstream(path) << text; }

  std::string path = "/tmp/limpetrudder-settings-XXXXXX";
};

TEST_CASE("WatchedFile detects that a settings file was replaced") {
  TemporaryFile temporary;
  WatchedFile file(temporary.path);
  CHECK_FALSE(file.HasChanged());

  SUBCASE("a new text of a watched file is reported once") {
    temporary.Write("two");
    CHECK(file.HasChanged());
    CHECK_FALSE(file.HasChanged());
  }
  SUBCASE("the same text written again to a watched file is no change") {
    temporary.Write("one");
    CHECK_FALSE(file.HasChanged());
  }
  SUBCASE("a watched file that is missing for a moment is no change") {
    std::remove(temporary.path.c_str());
    CHECK_FALSE(file.HasChanged());
    temporary.Write("one");
    CHECK_FALSE(file.HasChanged());
  }
}

}  // namespace
}  // namespace limpetrudder
