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

TEST_CASE("An entry instance is started with settings") {
  nlohmann::json json = ValidSettings();
  SUBCASE("that are sound") {
    const auto settings = ReadEntrySettings(json);
    REQUIRE(settings);
    CHECK(settings.assume_value().retry_budget.slack == 56);
    CHECK(settings.assume_value().stop_bound == Seconds(6));
  }
  SUBCASE("that lack an address") {
    json.erase("store_address");
    CHECK(SingleFault(json, "") == ResultCode::kFieldMissing);
  }
  SUBCASE("that name something unknown") {
    json["colour"] = "blue";
    CHECK(SingleFault(json, "") == ResultCode::kFieldUnknown);
  }
  SUBCASE("with a port that doesn't exist") {
    json["peer_address"] = "127.0.0.1:99999";
    CHECK(SingleFault(json, "/peer_address") == ResultCode::kFieldOutOfRange);
  }
  SUBCASE("with a budget below zero") {
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

TEST_CASE("A settings file is replaced while the instance runs") {
  TemporaryFile temporary;
  WatchedFile file(temporary.path);
  CHECK_FALSE(file.HasChanged());

  SUBCASE("which is seen once, without a signal") {
    temporary.Write("two");
    CHECK(file.HasChanged());
    CHECK_FALSE(file.HasChanged());
  }
  SUBCASE("by the same text, which is no change") {
    temporary.Write("one");
    CHECK_FALSE(file.HasChanged());
  }
  SUBCASE("and is missing for a moment, which isn't a change either") {
    std::remove(temporary.path.c_str());
    CHECK_FALSE(file.HasChanged());
    temporary.Write("one");
    CHECK_FALSE(file.HasChanged());
  }
}

}  // namespace
}  // namespace limpetrudder
