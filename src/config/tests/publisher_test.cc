#include <doctest/doctest.h>

#include "config/publisher.h"
#include "config/tests/fake_platform.h"
#include "config/tests/test_document.h"
#include "framework/random.h"

namespace limpetrudder {
namespace {

Change MakeChange(const std::string& id, std::uint64_t base, int deadline_ms) {
  nlohmann::json json = TestDocumentJson(1, 2);
  json["collections"][0]["deadline_ms"] = deadline_ms;
  return {id,
          base,
          "operator-" + id,
          "a reason",
          "2026-12-04T00:00:00Z",
          std::move(SplitIntoParts(json).assume_value())};
}

PublishOutcome Run(FakePlatform* platform, Publisher* publisher) {
  while (!publisher->outcome())
    publisher->OnReply(platform->Call(*publisher->next_call()));
  return *publisher->outcome();
}

PublishOutcome Submit(FakePlatform* platform, const Change& change) {
  Publisher publisher(change, 0);
  return Run(platform, &publisher);
}

std::uint64_t RevisionIn(const FakePlatform& platform) {
  return ReadRoot(platform.Value(kRootKey)).assume_value().manifest.revision;
}

TEST_SUITE("promise-8") {
  TEST_CASE("Publisher makes an accepted change take effect exactly once") {
    FakePlatform platform;
    REQUIRE(Submit(&platform, MakeChange("a", 0, 100)).revision == 1);

    SUBCASE("when the reply to the root write is lost after it took effect") {
      platform.LoseReplies(1);
      const auto outcome = Submit(&platform, MakeChange("b", 1, 200));
      CHECK(outcome.code == ResultCode::kOk);
      CHECK(outcome.revision == 2);
      CHECK(RevisionIn(platform) == 2);
    }
    SUBCASE("when the replies to two root writes in a row are lost") {
      platform.LoseReplies(2);
      const auto outcome = Submit(&platform, MakeChange("b", 1, 200));
      CHECK(outcome.code == ResultCode::kOk);
      CHECK(outcome.revision == 2);
      CHECK(RevisionIn(platform) == 2);
    }
    SUBCASE(
        "when a delayed root write arrives after the publisher retried it") {
      platform.DelayWrites(1);
      CHECK(Submit(&platform, MakeChange("b", 1, 200)).revision == 2);
      platform.ApplyDelayedWrites();
      CHECK(RevisionIn(platform) == 2);
    }
    SUBCASE("and reports an unknown outcome when the platform stops replying") {
      Publisher publisher(MakeChange("b", 1, 200), 1);
      platform.LoseReplies(1);
      while (publisher.next_call()->key != kRootKey ||
             publisher.next_call()->kind != KvCallKind::kWrite) {
        publisher.OnReply(platform.Call(*publisher.next_call()));
      }
      publisher.OnReply(platform.Call(*publisher.next_call()));
      platform.SetOutage(true);
      CHECK(Run(&platform, &publisher).code ==
            ResultCode::kConfigOutcomeUnknown);

      platform.SetOutage(false);
      const auto again = Submit(&platform, MakeChange("b", 1, 200));
      CHECK(again.code == ResultCode::kOk);
      CHECK(again.revision == 2);
      CHECK(RevisionIn(platform) == 2);
    }
    SUBCASE("and reports no change when the platform is down from the start") {
      platform.SetOutage(true);
      CHECK(Submit(&platform, MakeChange("b", 1, 200)).code ==
            ResultCode::kPlatformUnavailable);
      platform.SetOutage(false);
      CHECK(RevisionIn(platform) == 1);
    }
    SUBCASE("and refuses a change id that was used for another document") {
      CHECK(Submit(&platform, MakeChange("a", 1, 300)).code ==
            ResultCode::kChangeReused);
    }
    SUBCASE(
        "with a higher revision after the platform was restored from a copy") {
      Publisher publisher(MakeChange("b", 7, 200), 7);
      CHECK(Run(&platform, &publisher).revision == 8);
    }
  }

  TEST_CASE("Of concurrent publishers exactly one gets each revision") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      CAPTURE(seed);
      Random random(seed);
      FakePlatform platform;
      REQUIRE(Submit(&platform, MakeChange("first", 0, 50)).revision == 1);
      constexpr int kOperators = 20;
      std::vector<std::unique_ptr<Publisher>> publishers;
      for (int i = 0; i < kOperators; ++i) {
        publishers.push_back(std::make_unique<Publisher>(
            MakeChange(std::to_string(i), 1, 100 + i), 0));
      }
      platform.LoseReplies(static_cast<int>(random.Below(3)));
      int running = kOperators;
      while (running > 0) {
        auto& publisher = publishers[random.Below(kOperators)];
        if (publisher->outcome())
          continue;
        publisher->OnReply(platform.Call(*publisher->next_call()));
        if (publisher->outcome())
          --running;
      }
      int winners = 0;
      for (const auto& publisher : publishers) {
        const auto& outcome = *publisher->outcome();
        if (outcome.code == ResultCode::kOk) {
          ++winners;
          continue;
        }
        REQUIRE(outcome.code == ResultCode::kConfigConflict);
        REQUIRE(outcome.since_base.size() == 1);
        REQUIRE(outcome.since_base[0].author.starts_with("operator-"));
      }
      REQUIRE(winners == 1);
      REQUIRE(RevisionIn(platform) == 2);
    }
  }
}

TEST_CASE(
    "Publisher keeps the stored parts bounded and those of the root complete") {
  FakePlatform platform;
  for (std::uint64_t i = 0; i < 30; ++i) {
    // The documents repeat, so parts that were dropped before are used again.
    const int deadline = 100 + static_cast<int>(i % 7);
    REQUIRE(Submit(&platform, MakeChange(std::to_string(i), i, deadline))
                .revision == i + 1);
    const auto root = ReadRoot(platform.Value(kRootKey)).assume_value();
    for (const auto& name : root.manifest.parts)
      REQUIRE_FALSE(platform.Value(PartKey(name)).empty());
    CHECK(platform.size() <= 3 + 1 + kRetainedRevisions);
  }
}

TEST_CASE("A part that is used again isn't erased by a concurrent publisher") {
  FakePlatform platform;
  for (std::uint64_t i = 0; i < 5; ++i) {
    REQUIRE(Submit(&platform, MakeChange("c" + std::to_string(i), i,
                                         100 + static_cast<int>(i)))
                .revision == i + 1);
  }
  Publisher erasing(MakeChange("d", 5, 500), 0);
  while (erasing.next_call()->kind != KvCallKind::kErase) {
    erasing.OnReply(platform.Call(*erasing.next_call()));
    REQUIRE(erasing.next_call());
  }
  REQUIRE(Submit(&platform, MakeChange("e", 6, 100)).revision == 7);
  Run(&platform, &erasing);
  const auto root = ReadRoot(platform.Value(kRootKey)).assume_value();
  for (const auto& name : root.manifest.parts)
    CHECK_FALSE(platform.Value(PartKey(name)).empty());
}

}  // namespace
}  // namespace limpetrudder
