#include <algorithm>
#include <functional>

#include <doctest/doctest.h>

#include "dispatch/internal/answer_policy.h"
#include "dispatch/internal/hedge_policy.h"
#include "dispatch/internal/record_merge.h"
#include "dispatch/internal/topology.h"
#include "dispatch/internal/weighted_split.h"
#include "framework/random.h"

namespace limpetrudder::detail {
namespace {

std::string Record(char first, char last) {
  std::string record(kRecordBytes, 'm');
  record.front() = first;
  record.back() = last;
  return record;
}

TEST_CASE("Merging the records of parts") {
  SUBCASE("returns the greatest records, greatest first") {
    const std::string a = Record('a', '1') + Record('z', '1');
    const std::string b = Record('q', '1');
    CHECK(MergeGreatest({a, b}, 2) == Record('z', '1') + Record('q', '1'));
  }
  SUBCASE("keeps equal records") {
    const std::string a = Record('z', '1') + Record('a', '1');
    CHECK(MergeGreatest({a, a}, 2) == Record('z', '1') + Record('z', '1'));
  }
  SUBCASE("ignores a remainder shorter than a record") {
    const std::string a = Record('a', '1') + std::string(15, 'z');
    CHECK(MergeGreatest({a}, 5) == Record('a', '1'));
  }
  SUBCASE("compares record bytes as unsigned") {
    const std::string a = Record('\x7f', '1');
    const std::string b = Record('\x80', '1');
    CHECK(MergeGreatest({a, b}, 1) == b);
  }
  SUBCASE("returns fewer records if there are fewer, and none of no parts") {
    CHECK(MergeGreatest({Record('a', '1')}, 50).size() == kRecordBytes);
    CHECK(MergeGreatest({}, 50).empty());
  }
  SUBCASE("gives the same result if some parts were merged in a batch before") {
    Random random(5);
    std::vector<std::string> parts(9);
    for (auto& part : parts) {
      for (int i = 0; i < 20; ++i) {
        part += Record(static_cast<char>(random.Below(256)),
                       static_cast<char>(random.Below(256)));
      }
    }
    const std::vector<std::string_view> all(parts.begin(), parts.end());
    for (std::size_t cut = 1; cut < parts.size(); ++cut) {
      const std::string batch = MergeGreatest(
          {all.begin() + static_cast<std::ptrdiff_t>(cut), all.end()}, 12);
      std::vector<std::string_view> mixed(
          all.begin(), all.begin() + static_cast<std::ptrdiff_t>(cut));
      mixed.emplace_back(batch);
      CHECK(MergeGreatest(mixed, 12) == MergeGreatest(all, 12));
    }
  }
}

TEST_CASE("Splitting a route's requests by weight") {
  Route route;
  route.name = "r";
  route.backends = {{"a", 70}, {"b", 20}, {"c", 10}};
  WeightedSplit split;
  std::vector<int> counts(3);

  SUBCASE("gives each service exactly its share over a full round") {
    for (int i = 0; i < 100; ++i)
      ++counts[split.Next(route)];
    CHECK(counts == std::vector<int>{70, 20, 10});
  }
  SUBCASE("stays near each service's share within a round") {
    for (int i = 1; i <= 57; ++i) {
      ++counts[split.Next(route)];
      CHECK(std::abs(counts[0] - 0.7 * i) < 2);
      CHECK(std::abs(counts[2] - 0.1 * i) < 2);
    }
  }
  SUBCASE("applies changed weights at once") {
    split.Next(route);
    route.backends = {{"a", 1}, {"b", 0}};
    for (int i = 0; i < 10; ++i)
      CHECK(split.Next(route) == 0);
  }
}

TEST_CASE("The delay before a hedge") {
  const WorkTimes work{Millis(20), Millis(40)};

  SUBCASE("is long enough for nearly all first answers") {
    CHECK(HedgeDelay({work, Millis(1), Millis(16), Millis(60)}) == Millis(41));
  }
  SUBCASE("is short enough that the hedge meets the latency target") {
    const Duration delay =
        HedgeDelay({work, Millis(1), Millis(16), Millis(140)});
    CHECK(delay + Millis(16) + Millis(40) <= Millis(140));
    CHECK(delay > Millis(41));
  }
  SUBCASE("is limited even if the latency target leaves more time") {
    CHECK(HedgeDelay({work, Millis(1), Millis(16), Millis(2000)}) ==
          Millis(81));
  }
}

TEST_CASE("A sub-query without an answer is hedged") {
  SUBCASE("as a straggler, once half of its call's sub-queries have one") {
    CHECK_FALSE(IsStraggler(0, 1));
    CHECK_FALSE(IsStraggler(9, 20));
    CHECK(IsStraggler(10, 20));
    CHECK(IsStraggler(1, 2));
  }
  SUBCASE("otherwise as late as a hedge can meet the latency target") {
    const WorkTimes work{Millis(20), Millis(40)};
    CHECK(MaxHedgeDelay(work, Millis(250)) == Millis(190));
    CHECK(MaxHedgeDelay(work, Millis(50)) < Millis(0));
  }
}

class AnswerFixture {
 public:
  AnswerFixture() {
    for (int i = 0; i < 20; ++i)
      route.shards.push_back("s" + std::to_string(i));
    route.coverage_floor = 0.89;
    call.route = &route;
    call.sub_queries.resize(20);
    call.answer_by = Time(Millis(190));
    call.deadline = Time(Millis(1900));
  }

  AnswerDecision At(std::int64_t millis, int answered, int failed) {
    call.answered = static_cast<std::uint32_t>(answered);
    call.failed = static_cast<std::uint32_t>(failed);
    return DecideAnswer(call, Time(Millis(millis)));
  }

  Route route;
  ActiveCall call;
};

TEST_CASE("A query is decided") {
  AnswerFixture fixture;

  SUBCASE("at once if all parts are in") {
    CHECK(fixture.At(20, 20, 0) == AnswerDecision::kAnswer);
  }
  SUBCASE("at the latency target with a part missing") {
    CHECK(fixture.At(189, 19, 0) == AnswerDecision::kWait);
    CHECK(fixture.At(190, 19, 0) == AnswerDecision::kAnswer);
  }
  SUBCASE("at once with a part missing if no more parts can arrive") {
    CHECK(fixture.At(20, 19, 1) == AnswerDecision::kAnswer);
  }
  SUBCASE("never below the coverage floor: 0.89 of 20 parts means 18") {
    CHECK(MinParts(fixture.route) == 18);
    CHECK(fixture.At(190, 17, 0) == AnswerDecision::kWait);
    CHECK(fixture.At(500, 18, 0) == AnswerDecision::kAnswer);
  }
  SUBCASE("as given up at once when the coverage floor can't be reached") {
    CHECK(fixture.At(20, 10, 3) == AnswerDecision::kGiveUp);
    CHECK(fixture.At(20, 10, 2) == AnswerDecision::kWait);
  }
  SUBCASE("as given up at the deadline") {
    CHECK(fixture.At(1900, 17, 0) == AnswerDecision::kGiveUp);
  }
  SUBCASE("without rounding up a coverage floor that is a whole number") {
    fixture.route.coverage_floor = 0.95;
    CHECK(MinParts(fixture.route) == 19);
    fixture.route.coverage_floor = 0.85;
    CHECK(MinParts(fixture.route) == 17);
  }
  SUBCASE("for a delegating instance, once its query can lack the rest") {
    fixture.call.call.only_shards = {"s0"};
    fixture.call.call.max_missing = 2;
    CHECK(fixture.At(189, 18, 0) == AnswerDecision::kWait);
    CHECK(fixture.At(190, 18, 0) == AnswerDecision::kAnswer);
    CHECK(fixture.At(190, 17, 0) == AnswerDecision::kWait);
    CHECK(fixture.At(500, 18, 0) == AnswerDecision::kAnswer);

    const auto fail = [&fixture](ResultCode code, std::uint32_t runs) {
      for (std::size_t sub_query = 0; sub_query < 3; ++sub_query) {
        fixture.call.sub_queries[sub_query].state = SubQueryState::kFailed;
        fixture.call.sub_queries[sub_query].code = code;
        fixture.call.sub_queries[sub_query].runs = runs;
      }
    };
    SUBCASE("or at once if its query can't be answered any more") {
      fail(ResultCode::kServerFailed, 1);
      CHECK(fixture.At(50, 3, 3) == AnswerDecision::kAnswer);
      CHECK(fixture.At(1900, 17, 0) == AnswerDecision::kAnswer);
    }
    SUBCASE("or with all parts that arrive if it can retry the rest itself") {
      fail(ResultCode::kServerShed, 0);
      CHECK(fixture.At(50, 3, 3) == AnswerDecision::kWait);
      CHECK(fixture.At(60, 17, 3) == AnswerDecision::kAnswer);
      CHECK(fixture.At(1900, 3, 3) == AnswerDecision::kAnswer);
    }
  }
}

TEST_CASE("A topology measures round trips") {
  Topology topology("kgn-a", {{"kgn-a", "k"}, {"kgn-b", "k"}, {"mbj-a", "m"}});
  CHECK(topology.DistanceTo("kgn-a") == Distance::kSameDataCentre);
  CHECK(topology.DistanceTo("kgn-b") == Distance::kSameRegion);
  CHECK(topology.DistanceTo("mbj-a") == Distance::kOtherRegion);
  CHECK(topology.DistanceTo("unknown") == Distance::kOtherRegion);
  topology.OnConnected("mbj-a", Millis(16));
  CHECK(topology.RoundTrip("mbj-a") == Millis(16));

  SUBCASE("and gives one slow connection little weight") {
    topology.OnConnected("mbj-a", Millis(1000));
    CHECK(topology.RoundTrip("mbj-a") < Millis(30));
  }
}

}  // namespace
}  // namespace limpetrudder::detail
