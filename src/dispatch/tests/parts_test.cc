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

TEST_CASE("Merging parts") {
  SUBCASE("gives the greatest records, greatest first") {
    const std::string a = Record('a', '1') + Record('z', '1');
    const std::string b = Record('q', '1');
    CHECK(MergeGreatest({a, b}, 2) == Record('z', '1') + Record('q', '1'));
  }
  SUBCASE("counts equal records each") {
    const std::string a = Record('z', '1') + Record('a', '1');
    CHECK(MergeGreatest({a, a}, 2) == Record('z', '1') + Record('z', '1'));
  }
  SUBCASE("leaves out a remainder that is no record") {
    const std::string a = Record('a', '1') + std::string(15, 'z');
    CHECK(MergeGreatest({a}, 5) == Record('a', '1'));
  }
  SUBCASE("compares bytes as unsigned") {
    const std::string a = Record('\x7f', '1');
    const std::string b = Record('\x80', '1');
    CHECK(MergeGreatest({a, b}, 1) == b);
  }
  SUBCASE("gives less if there is less, and nothing of nothing") {
    CHECK(MergeGreatest({Record('a', '1')}, 50).size() == kRecordBytes);
    CHECK(MergeGreatest({}, 50).empty());
  }
  SUBCASE("agrees with merged batches, however they are divided") {
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

TEST_CASE("Dividing a route by weights") {
  Route route;
  route.name = "r";
  route.backends = {{"a", 70}, {"b", 20}, {"c", 10}};
  WeightedSplit split;
  std::vector<int> counts(3);

  SUBCASE("keeps each share exactly over a round") {
    for (int i = 0; i < 100; ++i)
      ++counts[split.Next(route)];
    CHECK(counts == std::vector<int>{70, 20, 10});
  }
  SUBCASE("stays near it at any moment") {
    for (int i = 1; i <= 57; ++i) {
      ++counts[split.Next(route)];
      CHECK(std::abs(counts[0] - 0.7 * i) < 2);
      CHECK(std::abs(counts[2] - 0.1 * i) < 2);
    }
  }
  SUBCASE("follows new weights") {
    split.Next(route);
    route.backends = {{"a", 1}, {"b", 0}};
    for (int i = 0; i < 10; ++i)
      CHECK(split.Next(route) == 0);
  }
}

TEST_CASE("When a second server is asked") {
  const WorkTimes work{Millis(20), Millis(40)};

  SUBCASE("late enough that nearly all first answers are in") {
    CHECK(HedgeDelay({work, Millis(1), Millis(16), Millis(60)}) == Millis(41));
  }
  SUBCASE("early enough that the second answer meets the target") {
    const Duration delay =
        HedgeDelay({work, Millis(1), Millis(16), Millis(140)});
    CHECK(delay + Millis(16) + Millis(40) <= Millis(140));
    CHECK(delay > Millis(41));
  }
  SUBCASE("not only at the last moment if there is much time") {
    CHECK(HedgeDelay({work, Millis(1), Millis(16), Millis(2000)}) ==
          Millis(81));
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

TEST_CASE("When a query is answered") {
  AnswerFixture fixture;

  SUBCASE("whole: at once") {
    CHECK(fixture.At(20, 20, 0) == AnswerDecision::kAnswer);
  }
  SUBCASE("in part: not before its time is up") {
    CHECK(fixture.At(189, 19, 0) == AnswerDecision::kWait);
    CHECK(fixture.At(190, 19, 0) == AnswerDecision::kAnswer);
  }
  SUBCASE("in part: at once if nothing more can come") {
    CHECK(fixture.At(20, 19, 1) == AnswerDecision::kAnswer);
  }
  SUBCASE("never below the floor: 18 of 20 is the least above 0.89") {
    CHECK(MinParts(fixture.route) == 18);
    CHECK(fixture.At(190, 17, 0) == AnswerDecision::kWait);
    CHECK(fixture.At(500, 18, 0) == AnswerDecision::kAnswer);
  }
  SUBCASE("given up at once when the floor is out of reach") {
    CHECK(fixture.At(20, 10, 3) == AnswerDecision::kGiveUp);
    CHECK(fixture.At(20, 10, 2) == AnswerDecision::kWait);
  }
  SUBCASE("given up at the deadline") {
    CHECK(fixture.At(1900, 17, 0) == AnswerDecision::kGiveUp);
  }
  SUBCASE("a floor that counts exactly isn't lost to rounding") {
    fixture.route.coverage_floor = 0.95;
    CHECK(MinParts(fixture.route) == 19);
    fixture.route.coverage_floor = 0.85;
    CHECK(MinParts(fixture.route) == 17);
  }
  SUBCASE("for another instance: when its query can do without the rest") {
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
    SUBCASE("or can't be answered any more, so that it learns that at once") {
      fail(ResultCode::kServerFailed, 1);
      CHECK(fixture.At(50, 3, 3) == AnswerDecision::kAnswer);
      CHECK(fixture.At(1900, 17, 0) == AnswerDecision::kAnswer);
    }
    SUBCASE("or with all that comes if it may get the rest by itself") {
      fail(ResultCode::kServerShed, 0);
      CHECK(fixture.At(50, 3, 3) == AnswerDecision::kWait);
      CHECK(fixture.At(60, 17, 3) == AnswerDecision::kAnswer);
      CHECK(fixture.At(1900, 3, 3) == AnswerDecision::kAnswer);
    }
  }
}

TEST_CASE("A topology learns round trips") {
  Topology topology("kgn-a", {{"kgn-a", "k"}, {"kgn-b", "k"}, {"mbj-a", "m"}});
  CHECK(topology.DistanceTo("kgn-a") == Distance::kSameDataCentre);
  CHECK(topology.DistanceTo("kgn-b") == Distance::kSameRegion);
  CHECK(topology.DistanceTo("mbj-a") == Distance::kOtherRegion);
  CHECK(topology.DistanceTo("unknown") == Distance::kOtherRegion);
  topology.OnConnected("mbj-a", Millis(16));
  CHECK(topology.RoundTrip("mbj-a") == Millis(16));

  SUBCASE("and isn't misled by one slow connection") {
    topology.OnConnected("mbj-a", Millis(1000));
    CHECK(topology.RoundTrip("mbj-a") < Millis(30));
  }
}

}  // namespace
}  // namespace limpetrudder::detail
