#include <doctest/doctest.h>

#include "dispatch/internal/server_directives.h"
#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

FleetSession::Options TwoServersPerShard(std::size_t shards) {
  FleetSession::Options options;
  options.shards.assign(shards, {"kgn-a", "kgn-a"});
  return options;
}

int ArrivalsAt(FleetSession* session, std::size_t shard) {
  return session->server(shard, 0).arrivals +
         session->server(shard, 1).arrivals;
}

// Searches until the server has received at least one more request.
void SearchUntilReached(FleetSession* session, const SessionServer& server) {
  const int before = server.arrivals;
  for (int i = 0; i < 50 && server.arrivals == before; ++i)
    session->SearchNow();
  REQUIRE(server.arrivals > before);
}

TEST_CASE("A server that announces in its answers that it is leaving") {
  FleetSession session(TwoServersPerShard(4));
  SessionServer& leaving = session.server(0, 0);
  leaving.reports_leaving = true;
  SearchUntilReached(&session, leaving);
  const int arrivals = leaving.arrivals;

  SUBCASE("a leaving server gets no requests though not marked draining") {
    for (int i = 0; i < 40; ++i)
      CHECK(session.SearchNow().reply.missing_parts == 0);
    CHECK(leaving.arrivals == arrivals);
  }
  SUBCASE("a leaving server gets no second attempts of requests") {
    session.server(0, 1).paused_until = session.now() + Seconds(1);
    session.SearchNow();
    CHECK(leaving.arrivals == arrivals);
  }
  SUBCASE("a leaving server gets no queued requests") {
    session.server(0, 1).work = Millis(100);
    for (int i = 0; i < 40; ++i)
      session.Search();
    session.Run(Seconds(3));
    CHECK(leaving.arrivals == arrivals);
  }
  SUBCASE("a leaving server gets no requests when its entry comes back") {
    session.Withdraw(leaving.entry);
    session.Announce(leaving.entry);
    for (int i = 0; i < 20; ++i)
      session.SearchNow();
    CHECK(leaving.arrivals == arrivals);
  }
  SUBCASE("a leaving server gets requests again after a restart") {
    leaving.reports_leaving = false;
    ServerEntry restarted = leaving.entry;
    restarted.started_ms = 2;
    session.Announce(restarted);
    SearchUntilReached(&session, leaving);
  }
}

// The announcement of the old process arrives after the entry of the new one.
// Guards against treating the new process as leaving.
TEST_CASE("A late leaving announcement of a server's previous process") {
  FleetSession::Options options = TwoServersPerShard(1);
  options.max_attempts = 1;  // Without retries to the new process.
  FleetSession session(options);
  SessionServer& server = session.server(0, 0);
  server.reports_leaving = true;
  server.work = Millis(60);
  session.server(0, 1).work = Millis(60);
  for (int i = 0; i < 20; ++i)
    session.Search();
  REQUIRE(server.arrivals == 0);
  session.Run(Millis(5));
  ServerEntry restarted = server.entry;
  restarted.started_ms = 2;
  session.Announce(restarted);
  // The answers of the old process arrive now.
  session.Run(Seconds(3));
  server.reports_leaving = false;
  SearchUntilReached(&session, server);
}

TEST_CASE("A leaving announcement is passed on between instances") {
  FleetSession::Options options;
  options.instances = {"kgn-a", "mbj-a"};
  options.shards.assign(6, {"mbj-a", "mbj-a"});
  FleetSession session(options);
  SessionServer& leaving = session.server(0, 0);
  leaving.reports_leaving = true;
  for (int i = 0; i < 30 && leaving.arrivals == 0; ++i)
    session.SearchNow(1);
  REQUIRE(leaving.arrivals == 1);
  // The other instance passes the announcement on with its next answer.
  REQUIRE(session.SearchNow(0).record.delegated == 6);
  session.Freeze(1);
  for (int i = 0; i < 30; ++i)
    session.SearchNow(0);
  CHECK(session.server(0, 1).arrivals > 10);
  CHECK(leaving.arrivals == 1);
}

TEST_CASE("A server that requests a backoff") {
  FleetSession session(TwoServersPerShard(20));
  SessionServer& busy = session.server(0, 0);
  busy.requests_backoff = Millis(1500);
  SearchUntilReached(&session, busy);
  const int arrivals = busy.arrivals;
  const Time requested_at = session.now();

  SUBCASE("a server in backoff gets no requests, and queries are whole") {
    while (session.now() < requested_at + Millis(1400))
      CHECK(session.SearchNow().reply.missing_parts == 0);
    CHECK(busy.arrivals == arrivals);

    SUBCASE("and gets requests again after the backoff") {
      busy.requests_backoff.reset();
      session.RunLoad(300, Seconds(2));
      CHECK(busy.arrivals > arrivals + 10);
    }
  }
  SUBCASE("a server in backoff gets no requests if the other is silent") {
    session.server(0, 1).silent = true;
    session.RunLoad(50, Millis(1000));
    CHECK(busy.arrivals == arrivals);
  }
  SUBCASE("a shard with all servers in backoff is missing") {
    session.server(0, 1).requests_backoff = Millis(2000);
    SearchUntilReached(&session, session.server(0, 1));
    const int shard_arrivals = ArrivalsAt(&session, 0);
    const SessionAnswer& answer = session.SearchNow();
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.missing_parts == 1);
    CHECK(answer.record.took < Millis(60));
    CHECK(ArrivalsAt(&session, 0) == shard_arrivals);
  }
}

TEST_CASE("A server that is down") {
  FleetSession session(TwoServersPerShard(4));
  SessionServer& silent = session.server(0, 0);
  silent.silent = true;
  session.RunLoad(50, Seconds(2));
  REQUIRE(session.probes() > 0);

  SUBCASE("a down server isn't probed during its requested backoff") {
    silent.requests_backoff = Seconds(30);
    session.Run(Seconds(5));
    const int probes = session.probes();
    session.Run(Seconds(20));
    CHECK(session.probes() == probes);
  }
  SUBCASE("a down server without a requested backoff is probed") {
    const int probes = session.probes();
    session.Run(Seconds(20));
    CHECK(session.probes() > probes);
  }
}

TEST_CASE("A query whose shards are mostly backing off") {
  FleetSession session(TwoServersPerShard(4));
  for (std::size_t replica = 0; replica < 2; ++replica) {
    session.server(0, replica).requests_backoff = Seconds(2);
    session.server(1, replica).requests_backoff = Seconds(3);
  }
  // The first query reaches both servers of each shard.
  session.SearchNow();
  const Time requested_at = session.now();
  int arrivals = 0;
  for (auto* server : session.shard_servers())
    arrivals += server->arrivals;
  const SessionAnswer& refused = session.SearchNow();

  SUBCASE("a query with most shards in backoff is refused unsent") {
    CHECK(refused.reply.status == 503);
    CHECK(refused.record.code == ResultCode::kServerBackoff);
    CHECK(refused.record.took < Millis(2));
    int new_arrivals = 0;
    for (auto* server : session.shard_servers())
      new_arrivals += server->arrivals;
    CHECK(new_arrivals == arrivals);
  }
  SUBCASE("a refusal during backoffs says when enough shards are back") {
    // A coverage of 0.89 needs all four shards, so the longer of the two
    // backoffs counts.
    REQUIRE(refused.reply.retry_after);
    CHECK(*refused.reply.retry_after > Millis(2800));
    CHECK(*refused.reply.retry_after < Millis(4000));
    for (auto* server : session.shard_servers())
      server->requests_backoff.reset();
    session.Run(*refused.reply.retry_after - (session.now() - requested_at));
    CHECK(session.SearchNow().reply.status == 200);
  }
}

TEST_CASE("A single-server request is refused while all servers back off") {
  FleetSession session(FleetSession::Options{});
  for (std::size_t i = 0; i < 3; ++i)
    session.single(i).requests_backoff = Seconds(2);
  // The retry budget of a new instance allows one or two attempts per call.
  for (int i = 0; i < 3; ++i)
    session.SingleNow();
  const SessionAnswer& refused = session.SingleNow();
  CHECK(refused.reply.status == 503);
  CHECK(refused.record.attempts == 0);
  REQUIRE(refused.reply.retry_after);
  CHECK(*refused.reply.retry_after > Millis(1800));
}

TEST_CASE("The directives of a server") {
  detail::ServerDirectives directives;
  const Time now(Seconds(10));

  SUBCASE("a repeated directive is no change") {
    CHECK(directives.OnLeaving());
    CHECK_FALSE(directives.OnLeaving());
    CHECK(directives.OnBackoff(Millis(500), now));
    CHECK_FALSE(directives.OnBackoff(Millis(500), now + Millis(100)));
  }
  SUBCASE("a shorter backoff doesn't cut a longer one short") {
    directives.OnBackoff(Seconds(5), now);
    directives.OnBackoff(Millis(100), now + Millis(10));
    CHECK(directives.IsBackingOff(now + Millis(4900)));
    CHECK_FALSE(directives.IsBackingOff(now + Seconds(5)));
  }
}

}  // namespace
}  // namespace limpetrudder
