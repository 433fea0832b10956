#include <doctest/doctest.h>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

// Half of the shards have their server in one data centre, half in the other.
FleetSession::Options TwoDataCentres() {
  FleetSession::Options options;
  options.instances = {"kgn-a", "mbj-a", "mbj-a"};
  for (int i = 0; i < 10; ++i) {
    options.shards.push_back({"kgn-a"});
    options.shards.push_back({"mbj-a"});
  }
  return options;
}

TEST_CASE("Shards whose servers are far") {
  FleetSession session(TwoDataCentres());

  SUBCASE("are gathered by one instance beside them") {
    const SessionAnswer& answer = session.SearchNow(0);
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.part_signatures.size() == 20);
    CHECK(answer.reply.missing_parts == 0);
    CHECK(answer.record.delegated == 10);
    CHECK(answer.record.attempts == 10);
    CHECK(session.forwards() == 1);
    CHECK(answer.reply.body.size() == 5 * 16);
  }
  SUBCASE("are missing one by one if that instance lacks some") {
    session.server(1, 0).silent = true;
    session.server(3, 0).silent = true;
    const SessionAnswer& answer = session.SearchNow(0);
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.missing_parts == 2);
    CHECK(answer.reply.part_signatures.size() == 18);
    CHECK(answer.record.took < Millis(195));

    SUBCASE("and after a while are asked from here, to learn how they do") {
      for (int i = 0; i < 3; ++i)
        session.SearchNow(0);
      CHECK(session.SearchNow(0).record.delegated == 8);
      session.server(1, 0).silent = false;
      session.server(3, 0).silent = false;
      session.Run(Seconds(6));
      CHECK(session.SearchNow(0).record.delegated == 10);
    }
  }
  SUBCASE("are late rather than missing when too many of them are slow") {
    for (std::size_t shard = 1; shard < 10; shard += 2)
      session.server(shard, 0).work = Millis(400);
    const SessionAnswer& answer = session.SearchNow(0);
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.missing_parts <= 2);
    CHECK(answer.record.took > Millis(200));
  }
  SUBCASE("are asked from here after the instances beside them froze") {
    session.Freeze(1);
    session.Freeze(2);
    // Each of them costs one query, which is given up within the time that
    // leaves its caller a second try.
    for (int i = 0; i < 2; ++i) {
      const SessionAnswer& failed = session.SearchNow(0);
      CHECK(failed.reply.status == 502);
      CHECK(failed.record.took < Millis(300));
    }
    // Nobody is left beside them, so they are asked from here.
    const SessionAnswer& answer = session.SearchNow(0);
    CHECK(answer.reply.missing_parts == 0);
    CHECK(answer.record.delegated == 0);
  }
  SUBCASE("never run on more servers than allowed because of a frozen one") {
    session.Freeze(1);
    session.Freeze(2);
    session.Search(0);
    session.Run(Seconds(3));
    for (std::size_t shard = 0; shard < 20; ++shard)
      CHECK(session.server(shard, 0).runs <= 1);
  }
  SUBCASE("aren't left at work there once the caller has left") {
    const CallId call = session.Search(0);
    session.Run(Millis(12));
    session.DisconnectCaller(call);
    session.Run(Millis(100));
    for (auto* server : session.shard_servers())
      CHECK(server->running.empty());
  }
}

// Answers the load of servers that pause, in deployments of wide distances.
TEST_CASE("A batch over a long way that lacks a part") {
  for (const int one_way_millis : {8, 20, 40}) {
    CAPTURE(one_way_millis);
    FleetSession::Options options = TwoDataCentres();
    options.cross_region_time = Millis(one_way_millis);
    options.latency_target = Millis(250);
    FleetSession session(options);
    // Distances are known from here on.
    session.SearchNow(0);
    session.server(1, 0).silent = true;
    const SessionAnswer& answer = session.SearchNow(0);

    CHECK(answer.record.delegated == 10);
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.missing_parts == 1);
    // The way to the caller takes the rest.
    CHECK(answer.record.took <= Millis(250 - 11));
    CHECK_FALSE(answer.record.late);
  }
}

// Four shards in each of five data centres; an answer may lack two of twenty.
TEST_CASE("Servers in several data centres that refuse a part each") {
  FleetSession::Options options;
  options.instances = {"kgn-a", "mbj-a", "mdv-a", "poa-a", "sav-a"};
  for (int i = 0; i < 4; ++i) {
    for (const auto& data_centre : options.instances)
      options.shards.push_back({data_centre});
  }
  FleetSession session(options);
  for (std::size_t shard = 1; shard < 5; ++shard)
    session.server(shard, 0).reject_next = 1;
  const SessionAnswer& answer = session.SearchNow(0);

  SUBCASE("don't fail the query together") {
    CHECK(answer.record.delegated == 16);
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.missing_parts <= 2);
    CHECK(answer.record.took < Millis(100));
  }
  SUBCASE("run each part once") {
    for (std::size_t shard = 0; shard < 20; ++shard)
      CHECK(session.server(shard, 0).runs <= 1);
  }
}

// More far parts are refused at first than an answer may lack.
TEST_CASE("A batch that can't be whole any more") {
  FleetSession session(TwoDataCentres());
  for (const std::size_t shard : {1, 3, 5})
    session.server(shard, 0).reject_next = 1;
  const SessionAnswer& answer = session.SearchNow(0);

  SUBCASE("still brings the parts that it can get") {
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.missing_parts <= 2);
  }
  SUBCASE("and throws away no work") {
    for (std::size_t shard = 7; shard < 20; shard += 2)
      CHECK(session.server(shard, 0).runs == 1);
  }
}

// Each far part has run at the one server that it has.
TEST_CASE("Parts that a batch lacks and that have run") {
  FleetSession session(TwoDataCentres());
  for (std::size_t shard = 1; shard < 20; shard += 2)
    session.server(shard, 0).resets_connections = true;
  const SessionAnswer& answer = session.SearchNow(0);
  CHECK(answer.reply.status == 502);
  for (std::size_t shard = 1; shard < 20; shard += 2)
    CHECK(session.server(shard, 0).runs <= 2);
}

TEST_CASE("An instance far from all servers") {
  FleetSession::Options options;
  options.instances = {"mdv-a", "kgn-a"};
  options.shards.assign(20, {"kgn-a", "mbj-a"});
  options.latency_target = Millis(400);
  FleetSession session(options);
  const SessionAnswer& answer = session.SearchNow(0);
  CHECK(answer.reply.part_signatures.size() == 20);
  CHECK(session.forwards() == 1);

  SUBCASE("gathers by itself when its home's routes lack the one asked for") {
    session.engine(1).OnRoutes(
        std::make_shared<RouteTable>(2, std::vector<Route>{},
                                     std::vector<TargetService>{},
                                     RequestLimits{}),
        session.now());
    const SessionAnswer& next = session.SearchNow(0);
    CHECK(next.reply.status == 200);
    CHECK(next.reply.part_signatures.size() == 20);
  }
  SUBCASE("gathers by itself when its home refuses newer routes") {
    session.engine(0).OnRoutes(session.MakeRoutes(2), session.now());
    const SessionAnswer& next = session.SearchNow(0);
    CHECK(next.reply.status == 200);
    CHECK(next.reply.part_signatures.size() == 20);
    CHECK(next.record.routes_version == 2);
    // The parts come from here, not from the home and its older routes.
    CHECK(next.record.attempts >= 20);
  }
}

}  // namespace
}  // namespace limpetrudder
