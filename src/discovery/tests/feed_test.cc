#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include "discovery/feed_log.h"
#include "discovery/feed_source_selector.h"

namespace limpetrudder {
namespace {

const Time kStart = Time(Seconds(100));

TEST_CASE("A log of what the store says") {
  FeedLog log;
  log.Reset({{"a", "1", 5}, {"b", "1", 6}}, {2, 10});

  SUBCASE("passes on everything to whoever knows less than it began with") {
    const FeedReply reply = log.Since({});
    CHECK(reply.whole);
    CHECK(reply.items.size() == 2);
    CHECK(reply.revision == 10);
  }
  SUBCASE("passes on changes, but no heartbeats") {
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
  SUBCASE("passes on that an item is gone") {
    log.Add({"a", std::nullopt, 11}, true);
    CHECK_FALSE(log.Since({2, 10}).items[0].value);
    CHECK(log.Find("a") == nullptr);
  }
  SUBCASE("keeps a bounded history") {
    for (std::uint64_t i = 0; i <= FeedLog::kMaxChanges; ++i)
      log.Add({"a", "x", 11 + i}, true);
    CHECK(log.Since({2, 10}).whole);
    CHECK_FALSE(log.Since({2, 11}).whole);
  }
  SUBCASE("has no news for whoever is ahead of it") {
    CHECK_FALSE(log.HasChangesSince({2, 20}));
    CHECK_FALSE(log.HasChangesSince({3, 1}));
    CHECK(log.Since({3, 1}).items.empty());
  }
  SUBCASE("passes on everything to whoever knows an earlier era") {
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

// How often the instances that aren't readers call a store of which nothing is
// last_response for `away`, if each asks what is due every 10 ms.
int CallsOfOthers(const std::vector<InstanceEntry>& fleet, Duration away) {
  int calls = 0;
  for (const auto& instance : fleet) {
    FeedSourceSelector source(instance, kRegions, 1);
    source.Update(fleet);
    if (source.is_reader())
      continue;
    for (Time now = kStart; now < kStart + away; now += Millis(10)) {
      if (source.ShouldReadStore(kStart, now)) {
        source.OnStoreRead(now);
        ++calls;
      }
    }
  }
  return calls;
}

TEST_CASE("A store of which nobody hears anything") {
  SUBCASE("is called by ten a second of a large fleet") {
    const auto fleet = Fleet(49);
    const int calls = CallsOfOthers(fleet, Seconds(10));
    CHECK(calls > 30);
    CHECK(calls < 120);
  }
  SUBCASE("is called by each instance of a small one") {
    CHECK(CallsOfOthers(Fleet(2), Seconds(3)) > 6);
  }
}

TEST_CASE("Where an instance learns what the store says") {
  const auto fleet = Fleet(20);
  Time next{};

  SUBCASE("few large instances of all regions read the store") {
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
  SUBCASE("an instance alone reads it itself") {
    FeedSourceSelector source(fleet[1], kRegions, 1);
    source.Update({fleet[1]});
    CHECK(source.ShouldReadStore(kStart, kStart));
    CHECK_FALSE(source.StartRequest(kStart, true, kStart, &next));
  }
  SUBCASE("another one") {
    FeedSourceSelector source(fleet[1], kRegions, 1);
    source.Update(fleet);
    REQUIRE_FALSE(source.is_reader());

    SUBCASE("asks one that is ahead at once, whatever else it has asked") {
      REQUIRE(source.StartRequest(kStart, true, kStart, &next));
      const std::string& ahead = fleet[7].name;
      const auto asked = source.StartNewerRoutesRequest(ahead, kStart);
      REQUIRE(asked);
      CHECK(asked->name == ahead);

      SUBCASE("but not twice, nor right after its answer") {
        CHECK_FALSE(source.StartNewerRoutesRequest(ahead, kStart + Seconds(2)));
        source.OnNewerRoutesRequestEnded();
        CHECK_FALSE(
            source.StartNewerRoutesRequest(ahead, kStart + Millis(100)));
        CHECK(source.StartNewerRoutesRequest(ahead, kStart + Seconds(2)));
      }
    }
    SUBCASE("asks nobody it doesn't know, however far ahead") {
      CHECK_FALSE(source.StartNewerRoutesRequest("unknown", kStart));
    }
    SUBCASE("reads it until it knows anything") {
      CHECK(source.ShouldReadStore(Time::min(), kStart));
    }
    SUBCASE("asks a reader of its region, one request at a time") {
      const auto asked = source.StartRequest(kStart, true, kStart, &next);
      REQUIRE(asked);
      CHECK(kRegions.at(asked->data_centre) == "kgn");
      CHECK_FALSE(source.StartRequest(kStart, true, kStart, &next));
      CHECK_FALSE(source.ShouldReadStore(kStart, kStart + Millis(500)));

      SUBCASE("and another one if that fails") {
        source.OnFailure(asked->name, kStart);
        const auto other =
            source.StartRequest(kStart, true, kStart + Millis(100), &next);
        REQUIRE(other);
        CHECK(other->name != asked->name);
      }
      SUBCASE("and another one if that lost the store itself") {
        source.OnResponse(asked->name, Seconds(4), kStart);
        const auto other =
            source.StartRequest(kStart, true, kStart + Millis(100), &next);
        REQUIRE(other);
        CHECK(other->name != asked->name);
      }
      SUBCASE("and reads the store itself once its news is old") {
        CHECK(source.ShouldReadStore(kStart, kStart + Seconds(3)));
      }
    }
    SUBCASE("asks others when no reader answers") {
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
  SUBCASE("a reader that the store turns away asks another reader") {
    FeedSourceSelector source(fleet[0], kRegions, 1);
    source.Update(fleet);
    REQUIRE(source.is_reader());
    CHECK_FALSE(source.StartRequest(kStart, true, kStart, &next));
    CHECK(source.StartRequest(kStart, false, kStart, &next));
  }
}

}  // namespace
}  // namespace limpetrudder
