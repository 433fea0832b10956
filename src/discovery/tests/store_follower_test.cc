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
  StoreFollower follower({Millis(1000), 7});
  Time next{};
  const auto call = follower.Turn(kStart, &next);
  REQUIRE(call);
  REQUIRE(std::get<ListPage>(*call).after_key.empty());
  CHECK(std::get<ListPage>(*call).may_be_old);

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
    const auto batch = follower.OnReply(Reply(45, {Item("c", 44)}), kStart);
    REQUIRE(batch);
    CHECK(batch->whole);
    CHECK(batch->items.size() == 3);
    const auto changes = follower.Turn(kStart, &next);
    REQUIRE(changes);
    CHECK(std::get<ReadChanges>(*changes).after_revision == 40);
  }
  SUBCASE("once listed") {
    follower.OnReply(Reply(40, {Item("a", 1)}), kStart);
    follower.Turn(kStart, &next);
    const auto batch = follower.OnReply(Reply(42, {Item("a", 42)}), kStart);
    REQUIRE(batch);
    CHECK_FALSE(batch->whole);

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
      CHECK_FALSE(std::get<ListPage>(*again).may_be_old);
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
      CHECK_FALSE(follower.in_contact());

      SUBCASE("and says, once it is back, that entries may have lapsed") {
        while (!follower.Turn(now, &next))
          now += Millis(10);
        const auto back = follower.OnReply(Reply(60), now);
        REQUIRE(back);
        CHECK(back->store_back);
        CHECK(follower.in_contact());
      }
    }
    SUBCASE("takes what another instance passes on, and isn't set back by it") {
      CHECK(follower.OnPassedOn(Reply(50, {Item("b", 50)}), kStart));
      CHECK(follower.revision() == 50);
      CHECK_FALSE(follower.OnPassedOn(Reply(45, {Item("c", 45)}), kStart));
      CHECK(follower.revision() == 50);

      SUBCASE("nor by the store's own answer to an earlier question") {
        follower.Turn(kStart + Seconds(2), &next);
        CHECK_FALSE(follower.OnReply(Reply(44), kStart + Seconds(2)));
        CHECK(follower.revision() == 50);
      }
    }
    SUBCASE("knows how old the news of another instance is") {
      FeedReply old = Reply(50);
      old.age = Millis(700);
      follower.OnPassedOn(std::move(old), kStart + Seconds(5));
      CHECK(follower.heard() == kStart + Seconds(5) - Millis(700));
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
    const auto batch = follower.OnPassedOn(std::move(whole), kStart);
    REQUIRE(batch);
    CHECK(batch->whole);
    const auto changes = follower.Turn(kStart + Seconds(3), &next);
    REQUIRE(changes);
    CHECK(std::get<ReadChanges>(*changes).after_revision == 30);
  }
}

}  // namespace
}  // namespace limpetrudder
