#include <doctest/doctest.h>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

// The first routes have twenty shards, half of them in each data centre. A
// later version replaces them by another twenty.
FleetSession::Options TwoShardSets() {
  FleetSession::Options options;
  options.instances = {"kgn-a", "mbj-a"};
  options.initial_shards = 20;
  for (int i = 0; i < 20; ++i) {
    options.shards.push_back({"kgn-a"});
    options.shards.push_back({"mbj-a"});
  }
  return options;
}

int ArrivalsFrom(FleetSession* session,
                 std::size_t instance,
                 std::size_t first_shard,
                 std::size_t count) {
  int arrivals = 0;
  for (std::size_t shard = first_shard; shard < first_shard + count; ++shard)
    arrivals += session->server(shard, 0).arrivals_from[instance];
  return arrivals;
}

TEST_CASE("An instance with older routes than another") {
  FleetSession session(TwoShardSets());

  SUBCASE("sends to the old shards itself rather than delegate") {
    session.engine(1).OnRoutes(session.MakeRoutes(2, 20, 20), session.now());
    CHECK(session.SearchNow(1).reply.missing_parts == 0);
    const SessionAnswer& answer = session.SearchNow(0);
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.missing_parts == 0);
    CHECK(answer.record.routes_version == 1);
    // The other instance uses the new shards and no longer sends to old ones.
    CHECK(ArrivalsFrom(&session, 1, 0, 20) == 0);
    CHECK(ArrivalsFrom(&session, 0, 0, 20) == 20);

    SUBCASE("and fetches the new routes from the instance that refused") {
      REQUIRE(session.fetches().size() == 1);
      CHECK(session.fetches()[0].instance == "instance-1");
      CHECK(session.fetches()[0].routes_version == 2);
    }
  }
  SUBCASE("still delegates if both versions have the same shards") {
    session.engine(1).OnRoutes(session.MakeRoutes(2), session.now());
    CHECK(session.SearchNow(0).record.delegated == 10);
    CHECK(ArrivalsFrom(&session, 0, 0, 20) == 10);
    CHECK(session.fetches().size() == 1);
  }
  SUBCASE("gets as many records as its own routes require") {
    auto fewer = session.MakeRoutes(2);
    std::vector<Route> routes = fewer->routes();
    for (Route& route : routes)
      route.top_records = 1;
    session.engine(1).OnRoutes(
        std::make_shared<RouteTable>(2, routes, std::vector<TargetService>{},
                                     RequestLimits{}),
        session.now());
    CHECK(session.SearchNow(0).reply.body.size() == 5 * 16);
  }
}

TEST_CASE("A coordinator answers a forwarded call under its newer routes") {
  FleetSession::Options options = TwoShardSets();
  options.instances = {"kgn-a", "kgn-a"};
  options.shards.assign(40, {"kgn-a"});
  options.cores_of = {0.05, 0.5};
  FleetSession session(options);
  session.engine(1).OnRoutes(session.MakeRoutes(2, 20, 20), session.now());
  const SessionAnswer& answer = session.SearchNow(0);
  CHECK(answer.reply.part_signatures.size() == 20);
  CHECK(ArrivalsFrom(&session, 1, 20, 20) == 20);
  // The forwarding instance learns of the newer routes from this reply.
  CHECK(session.fetches().size() == 1);
}

}  // namespace
}  // namespace limpetrudder
