#include <set>

#include <doctest/doctest.h>

#include "dispatch/internal/batch_plan.h"
#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

using detail::PlanBatches;
using detail::RemoteSubQuery;

TEST_CASE("Remote sub-queries of a query are planned as batches") {
  Random random(5);

  SUBCASE("in one batch if one data centre serves them all") {
    const auto batches = PlanBatches(
        {{3, {"a", "b"}}, {4, {"b", "c"}}, {7, {"a", "b"}}}, &random);
    REQUIRE(batches.size() == 1);
    CHECK(batches[0].data_centre == "b");
    CHECK(batches[0].sub_queries == std::vector<std::size_t>{3, 4, 7});
  }
  SUBCASE("in two batches if no data centre serves them all") {
    const auto batches = PlanBatches(
        {{0, {"a"}}, {1, {"a"}}, {2, {"b"}}, {3, {"b"}}, {4, {"b"}}}, &random);
    REQUIRE(batches.size() == 2);
    CHECK(batches[0].sub_queries.size() == 3);
    CHECK(batches[1].sub_queries.size() == 2);
  }
  SUBCASE("but not one that would be alone in its batch") {
    const auto batches =
        PlanBatches({{0, {"a"}}, {1, {"a"}}, {2, {"b"}}}, &random);
    REQUIRE(batches.size() == 1);
    CHECK(batches[0].data_centre == "a");
  }
  SUBCASE("but not those that no other data centre serves") {
    CHECK(PlanBatches({{0, {}}, {1, {}}}, &random).empty());
  }
  SUBCASE("at a random one of two data centres that serve them all") {
    std::set<std::string> chosen;
    for (int i = 0; i < 50; ++i) {
      const auto batches =
          PlanBatches({{0, {"a", "b"}}, {1, {"a", "b"}}}, &random);
      chosen.insert(batches.at(0).data_centre);
    }
    CHECK(chosen.size() == 2);
  }
}

// Each shard has its servers in two of three data centres in turn.
TEST_CASE("A query over three data centres delegates one batch") {
  FleetSession::Options options;
  options.instances = {"kgn-a", "mbj-a", "mdv-a"};
  for (int i = 0; i < 6; ++i) {
    options.shards.push_back({"kgn-a", "mbj-a"});
    options.shards.push_back({"mbj-a", "mdv-a"});
    options.shards.push_back({"mdv-a", "kgn-a"});
  }
  FleetSession session(options);
  const SessionAnswer& answer = session.SearchNow(0);
  CHECK(answer.reply.missing_parts == 0);
  CHECK(answer.record.delegated == 6);
  CHECK(answer.record.attempts == 12);
  CHECK(session.forwards() == 1);

  SUBCASE("to the other data centre if one has no live instance left") {
    session.Freeze(1);
    for (int i = 0; i < 6; ++i)
      session.SearchNow(0);
    const int before = session.forwards();
    const SessionAnswer& next = session.SearchNow(0);
    CHECK(next.reply.missing_parts == 0);
    CHECK(next.record.delegated == 6);
    CHECK(session.forwards() == before + 1);
  }
}

}  // namespace
}  // namespace limpetrudder
