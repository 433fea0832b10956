#include <set>

#include <doctest/doctest.h>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

FleetSession::Options TwentyShards() {
  FleetSession::Options options;
  options.shards.assign(20, {"kgn-a", "mbj-a"});
  return options;
}

TEST_CASE("A query over many shards") {
  FleetSession session(TwentyShards());

  SUBCASE("is sent to one server of each shard, the nearest") {
    const SessionAnswer& answer = session.SearchNow();
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.missing_parts == 0);
    CHECK(answer.reply.part_signatures.size() == 20);
    CHECK(answer.record.attempts == 20);
    for (std::size_t shard = 0; shard < 20; ++shard)
      CHECK(session.server(shard, 0).runs == 1);
  }
  SUBCASE("is answered with one missing part if a shard has no server") {
    for (std::size_t i = 0; i < 2; ++i) {
      ServerEntry gone = session.server(3, i).entry;
      gone.draining = true;
      session.Announce(gone);
    }
    const SessionAnswer& answer = session.SearchNow();
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.missing_parts == 1);
    CHECK(answer.reply.part_signatures.size() == 19);
    CHECK(answer.record.took < Millis(60));
  }
  SUBCASE("is refused at once if too many shards have no server") {
    for (std::size_t shard = 0; shard < 3; ++shard) {
      for (std::size_t i = 0; i < 2; ++i) {
        ServerEntry gone = session.server(shard, i).entry;
        gone.draining = true;
        session.Announce(gone);
      }
    }
    const SessionAnswer& answer = session.SearchNow();
    CHECK(answer.reply.status != 200);
    CHECK(answer.record.took < Millis(5));
    REQUIRE(answer.reply.retry_after);
    if (answer.reply.status == 503) {
      for (auto* server : session.shard_servers())
        CHECK(server->runs == 0);
    }
  }
  SUBCASE("never accepts a server's failure as a part") {
    session.server(5, 0).failing = true;
    session.server(5, 1).failing = true;
    const SessionAnswer& answer = session.SearchNow();
    CHECK(answer.reply.missing_parts == 1);
    for (const auto& signature : answer.reply.part_signatures)
      CHECK(signature.find("s5-") == std::string::npos);
  }
  SUBCASE("never accepts an answer without a signature as a part") {
    session.server(5, 0).omits_signature = true;
    session.server(5, 1).omits_signature = true;
    CHECK(session.SearchNow().reply.missing_parts == 1);
  }
  SUBCASE("contains each shard once, also after a hedge") {
    session.server(5, 0).paused_until = session.now() + Millis(250);
    const SessionAnswer& answer = session.SearchNow();
    const std::set<std::string> unique(answer.reply.part_signatures.begin(),
                                       answer.reply.part_signatures.end());
    CHECK(unique.size() == answer.reply.part_signatures.size());
    CHECK(answer.record.hedges == 1);
  }
  SUBCASE("is cancelled at all servers when its caller disconnects") {
    const CallId call = session.Search();
    session.Run(Millis(5));
    session.DisconnectCaller(call);
    session.Run(Millis(100));
    int cancelled = 0;
    for (auto* server : session.shard_servers()) {
      CHECK(server->running.empty());
      cancelled += server->cancelled;
    }
    CHECK(cancelled == 20);
    CHECK_FALSE(session.answered(call));
  }
  SUBCASE("keeps the version of the routes that it began with") {
    const CallId call = session.Search();
    session.Run(Millis(3));
    auto next = session.MakeRoutes(2);
    session.Announce(next);
    session.Run(Millis(300));
    CHECK(session.answer(call).record.routes_version == 1);
    CHECK(session.SearchNow().record.routes_version == 2);

    SUBCASE("and an older version of the routes is never applied") {
      session.Announce(session.MakeRoutes(1));
      CHECK(session.SearchNow().record.routes_version == 2);
    }
  }
}

TEST_CASE("A pause of a server") {
  FleetSession session(TwentyShards());
  session.RunLoad(20, Seconds(10));

  SUBCASE("is bridged by a hedge within the latency target") {
    session.server(7, 0).paused_until = session.now() + Millis(250);
    const SessionAnswer& answer = session.SearchNow();
    CHECK(answer.reply.missing_parts == 0);
    CHECK(answer.record.took < Millis(185));
  }
  SUBCASE("is bridged as well if all servers of a data centre pause") {
    for (std::size_t shard = 0; shard < 20; ++shard)
      session.server(shard, 0).paused_until = session.now() + Seconds(1);
    const SessionAnswer& answer = session.SearchNow();
    CHECK(answer.reply.status == 200);
    CHECK(answer.record.took < Millis(200));
  }
  SUBCASE("is avoided by the queries after the first one") {
    session.server(7, 0).paused_until = session.now() + Millis(250);
    session.Search();
    session.Run(Millis(110));
    const SessionAnswer& answer = session.SearchNow();
    CHECK(answer.record.hedges == 0);
    CHECK(answer.record.took < Millis(80));
  }
  SUBCASE("doesn't make the server count as slow afterwards") {
    session.server(7, 0).paused_until = session.now() + Millis(250);
    session.RunLoad(20, Seconds(2));
    const int near = session.server(7, 0).runs;
    session.RunLoad(20, Seconds(3));
    CHECK(session.server(7, 0).runs - near > 50);
  }
  SUBCASE("at both servers of a shard costs a part, not the latency target") {
    for (std::size_t i = 0; i < 2; ++i)
      session.server(7, i).paused_until = session.now() + Millis(400);
    const SessionAnswer& answer = session.SearchNow();
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.missing_parts == 1);
    CHECK(answer.record.took < Millis(200));
  }
}

TEST_CASE("A server whose entry says that it is draining gets no requests") {
  FleetSession session(TwentyShards());
  session.RunLoad(20, Seconds(2));
  ServerEntry leaving = session.server(0, 0).entry;
  leaving.draining = true;
  session.Announce(leaving);
  session.Run(Millis(5));
  const int arrivals = session.server(0, 0).arrivals;
  session.RunLoad(20, Seconds(2));
  CHECK(session.server(0, 0).arrivals == arrivals);

  SUBCASE("and a draining server gets no hedges") {
    session.server(0, 1).paused_until = session.now() + Millis(250);
    session.SearchNow();
    CHECK(session.server(0, 0).arrivals == arrivals);
  }
}

TEST_CASE("An instance without routes refuses with 503 rather than 404") {
  DispatchEngine engine({{"a", "kgn-a", "a:1", 1, 100}, {}, {}, 1});
  CallRequest call;
  call.id = 1;
  auto message = std::make_shared<RequestMessage>();
  message->host = "shop.example";
  message->target = "/all/x";
  call.message = message;
  engine.OnCall(std::move(call), Time(Seconds(1)));
  const auto actions = engine.TakeActions();
  REQUIRE(actions.size() == 1);
  const auto& done = std::get<CompleteCall>(actions.front());
  CHECK(done.reply.status == 503);
  CHECK(done.reply.retry_after);
}

}  // namespace
}  // namespace limpetrudder
