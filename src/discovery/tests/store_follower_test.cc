#include <doctest/doctest.h>

#include "discovery/store_follower.h"

namespace limpetrudder {
namespace {

RawItem Item(const std::string& key, std::uint64_t revision) {
  return {key, "{}", revision};
}

FeedReply Reply(std::uint64_t revision, std::vector<RawItem> items = {}) {
  FeedReply reply;
  reply.status = FeedStatus::kOk;
  reply.era = 1;
  reply.revision = revision;
  reply.items = std::move(items);
  return reply;
}

FeedReply Failed(FeedStatus status) {
  FeedReply reply;
  reply.status = status;
  return reply;
}

const Time kStart = Time(Seconds(50));

TEST_CASE("Following the store") {
  StoreFollowerSettings settings;
  settings.seed = 7;
  StoreFollower follower(settings);
  Time next{};
  const auto call = follower.Turn(kStart, &next);
  REQUIRE(call);
  REQUIRE(std::get<ListPage>(*call).after_key.empty());
  CHECK(std::get<ListPage>(*call).allow_stale);

  SUBCASE("makes one call at a time") {
    CHECK_FALSE(follower.Turn(kStart, &next));
  }
  SUBCASE("lists page by page, and reads what changed since the first page") {
    FeedReply first = Reply(40, {Item("a", 1), Item("b", 2)});
    first.has_more = true;
    CHECK_FALSE(follower.OnReply(std::move(first), kStart));
    const auto second = follower.Turn(kStart, &next);
    REQUIRE(second);
    CHECK(std::get<ListPage>(*second).after_key == "b");
    const auto update = follower.OnReply(Reply(45, {Item("c", 44)}), kStart);
    REQUIRE(update);
    CHECK(update->whole);
    CHECK(update->items.size() == 3);
    const auto changes = follower.Turn(kStart, &next);
    REQUIRE(changes);
    CHECK(std::get<ReadChanges>(*changes).after == StorePosition{1, 40});
  }
  SUBCASE("once listed") {
    follower.OnReply(Reply(40, {Item("a", 1)}), kStart);
    follower.Turn(kStart, &next);
    const auto update = follower.OnReply(Reply(42, {Item("a", 42)}), kStart);
    REQUIRE(update);
    CHECK_FALSE(update->whole);

    SUBCASE("waits for its interval") {
      CHECK_FALSE(follower.Turn(kStart + Millis(800), &next));
      CHECK(next > kStart + Millis(800));
      CHECK(follower.Turn(kStart + Millis(1200), &next));
    }
    SUBCASE("lists anew, and nothing old, when the history is gone") {
      follower.Turn(kStart + Seconds(2), &next);
      follower.OnReply(Failed(FeedStatus::kHistoryLost), kStart + Seconds(2));
      const auto again = follower.Turn(kStart + Seconds(2), &next);
      REQUIRE(again);
      CHECK_FALSE(std::get<ListPage>(*again).allow_stale);
    }
    SUBCASE("asks a store that is away less and less often") {
      Time now = kStart + Seconds(2);
      int calls = 0;
      for (; now < kStart + Seconds(12); now += Millis(10)) {
        if (follower.Turn(now, &next)) {
          ++calls;
          follower.OnReply(Failed(FeedStatus::kRefused), now);
        }
      }
      CHECK(calls < 14);
      CHECK_FALSE(follower.is_store_reachable());

      SUBCASE("and says, once it is back, that entries may have lapsed") {
        while (!follower.Turn(now, &next))
          now += Millis(10);
        const auto back = follower.OnReply(Reply(60), now);
        REQUIRE(back);
        CHECK(back->after_outage);
        CHECK(follower.is_store_reachable());
      }
    }
    SUBCASE("takes what another instance passes on, and isn't set back by it") {
      CHECK(follower.OnFeedResponse(Reply(50, {Item("b", 50)}), kStart));
      CHECK(follower.position() == StorePosition{1, 50});
      CHECK_FALSE(follower.OnFeedResponse(Reply(45, {Item("c", 45)}), kStart));
      CHECK(follower.position() == StorePosition{1, 50});

      SUBCASE("nor by the store's own answer to an earlier request") {
        follower.Turn(kStart + Seconds(2), &next);
        CHECK_FALSE(follower.OnReply(Reply(44), kStart + Seconds(2)));
        CHECK(follower.position() == StorePosition{1, 50});
      }
    }
    SUBCASE("whose store comes back from an older copy") {
      const auto in_era = [](std::uint64_t era, FeedReply reply) {
        reply.era = era;
        return reply;
      };
      Time now = kStart + Seconds(2);
      REQUIRE(follower.Turn(now, &next));

      SUBCASE("lists anew, and then goes on from the lower revision") {
        // NOTE Changes since a revision of the other era mean nothing.
        CHECK_FALSE(
            follower.OnReply(in_era(2, Reply(70, {Item("z", 60)})), now));
        const auto again = follower.Turn(now, &next);
        REQUIRE(again);
        CHECK_FALSE(std::get<ListPage>(*again).allow_stale);
        const auto update =
            follower.OnReply(in_era(2, Reply(30, {Item("a", 1)})), now);
        REQUIRE(update);
        CHECK(update->whole);
        CHECK(update->after_outage);
        REQUIRE(update->restored_from);
        CHECK(*update->restored_from == StorePosition{1, 42});
        CHECK(follower.position() == StorePosition{2, 30});

        SUBCASE("and believes no answer of before") {
          follower.Turn(now + Seconds(2), &next);
          CHECK_FALSE(follower.OnReply(Reply(90), now + Seconds(2)));
          CHECK_FALSE(follower.OnFeedResponse(Reply(95), now + Seconds(2)));
          CHECK(follower.position() == StorePosition{2, 30});
        }
      }
      SUBCASE("hears of it from another instance") {
        FeedReply whole = in_era(2, Reply(30, {Item("a", 1)}));
        whole.whole = true;
        const auto update = follower.OnFeedResponse(std::move(whole), now);
        REQUIRE(update);
        CHECK(update->restored_from);

        SUBCASE("and doesn't take the answer to what it had asked before") {
          CHECK_FALSE(follower.OnReply(in_era(2, Reply(50)), now));
          CHECK(follower.position() == StorePosition{2, 30});
        }
      }
      SUBCASE("takes no difference to a time that it doesn't know") {
        CHECK_FALSE(follower.OnFeedResponse(in_era(2, Reply(30)), now));
        CHECK(follower.position() == StorePosition{1, 42});
      }
      SUBCASE("without telling its era, is asked at a pace") {
        int calls = 0;
        int listings = 0;
        follower.OnReply(Failed(FeedStatus::kHistoryLost), now);
        for (const Time end = now + Seconds(15); now < end; now += Millis(4)) {
          const auto asked = follower.Turn(now, &next);
          if (!asked)
            continue;
          ++calls;
          const bool lists = std::holds_alternative<ListPage>(*asked);
          listings += lists ? 1 : 0;
          FeedReply reply =
              lists ? Reply(30) : Failed(FeedStatus::kHistoryLost);
          reply.era.reset();
          follower.OnReply(std::move(reply), now);
        }
        CHECK(listings <= 16);
        CHECK(calls <= 32);
      }
    }
    SUBCASE("knows how old the news of another instance is") {
      FeedReply old = Reply(50);
      old.age = Millis(700);
      follower.OnFeedResponse(std::move(old), kStart + Seconds(5));
      CHECK(follower.last_response() == kStart + Seconds(5) - Millis(700));
    }
  }
  SUBCASE("asks a store that is away twice a second while it knows nothing") {
    follower.OnReply(Failed(FeedStatus::kRefused), kStart);
    int calls = 0;
    for (Time now = kStart; now < kStart + Seconds(10); now += Millis(10)) {
      if (follower.Turn(now, &next)) {
        ++calls;
        follower.OnReply(Failed(FeedStatus::kRefused), now);
      }
    }
    CHECK(calls >= 20);
    CHECK(calls <= 40);
  }
  SUBCASE("begins with what another instance knows if the store is away") {
    follower.OnReply(Failed(FeedStatus::kNoReply), kStart);
    FeedReply whole = Reply(30, {Item("a", 1)});
    whole.whole = true;
    const auto update = follower.OnFeedResponse(std::move(whole), kStart);
    REQUIRE(update);
    CHECK(update->whole);
    const auto changes = follower.Turn(kStart + Seconds(3), &next);
    REQUIRE(changes);
    CHECK(std::get<ReadChanges>(*changes).after == StorePosition{1, 30});
  }
}

}  // namespace
}  // namespace limpetrudder
