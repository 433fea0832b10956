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
  const auto call = follower.NextCall(kStart, &next);
  REQUIRE(call);
  REQUIRE(std::get<ListPage>(*call).after_key.empty());
  CHECK(std::get<ListPage>(*call).allow_stale);

  SUBCASE("makes one call to the store at a time") {
    CHECK_FALSE(follower.NextCall(kStart, &next));
  }
  SUBCASE("lists page by page, then reads changes since the first page") {
    FeedReply first = Reply(40, {Item("a", 1), Item("b", 2)});
    first.has_more = true;
    CHECK_FALSE(follower.OnReply(std::move(first), kStart));
    const auto second = follower.NextCall(kStart, &next);
    REQUIRE(second);
    CHECK(std::get<ListPage>(*second).after_key == "b");
    const auto update = follower.OnReply(Reply(45, {Item("c", 44)}), kStart);
    REQUIRE(update);
    CHECK(update->whole);
    CHECK(update->items.size() == 3);
    const auto changes = follower.NextCall(kStart, &next);
    REQUIRE(changes);
    CHECK(std::get<ReadChanges>(*changes).after == StorePosition{1, 40});
  }
  SUBCASE("once all items are listed") {
    follower.OnReply(Reply(40, {Item("a", 1)}), kStart);
    follower.NextCall(kStart, &next);
    const auto update = follower.OnReply(Reply(42, {Item("a", 42)}), kStart);
    REQUIRE(update);
    CHECK_FALSE(update->whole);

    SUBCASE("waits for its interval between two reads of changes") {
      CHECK_FALSE(follower.NextCall(kStart + Millis(800), &next));
      CHECK(next > kStart + Millis(800));
      CHECK(follower.NextCall(kStart + Millis(1200), &next));
    }
    SUBCASE(
        "lists all items again, none stale, when the store dropped its "
        "history") {
      follower.NextCall(kStart + Seconds(2), &next);
      follower.OnReply(Failed(FeedStatus::kHistoryLost), kStart + Seconds(2));
      const auto again = follower.NextCall(kStart + Seconds(2), &next);
      REQUIRE(again);
      CHECK_FALSE(std::get<ListPage>(*again).allow_stale);
    }
    SUBCASE("calls a store that rejects its calls at growing intervals") {
      Time now = kStart + Seconds(2);
      int calls = 0;
      for (; now < kStart + Seconds(12); now += Millis(10)) {
        if (follower.NextCall(now, &next)) {
          ++calls;
          follower.OnReply(Failed(FeedStatus::kRefused), now);
        }
      }
      CHECK(calls < 14);
      CHECK_FALSE(follower.is_store_reachable());

      SUBCASE("and reports on its recovery that entries may have lapsed") {
        while (!follower.NextCall(now, &next))
          now += Millis(10);
        const auto back = follower.OnReply(Reply(60), now);
        REQUIRE(back);
        CHECK(back->after_outage);
        CHECK(follower.is_store_reachable());
      }
    }
    SUBCASE("takes feed responses of other instances unless they are older") {
      CHECK(follower.OnFeedResponse(Reply(50, {Item("b", 50)}), kStart));
      CHECK(follower.position() == StorePosition{1, 50});
      CHECK_FALSE(follower.OnFeedResponse(Reply(45, {Item("c", 45)}), kStart));
      CHECK(follower.position() == StorePosition{1, 50});

      SUBCASE(
          "and ignores a reply of the store that is older than a feed "
          "response") {
        follower.NextCall(kStart + Seconds(2), &next);
        CHECK_FALSE(follower.OnReply(Reply(44), kStart + Seconds(2)));
        CHECK(follower.position() == StorePosition{1, 50});
      }
    }
    SUBCASE("and with a store that is restored from an older copy") {
      const auto in_era = [](std::uint64_t era, FeedReply reply) {
        reply.era = era;
        return reply;
      };
      Time now = kStart + Seconds(2);
      REQUIRE(follower.NextCall(now, &next));

      SUBCASE("lists all items again and goes on from the lower revision") {
        // Changes since a revision of the other era can't be applied.
        CHECK_FALSE(
            follower.OnReply(in_era(2, Reply(70, {Item("z", 60)})), now));
        const auto again = follower.NextCall(now, &next);
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

        SUBCASE("and ignores replies of the earlier era") {
          follower.NextCall(now + Seconds(2), &next);
          CHECK_FALSE(follower.OnReply(Reply(90), now + Seconds(2)));
          CHECK_FALSE(follower.OnFeedResponse(Reply(95), now + Seconds(2)));
          CHECK(follower.position() == StorePosition{2, 30});
        }
      }
      SUBCASE(
          "learns of the restore from the feed response of another instance") {
        FeedReply whole = in_era(2, Reply(30, {Item("a", 1)}));
        whole.whole = true;
        const auto update = follower.OnFeedResponse(std::move(whole), now);
        REQUIRE(update);
        CHECK(update->restored_from);

        SUBCASE(
            "and ignores the reply to a call that was pending at the restore") {
          CHECK_FALSE(follower.OnReply(in_era(2, Reply(50)), now));
          CHECK(follower.position() == StorePosition{2, 30});
        }
      }
      SUBCASE("ignores changes since a position of an unknown era") {
        CHECK_FALSE(follower.OnFeedResponse(in_era(2, Reply(30)), now));
        CHECK(follower.position() == StorePosition{1, 42});
      }
      SUBCASE("calls it at a limited rate if its replies don't name its era") {
        int calls = 0;
        int listings = 0;
        follower.OnReply(Failed(FeedStatus::kHistoryLost), now);
        for (const Time end = now + Seconds(15); now < end; now += Millis(4)) {
          const auto due_call = follower.NextCall(now, &next);
          if (!due_call)
            continue;
          ++calls;
          const bool lists = std::holds_alternative<ListPage>(*due_call);
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
    SUBCASE("takes the age of a feed response into account") {
      FeedReply old = Reply(50);
      old.age = Millis(700);
      follower.OnFeedResponse(std::move(old), kStart + Seconds(5));
      CHECK(follower.last_response() == kStart + Seconds(5) - Millis(700));
    }
  }
  SUBCASE(
      "calls a store that rejects calls two to four times a second until it is "
      "listed") {
    follower.OnReply(Failed(FeedStatus::kRefused), kStart);
    int calls = 0;
    for (Time now = kStart; now < kStart + Seconds(10); now += Millis(10)) {
      if (follower.NextCall(now, &next)) {
        ++calls;
        follower.OnReply(Failed(FeedStatus::kRefused), now);
      }
    }
    CHECK(calls >= 20);
    CHECK(calls <= 40);
  }
  SUBCASE(
      "starts from the items of another instance if the store is unreachable") {
    follower.OnReply(Failed(FeedStatus::kNoReply), kStart);
    FeedReply whole = Reply(30, {Item("a", 1)});
    whole.whole = true;
    const auto update = follower.OnFeedResponse(std::move(whole), kStart);
    REQUIRE(update);
    CHECK(update->whole);
    const auto changes = follower.NextCall(kStart + Seconds(3), &next);
    REQUIRE(changes);
    CHECK(std::get<ReadChanges>(*changes).after == StorePosition{1, 30});
  }
}

}  // namespace
}  // namespace limpetrudder
