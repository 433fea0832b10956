#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

// Share of the first tries that are served, for the instances that are cut off
// from all servers and for the others.
struct Served {
  double cut = 0;
  double others = 0;
};

// Sends requests to one instance after the other for `duration`. `cut` are
// those that are cut off.
Served ServeFor(FleetSession* session,
                const std::set<std::size_t>& cut,
                const std::string& target,
                Duration gap,
                Duration duration) {
  std::vector<CallId> calls[2];
  const Time end = session->now() + duration;
  for (std::size_t next = 0; session->now() < end; ++next) {
    const std::size_t instance = next % 8;
    calls[cut.count(instance)].push_back(
        session->SendRequest(target, instance));
    session->Run(gap);
  }
  session->Run(Seconds(3));
  const auto share = [session](const std::vector<CallId>& all) {
    double served = 0;
    for (const CallId call : all)
      served += session->answer(call).reply.status == 200 ? 1 : 0;
    return served / static_cast<double>(all.size());
  };
  return {share(calls[1]), share(calls[0])};
}

Served ServeWhileCut(FleetSession* session,
                     const std::set<std::size_t>& cut,
                     const std::string& target,
                     ServerCut kind = ServerCut::kConnectTimeout) {
  constexpr Duration kGap = Millis(15);
  for (const std::size_t instance : cut)
    session->CutFromServers(instance, kind);
  // The users' shortest time from which instances have to serve again.
  ServeFor(session, cut, target, kGap, Seconds(4));
  return ServeFor(session, cut, target, kGap, Seconds(6));
}

// The users' bound of the failures at instances that are cut off.
constexpr double kMaxFailed = 11.0 / 50;

constexpr ServerCut kCuts[] = {ServerCut::kConnectTimeout, ServerCut::kHang,
                               ServerCut::kRefuse, ServerCut::kRefuseNew,
                               ServerCut::kReset};

TEST_SUITE_BEGIN("cut-from-servers");

TEST_CASE("Callers reach instances that have lost all servers") {
  FleetSession session(FleetSession::SmallFleet(18));

  SUBCASE("searches at one of them are served") {
    const Served served = ServeWhileCut(&session, {0}, "/all/x");
    CHECK(served.others >= 0.99);
    CHECK(served.cut >= 1 - kMaxFailed);
  }
  SUBCASE("searches at all of a data centre are served") {
    const Served served = ServeWhileCut(&session, {0, 1, 2}, "/all/x");
    CHECK(served.others >= 0.99);
    CHECK(served.cut >= 1 - kMaxFailed);
  }
  SUBCASE("they serve by themselves again once they reach servers") {
    ServeWhileCut(&session, {0, 1, 2}, "/all/x");
    for (const std::size_t instance : {0U, 1U, 2U})
      session.ReconnectServers(instance);
    session.Run(Seconds(5));
    CHECK(session.contact_losses() == 3);
    for (std::size_t i = 0; i < 80; ++i) {
      CHECK(session.SearchNow(i % 8).reply.status == 200);
      CHECK(session.SingleNow(i % 8).reply.status == 200);
    }
    CHECK(session.contact_losses() == 3);
  }
}

TEST_CASE("Searches are served however connections to servers are cut") {
  for (const ServerCut kind : kCuts) {
    CAPTURE(static_cast<int>(kind));
    FleetSession session(FleetSession::SmallFleet(18));
    const Served served = ServeWhileCut(&session, {0, 1, 2}, "/all/x", kind);
    CHECK(served.others >= 0.99);
    CHECK(served.cut >= 1 - kMaxFailed);
  }
}

TEST_CASE("The only instances that reach all servers were frozen") {
  FleetSession session(FleetSession::SmallFleet(18));
  const std::set<std::size_t> cut = {0, 1, 3, 4, 6, 7};
  constexpr Duration kGap = Millis(8);
  const auto run = [&session, &cut, kGap](Duration duration) {
    return ServeFor(&session, cut, "/all/x", kGap, duration);
  };
  run(Seconds(2));
  for (const std::size_t instance : cut)
    session.CutFromServers(instance, ServerCut::kRefuseMost);
  run(Seconds(1));
  session.Freeze(2);
  session.Freeze(5);
  for (std::size_t i = 0; i < 375; ++i) {
    session.Search(i % 8);
    session.Run(kGap);
  }
  session.Thaw(2);
  session.Thaw(5);
  const Served served = run(Seconds(2));
  CHECK(served.others >= 0.95);
  CHECK(served.cut >= 1 - kMaxFailed);
}

TEST_CASE(
    "Most instances that reach servers stop, and refuse what takes long") {
  FleetSession session(FleetSession::SmallFleet(18));
  const std::set<std::size_t> cut = {0, 1, 3};
  ServeWhileCut(&session, cut, "/all/x");
  for (const std::size_t instance : {2U, 4U, 5U, 6U})
    session.engine(instance).OnStopping(session.now());
  std::vector<CallId> calls;
  for (std::size_t i = 0; i < 150; ++i) {
    calls.push_back(
        session.SendRequest(i % 2 == 0 ? "/all/x" : "/one/x", i % 2 * 3));
    session.Run(Millis(15));
  }
  session.Run(Seconds(3));
  const auto served = std::count_if(
      calls.begin(), calls.end(),
      [&](CallId call) { return session.answer(call).reply.status == 200; });
  CHECK(static_cast<double>(served) >=
        (1 - kMaxFailed) * static_cast<double>(calls.size()));
}

TEST_CASE("Instances that are cut off blame no request for it") {
  for (const ServerCut kind : kCuts) {
    CAPTURE(static_cast<int>(kind));
    FleetSession session(FleetSession::SmallFleet(18));
    const auto run = [&session](Duration duration) {
      int blamed = 0;
      std::vector<CallId> calls;
      const Time end = session.now() + duration;
      for (std::size_t next = 0; session.now() < end; ++next) {
        calls.push_back(
            session.SendRequest(next % 3 == 0 ? "/one/x" : "/all/x", next % 8));
        session.Run(Millis(5));
      }
      session.Run(Seconds(3));
      for (const CallId call : calls) {
        const ResultCode code = session.answer(call).record.code;
        blamed += code == ResultCode::kRequestSuspected ||
                          code == ResultCode::kRequestQuarantined
                      ? 1
                      : 0;
      }
      return blamed;
    };
    run(Seconds(1));
    for (const std::size_t instance : {0U, 1U, 2U})
      session.CutFromServers(instance, kind);
    run(Seconds(2));
    CHECK(run(Seconds(6)) == 0);
    for (const std::size_t instance : {0U, 1U, 2U})
      session.ReconnectServers(instance);
    CHECK(run(Seconds(2)) == 0);
  }
}

TEST_CASE("No instance can open connections, and those that are open live on") {
  FleetSession session(FleetSession::SmallFleet(18));
  session.RunLoad(120, Seconds(3));
  for (std::size_t instance = 0; instance < 8; ++instance)
    session.CutFromServers(instance, ServerCut::kRefuseNew);
  session.RunCallers(120, Seconds(10));
  session.Run(Seconds(3));
  const auto& callers = session.callers();
  const auto served = std::count_if(
      callers.begin(), callers.end(),
      [](const CallerOutcome& caller) { return caller.status == 200; });
  CHECK(static_cast<double>(served) >=
        (1 - kMaxFailed) * static_cast<double>(callers.size()));
}

TEST_CASE("No instance reaches a server") {
  FleetSession session(FleetSession::SmallFleet(18));
  for (std::size_t instance = 0; instance < 8; ++instance)
    session.CutFromServers(instance);
  for (std::size_t i = 0; i < 400; ++i) {
    session.Search(i % 8);
    session.Run(Millis(10));
  }

  SUBCASE("searches are refused at once, and the refusal is true") {
    const int runs = session.runs();
    for (std::size_t i = 0; i < 80; ++i) {
      const Time sent = session.now();
      const SessionAnswer& answer = session.SearchNow(i % 8);
      CHECK(answer.reply.status == 503);
      CHECK(answer.reply.retry_after.has_value());
      // At most a round trip to an instance in each other data centre.
      CHECK(answer.at - sent <= Millis(60));
    }
    CHECK(session.runs() == runs);
  }
  SUBCASE("few of them are forwarded") {
    const int forwards = session.forwards();
    for (std::size_t i = 0; i < 400; ++i) {
      session.SearchNow(i % 8);
      session.Run(Millis(5));
    }
    // Each instance tries its two other data centres twice a second.
    CHECK(session.forwards() - forwards <= 8 * 2 * 2 * 5);
  }
}

TEST_CASE("Crashed servers aren't taken for lost contact") {
  FleetSession session(FleetSession::SmallFleet(18));
  for (SessionServer* server : session.shard_servers()) {
    if (server->entry.data_centre == "kgn-a")
      session.Crash(server);
  }
  for (std::size_t i = 0; i < 300; ++i) {
    session.Search(i % 8);
    session.Run(Millis(10));
  }
  CHECK(session.contact_losses() == 0);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("cut-from-servers-single");

TEST_CASE("Callers of single servers reach instances that have lost all") {
  FleetSession session(FleetSession::SmallFleet(18));
  const Served served = ServeWhileCut(&session, {0, 1, 2}, "/one/x");
  CHECK(served.others >= 0.99);
  CHECK(served.cut >= 1 - kMaxFailed);
}

TEST_CASE("Callers of single servers reach them through other instances") {
  for (const ServerCut kind : kCuts) {
    CAPTURE(static_cast<int>(kind));
    FleetSession session(FleetSession::SmallFleet(18));
    const Served served = ServeWhileCut(&session, {0, 1, 2}, "/one/x", kind);
    CHECK(served.others >= 0.99);
    CHECK(served.cut >= 1 - kMaxFailed);
  }
}

TEST_CASE("A request that may run once is forwarded by a cut-off instance") {
  FleetSession::Options options = FleetSession::SmallFleet(18);
  options.single_kind = RequestKind::kNonIdempotent;
  FleetSession session(options);
  const Served served =
      ServeWhileCut(&session, {0, 1, 2}, "/one/x", ServerCut::kHang);
  CHECK(served.cut >= 1 - kMaxFailed);
  for (std::size_t i = 0; i < 3; ++i) {
    for (const auto& [request, runs] : session.single(i).runs_by_request)
      CHECK(runs == 1);
  }
}

TEST_CASE("A request that may run once is lost with the instance that got it") {
  FleetSession::Options options = FleetSession::SmallFleet(18);
  options.single_kind = RequestKind::kNonIdempotent;
  for (std::size_t other = 3; other < 8; ++other) {
    FleetSession session(options);
    ServeWhileCut(&session, {0, 1, 2}, "/one/x", ServerCut::kHang);
    const CallId call = session.Single(0);
    session.Run(Millis(10));
    session.Freeze(other);
    session.Run(Seconds(5));
    REQUIRE(session.answered(call));
    int runs = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      const auto& by_request = session.single(i).runs_by_request;
      const auto found = by_request.find("request-" + std::to_string(call));
      runs += found == by_request.end() ? 0 : found->second;
    }
    CHECK(runs <= 1);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace limpetrudder
