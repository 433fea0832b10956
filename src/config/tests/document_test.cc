#include <doctest/doctest.h>

#include "config/document.h"
#include "config/manifest.h"
#include "config/tests/test_document.h"

namespace limpetrudder {
namespace {

Error OnlyFault(const nlohmann::json& json) {
  const auto faults = CheckDocument(json);
  REQUIRE(faults.size() == 1);
  return faults.front();
}

TEST_CASE("An operator submits a document") {
  nlohmann::json json = TestDocumentJson(2, 2);

  SUBCASE("that is sound, and it is accepted whole") {
    const auto document = ReadDocument(json);
    REQUIRE(document);
    const auto* collection =
        FindCollection(document.assume_value(), "catalogue");
    REQUIRE(collection);
    CHECK(collection->services.size() == 2);
    CHECK(collection->deadline == Millis(290));
    CHECK(FindCollection(document.assume_value(), "other") == nullptr);
  }
  SUBCASE("with a field out of its range") {
    json["collections"][0]["deadline_ms"] = 0;
    const Error fault = OnlyFault(json);
    CHECK(fault.code == ResultCode::kFieldOutOfRange);
    CHECK(fault.pointer == "/collections/0/deadline_ms");
  }
  SUBCASE("with a host name where an IP number belongs") {
    json["collections"][0]["services"][0]["shards"][0]["servers"][0]
        ["address"] = "host:80";
    CHECK(OnlyFault(json).pointer ==
          "/collections/0/services/0/shards/0/servers/0/address");
  }
  SUBCASE("with a shard that has no server") {
    json["collections"][0]["services"][1]["shards"][0]["servers"] =
        nlohmann::json::array();
    CHECK(OnlyFault(json).code == ResultCode::kShardWithoutServer);
  }
  SUBCASE("with more slots than connections") {
    json["collections"][0]["services"][0]["shards"][0]["servers"][0]["slots"] =
        30;
    CHECK(OnlyFault(json).code == ResultCode::kSlotsAboveConnections);
  }
  SUBCASE("with an unknown data centre") {
    json["collections"][0]["services"][0]["shards"][0]["servers"][0]
        ["data_centre"] = "elsewhere";
    CHECK(OnlyFault(json).code == ResultCode::kNameNotDefined);
  }
  SUBCASE("with a service in two collections") {
    json["collections"].push_back(json["collections"][0]);
    json["collections"][1]["name"] = "second";
    bool found = false;
    for (const auto& fault : CheckDocument(json))
      found |= fault.code == ResultCode::kServiceInTwoCollections;
    CHECK(found);
  }
  SUBCASE("with a caller granted what doesn't exist") {
    json["callers"][0]["collections"].push_back("nothing");
    CHECK(OnlyFault(json).pointer == "/callers/0/collections/1");
  }
  SUBCASE("with several faults, and all are named in one pass") {
    json["collections"][0]["services"][0]["shards"][0]["servers"][0]["slots"] =
        30;
    json["collections"][0]["services"][1]["shards"][0]["servers"] =
        nlohmann::json::array();
    CHECK(CheckDocument(json).size() == 2);
  }
}

TEST_CASE("A document is stored in parts") {
  const nlohmann::json json = TestDocumentJson(2, 2);
  auto split = SplitIntoParts(json);
  REQUIRE(split);
  SplitDocument& parts = split.assume_value();
  DocumentAssembler assembler;

  SUBCASE("and put together again as it was") {
    auto joined = JoinParts(parts.manifest, parts.texts);
    REQUIRE(joined);
    CHECK(joined.assume_value() == json);
  }
  SUBCASE("and a change rewrites only the part that it touches") {
    nlohmann::json changed = json;
    changed["collections"][0]["deadline_ms"] = 500;
    auto after = SplitIntoParts(changed);
    REQUIRE(after);
    int shared = 0;
    for (const auto& [name, text] : after.assume_value().texts)
      shared += static_cast<int>(parts.texts.count(name));
    CHECK(shared == 2);
    CHECK(after.assume_value().texts.size() == 3);
  }
  SUBCASE("and an altered part is refused") {
    parts.texts.begin()->second = std::make_shared<const std::string>("{}");
    const auto document = assembler.Assemble(parts.manifest, parts.texts);
    REQUIRE_FALSE(document);
    CHECK(document.error().code == ResultCode::kConfigCorrupt);
  }
  SUBCASE("and an unchanged collection isn't read twice") {
    const auto first = assembler.Assemble(parts.manifest, parts.texts);
    const auto second = assembler.Assemble(parts.manifest, parts.texts);
    REQUIRE(second);
    CHECK(first.assume_value().collections[0] ==
          second.assume_value().collections[0]);
  }
}

TEST_CASE("A document of 19,000 servers fits in platform values") {
  nlohmann::json json = TestDocumentJson(1, 1);
  const nlohmann::json collection = json["collections"][0];
  json["collections"].clear();
  int next = 0;
  for (int c = 0; c < 244; ++c) {
    nlohmann::json grown = collection;
    grown["name"] = "collection-" + std::to_string(c);
    grown["services"].clear();
    for (int s = 0; s < 39; ++s) {
      nlohmann::json service = TestServiceJson(next, 2);
      ++next;
      grown["services"].push_back(std::move(service));
    }
    json["collections"].push_back(std::move(grown));
  }
  json["callers"][0]["collections"] = {"collection-0"};
  REQUIRE(CheckDocument(json).empty());
  const auto split = SplitIntoParts(json);
  REQUIRE(split);
  Root root;
  root.manifest = split.assume_value().manifest;
  for (std::size_t i = 0; i < kMaxHistory; ++i) {
    root.history.push_back({"change", 1, 0, "author", std::string(200, 'r'),
                            "2026-12-04T00:00:00Z", std::string(64, '0')});
  }
  CHECK(WriteRoot(root).size() < kMaxPlatformValueBytes);
}

}  // namespace
}  // namespace limpetrudder
