#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include "discovery/discovery_limits.h"
#include "discovery/feed_log.h"
#include "discovery/feed_source_selector.h"

namespace limpetrudder {
namespace {

const Time kStart = Time(Seconds(100));

TEST_CASE("A feed log") {
  FeedLog log(DiscoveryLimits().max_change_bytes);
  log.Reset({{"a", "1", 5}, {"b", "1", 6}}, {2, 10});

  SUBCASE("returns all items for a position before its oldest change") {
    const FeedReply reply = log.Since({});
    CHECK(reply.whole);
    CHECK(reply.items.size() == 2);
    CHECK(reply.revision == 10);
  }
  SUBCASE("returns changes, but no heartbeats") {
    log.Add({"a", "2", 11}, true);
    log.Add({"b", "2", 12}, false);
    log.Advance({2, 12});
    CHECK(log.HasChangesSince({2, 10}));
    CHECK_FALSE(log.HasChangesSince({2, 11}));
    const FeedReply reply = log.Since({2, 10});
    CHECK_FALSE(reply.whole);
    REQUIRE(reply.items.size() == 1);
    CHECK(reply.items[0].key == "a");
    CHECK(reply.revision == 12);
  }
  SUBCASE("returns the removal of an item") {
    log.Add({"a", std::nullopt, 11}, true);
    CHECK_FALSE(log.Since({2, 10}).items[0].value);
    CHECK(log.Find("a") == nullptr);
  }
  SUBCASE("returns all items for a change that its bounded history lost") {
    for (std::uint64_t i = 0; i <= FeedLog::kMaxChanges; ++i)
      log.Add({"a", "x", 11 + i}, true);
    CHECK(log.Since({2, 10}).whole);
    CHECK_FALSE(log.Since({2, 11}).whole);
  }
  SUBCASE("keeps a history that is bounded in size") {
    FeedLog small(1000);
    small.Reset({{"a", "1", 5}}, {2, 10});
    for (std::uint64_t i = 0; i < 10; ++i) {
      small.Add({"a", std::string(100, 'x'), 11 + i}, true);
      CHECK(small.change_bytes() <= 1000);
    }
    small.Advance({2, 20});
    CHECK(small.Since({2, 10}).whole);
    const FeedReply reply = small.Since({2, 18});
    CHECK_FALSE(reply.whole);
    CHECK(reply.items.size() == 2);

    SUBCASE("and keeps no change that is larger than all of it") {
      small.Add({"b", std::string(2000, 'x'), 21}, true);
      small.Advance({2, 21});
      CHECK(small.change_bytes() == 0);
      CHECK(small.HasChangesSince({2, 20}));
      CHECK(small.Since({2, 20}).whole);
      CHECK(small.Since({2, 20}).items.size() == 2);
    }
  }
  SUBCASE("counts the memory of its items") {
    const std::size_t before = log.item_bytes();
    log.Add({"a", std::string(1001, 'x'), 11}, false);
    CHECK(log.item_bytes() == before + 1000);
    CHECK(log.BytesOf("a") == FeedLog::MemoryOf({"a", "1", 5}) + 1000);
    log.Add({"a", "1", 12}, false);
    CHECK(log.item_bytes() == before);
    log.Add({"a", std::nullopt, 13}, false);
    CHECK(log.item_bytes() == log.BytesOf("b"));
  }
  SUBCASE("has no changes for a position after its own") {
    CHECK_FALSE(log.HasChangesSince({2, 20}));
    CHECK_FALSE(log.HasChangesSince({3, 1}));
    CHECK(log.Since({3, 1}).items.empty());
  }
  SUBCASE("returns all items for a position of an earlier era") {
    log.Add({"a", "2", 11}, true);
    log.Advance({2, 11});
    CHECK(log.HasChangesSince({1, 500}));
    const FeedReply reply = log.Since({1, 500});
    CHECK(reply.whole);
    CHECK(reply.era == 2);
    CHECK(reply.items.size() == 2);
  }
}

std::vector<InstanceEntry> Fleet(int per_data_centre) {
  std::vector<InstanceEntry> fleet;
  for (const char* data_centre : {"kgn-a", "kgn-b", "mbj-a", "mbj-b"}) {
    for (int i = 0; i < per_data_centre; ++i) {
      const std::string name = std::string(data_centre) + std::to_string(i);
      fleet.push_back({name, data_centre, name + ":1", i == 0 ? 0.5 : 0.1, 10});
    }
  }
  return fleet;
}

const std::map<std::string, std::string> kRegions = {{"kgn-a", "kgn"},
                                                     {"kgn-b", "kgn"},
                                                     {"mbj-a", "mbj"},
                                                     {"mbj-b", "mbj"}};

// Returns how many calls the non-readers make to a store that doesn't respond
// for `outage`, if each of them checks every 10 ms whether one is due.
int CallsOfNonReaders(const std::vector<InstanceEntry>& fleet,
                      Duration outage) {
  int calls = 0;
  for (const auto& instance : fleet) {
    FeedSourceSelector source(instance, kRegions, 1);
    source.Update(fleet);
    if (source.is_reader())
      continue;
    for (Time now = kStart; now < kStart + outage; now += Millis(10)) {
      if (source.ShouldReadStore(kStart, now)) {
        source.OnStoreRead(now);
        ++calls;
      }
    }
  }
  return calls;
}

TEST_CASE("A store that doesn't respond to any instance") {
  SUBCASE("is called ten times a second by the non-readers of a large fleet") {
    const auto fleet = Fleet(49);
    const int calls = CallsOfNonReaders(fleet, Seconds(10));
    CHECK(calls > 30);
    CHECK(calls < 120);
  }
  SUBCASE("is called by each instance of a small fleet") {
    CHECK(CallsOfNonReaders(Fleet(2), Seconds(3)) > 6);
  }
}

TEST_CASE("Selecting the source of the store's changes") {
  const auto fleet = Fleet(20);
  Time next{};

  SUBCASE("takes few large instances of all regions as readers") {
    std::set<std::string> readers;
    std::set<std::string> regions;
    for (const auto& instance : fleet) {
      FeedSourceSelector source(instance, kRegions, 1);
      source.Update(fleet);
      if (source.is_reader()) {
        readers.insert(instance.name);
        regions.insert(kRegions.at(instance.data_centre));
        CHECK(instance.cores == 0.5);
      }
    }
    CHECK(readers.size() == 4);
    CHECK(regions.size() == 2);
  }
  SUBCASE("takes the store itself for the only instance") {
    FeedSourceSelector source(fleet[1], kRegions, 1);
    source.Update({fleet[1]});
    CHECK(source.ShouldReadStore(kStart, kStart));
    CHECK_FALSE(source.StartRequest(kStart, true, kStart, &next));
  }
  SUBCASE("for an instance that isn't a reader") {
    FeedSourceSelector source(fleet[1], kRegions, 1);
    source.Update(fleet);
    REQUIRE_FALSE(source.is_reader());

    SUBCASE("requests newer routes at once while another request is pending") {
      REQUIRE(source.StartRequest(kStart, true, kStart, &next));
      const std::string& newer = fleet[7].name;
      const auto asked = source.StartNewerRoutesRequest(newer, kStart);
      REQUIRE(asked);
      CHECK(asked->name == newer);

      SUBCASE(
          "but not while one for newer routes is pending, nor right after it") {
        CHECK_FALSE(source.StartNewerRoutesRequest(newer, kStart + Seconds(2)));
        source.OnNewerRoutesRequestEnded();
        CHECK_FALSE(
            source.StartNewerRoutesRequest(newer, kStart + Millis(100)));
        CHECK(source.StartNewerRoutesRequest(newer, kStart + Seconds(2)));
      }
    }
    SUBCASE("requests no newer routes from an unknown instance") {
      CHECK_FALSE(source.StartNewerRoutesRequest("unknown", kStart));
    }
    SUBCASE("takes the store itself before any response from it is known") {
      CHECK(source.ShouldReadStore(Time::min(), kStart));
    }
    SUBCASE("takes a reader of its own region, with one pending request") {
      const auto asked = source.StartRequest(kStart, true, kStart, &next);
      REQUIRE(asked);
      CHECK(kRegions.at(asked->data_centre) == "kgn");
      CHECK_FALSE(source.StartRequest(kStart, true, kStart, &next));
      CHECK_FALSE(source.ShouldReadStore(kStart, kStart + Millis(500)));

      SUBCASE("and another instance if the request to that reader fails") {
        source.OnFailure(asked->name, kStart);
        const auto other =
            source.StartRequest(kStart, true, kStart + Millis(100), &next);
        REQUIRE(other);
        CHECK(other->name != asked->name);
      }
      SUBCASE("and another instance if that reader's data is stale") {
        source.OnResponse(asked->name, Seconds(4), kStart);
        const auto other =
            source.StartRequest(kStart, true, kStart + Millis(100), &next);
        REQUIRE(other);
        CHECK(other->name != asked->name);
      }
      SUBCASE("and reads the store itself once its own data is stale") {
        CHECK(source.ShouldReadStore(kStart, kStart + Seconds(3)));
      }
    }
    SUBCASE("takes non-readers if no reader responds") {
      std::set<std::string> asked;
      Time now = kStart;
      for (int i = 0; i < 8; ++i, now += Millis(100)) {
        const auto instance = source.StartRequest(kStart, false, now, &next);
        if (!instance)
          continue;
        asked.insert(instance->name);
        source.OnFailure(instance->name, now);
      }
      CHECK(asked.size() >= 6);
    }
  }
  SUBCASE("takes another reader for a reader whose calls the store rejects") {
    FeedSourceSelector source(fleet[0], kRegions, 1);
    source.Update(fleet);
    REQUIRE(source.is_reader());
    CHECK_FALSE(source.StartRequest(kStart, true, kStart, &next));
    CHECK(source.StartRequest(kStart, false, kStart, &next));
  }
}

}  // namespace
}  // namespace limpetrudder
