#include <doctest/doctest.h>

#include "dispatch/internal/server_table.h"

namespace limpetrudder::detail {
namespace {

constexpr std::uint32_t kInstances = 195;
constexpr std::uint32_t kLarge = 18;
constexpr std::uint32_t kMostConnections = 1200;

// One route over a shard and one to a service whose servers answer alone.
RouteTable Routes() {
  Route query;
  query.name = "query";
  query.prefix = "/query/";
  query.shards = {"shard"};
  Route lookup;
  lookup.name = "lookup";
  lookup.prefix = "/lookup/";
  lookup.backends = {{"alone", 1}};
  return {1,
          {query, lookup},
          {{"shard", "/", kMostConnections}, {"alone", "/", kMostConnections}},
          RequestLimits{}};
}

// A started instance's table in a fleet of large and small ones.
ServerTable TableOf(bool large) {
  ServerTable table(RetryBudgetSettings{0.2, 430});
  table.Apply(Routes());
  table.SetFleet(
      large ? FleetComposition{kInstances, kLarge, 0}
            : FleetComposition{kInstances, kInstances - kLarge, kLarge});
  table.SetStarting(false);
  return table;
}

double SavedTokens(ServerGroup* group) {
  for (int i = 0; i < 1000; ++i)
    group->budget.OnRequest();
  return group->budget.tokens();
}

TEST_CASE("What an instance may take of a fleet's share") {
  ServerTable large = TableOf(true);
  ServerTable small = TableOf(false);

  SUBCASE(
      "of a shard is more for the large ones, which gather for the others") {
    CHECK(large.Group("shard")->connections > 40);
    CHECK(small.Group("shard")->connections < 6);
    CHECK(SavedTokens(large.Group("shard")) > 8);
    CHECK(SavedTokens(small.Group("shard")) == 1);
  }
  SUBCASE("of a service without shards is the same for all") {
    CHECK(large.Group("alone")->connections ==
          small.Group("alone")->connections);
    CHECK(small.Group("alone")->connections * kInstances <= kMostConnections);
    CHECK(SavedTokens(small.Group("alone")) > 1.8);

    SUBCASE("and within the bound of all together") {
      CHECK(SavedTokens(large.Group("alone")) * kInstances <= 430);
    }
  }
}

}  // namespace
}  // namespace limpetrudder::detail
