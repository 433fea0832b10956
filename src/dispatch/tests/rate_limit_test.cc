#include <doctest/doctest.h>
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "dispatch/internal/rate_limit_share.h"
#include "dispatch/internal/rate_limiter.h"
#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

// The users' bound of the requests that a limited server gets in any four
// seconds, from four seconds after it named its limit.
constexpr Duration kWindow = Seconds(4);

double MaxInWindow(double limit) {
  return 1.5 * limit * ToMillis(kWindow) / 1000 + 5;
}

std::size_t BusiestWindow(const std::vector<Time>& times, Time from) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[first] < from || times[last] - times[first] > kWindow) {
      if (++first > last)
        break;
    }
    most = std::max(most, last + 1 - std::min(first, last + 1));
  }
  return most;
}

std::size_t CountAnswered(const FleetSession& session, Time from) {
  return static_cast<std::size_t>(std::count_if(
      session.answers().begin(), session.answers().end(),
      [from](const auto& row) {
        return row.second.at >= from && row.second.reply.status == 200 &&
               row.second.reply.missing_parts == 0;
      }));
}

TEST_SUITE_BEGIN("server-limit");

TEST_CASE(
    "A server that names a rate limit gets more requests than it allows") {
  FleetSession session(FleetSession::SmallFleet(12));
  SessionServer& server = session.server(0, 0);
  session.RunLoad(90, Seconds(2));
  constexpr double kLimit = 25;
  server.rate_limit = kLimit;
  const Time named = session.now();

  SUBCASE("all instances together keep the limit") {
    session.RunLoad(90, Seconds(12));
    CHECK(BusiestWindow(server.arrival_times, named + kWindow) <=
          MaxInWindow(kLimit));
    CHECK(CountAnswered(session, named) >= 1040);
  }
  SUBCASE("all instances together keep the limit after one restarts") {
    session.RunLoad(90, Seconds(5));
    session.Restart(3);
    session.RunLoad(90, Seconds(8));
    CHECK(BusiestWindow(server.arrival_times, named + kWindow) <=
          MaxInWindow(kLimit));
  }
}

TEST_CASE("A server changes its rate limit") {
  FleetSession session(FleetSession::SmallFleet(12));
  SessionServer& server = session.server(0, 0);
  session.RunLoad(90, Seconds(2));
  server.rate_limit = 20;
  session.RunLoad(90, Seconds(6));

  SUBCASE("a lower limit is kept") {
    server.rate_limit = 6;
    const Time lowered = session.now();
    session.RunLoad(90, Seconds(12));
    CHECK(BusiestWindow(server.arrival_times, lowered + kWindow) <=
          MaxInWindow(6));
  }
  SUBCASE("a server that accepts nothing gets trials only, and is found out") {
    server.rate_limit = 0;
    const Time lowered = session.now();
    session.RunLoad(90, Seconds(40));
    CHECK(BusiestWindow(server.arrival_times, lowered + kWindow) <=
          MaxInWindow(0));
    server.rate_limit.reset();
    session.RunLoad(90, Seconds(40));
    server.arrivals = 0;
    session.RunLoad(90, Seconds(4));
    CHECK(server.arrivals > 100);
  }
  SUBCASE("a limit that is lifted is forgotten by all instances") {
    server.rate_limit.reset();
    session.RunLoad(90, Seconds(3));
    server.arrivals = 0;
    session.RunLoad(90, Seconds(4));
    CHECK(server.arrivals > 140);
  }
  SUBCASE("a limit beyond any load is no hindrance") {
    server.rate_limit = 1e18;
    session.RunLoad(90, Seconds(3));
    server.arrivals = 0;
    session.RunLoad(90, Seconds(4));
    CHECK(server.arrivals > 140);
  }
  SUBCASE("a new process of the server has no limit") {
    server.rate_limit.reset();
    ServerEntry restarted = server.entry;
    restarted.started_ms = 2;
    session.Announce(restarted);
    server.arrivals = 0;
    session.RunLoad(90, Seconds(4));
    CHECK(server.arrivals > 140);
  }
}

TEST_CASE("All servers of a service name rate limits") {
  FleetSession::Options options;
  options.instances.assign(4, "kgn-a");
  options.latency_target = Millis(600);
  options.timeout = Millis(6000);
  FleetSession session(options);
  for (std::size_t i = 0; i < 3; ++i)
    session.single(i).rate_limit = 10;
  // Instances learn of a limit only from an answer.
  for (int i = 0; i < 60; ++i)
    session.SingleNow(static_cast<std::size_t>(i % 4));

  SUBCASE("callers within the limits are served in time") {
    session.Run(Seconds(2));
    for (int i = 0; i < 40; ++i) {
      const SessionAnswer& answer =
          session.SingleNow(static_cast<std::size_t>(i % 4));
      CHECK(answer.reply.status == 200);
      CHECK(answer.record.took <= options.latency_target);
      session.Run(Millis(50));
    }
  }
  SUBCASE("callers beyond the limits are refused at once") {
    std::vector<CallId> calls;
    for (int i = 0; i < 100; ++i)
      calls.push_back(session.Single(static_cast<std::size_t>(i % 4)));
    session.Run(Seconds(6));
    int refused = 0;
    for (const CallId call : calls) {
      const SessionAnswer& answer = session.answer(call);
      if (answer.reply.status == 200) {
        CHECK(answer.record.took <= options.latency_target);
        continue;
      }
      ++refused;
      CHECK(answer.reply.status == 503);
      CHECK(answer.record.code == ResultCode::kServerLimited);
      CHECK(answer.record.attempts == 0);
      CHECK(answer.record.took <= Millis(1));
      CHECK(answer.reply.retry_after);
    }
    CHECK(refused > 50);
    CHECK(refused < 95);
  }
}

TEST_SUITE_END();

TEST_CASE("The belief of a rate limit") {
  detail::RateLimiter limiter;
  const Time start = Time(Seconds(1000));
  const auto named = [](double limit) { return RateLimitNotice{true, limit}; };
  REQUIRE(limiter.OnAnswer(named(5), start, start + Millis(20)));

  SUBCASE("holds though answers to earlier requests don't name it") {
    CHECK_FALSE(limiter.OnAnswer({}, start + Millis(10), start + Millis(30)));
    CHECK(limiter.limit() == 5.0);
  }
  SUBCASE("ends with an answer to a later request that doesn't name it") {
    CHECK(limiter.OnAnswer({}, start + Millis(30), start + Millis(60)));
    CHECK_FALSE(limiter.limit());
  }
  SUBCASE("isn't changed by a value that can't be read") {
    CHECK_FALSE(limiter.OnAnswer({true, std::nullopt}, start + Millis(30),
                                 start + Millis(60)));
    CHECK(limiter.limit() == 5.0);
  }
}

// Every instance sends as soon as it may, which is the worst load.
void CheckFleetKeepsLimit(std::size_t instances,
                          double limit,
                          bool is_shard,
                          bool views_differ) {
  CAPTURE(instances);
  CAPTURE(limit);
  CAPTURE(is_shard);
  ServerEntry server;
  server.id = "server";
  server.data_centre = "dc-0";
  std::vector<InstanceEntry> fleet;
  std::map<std::string, std::string> regions;
  for (std::size_t i = 0; i < instances; ++i) {
    const std::string data_centre = "dc-" + std::to_string(i % 6);
    regions[data_centre] = "region-" + std::to_string(i % 6 / 2);
    fleet.push_back({"instance-" + std::to_string(i), data_centre, "",
                     i % 7 == 0 ? 0.5 : 0.12, 100});
  }
  // Some instances haven't heard yet that a sixth of the fleet is gone.
  const std::size_t gone = views_differ ? instances / 6 : 0;
  std::vector<InstanceEntry> remaining(
      fleet.begin() + static_cast<std::ptrdiff_t>(gone), fleet.end());
  const detail::Topology topology("dc-0", regions);
  std::vector<Time> sent;
  const Time start = Time(Seconds(1000));
  for (std::size_t i = gone; i < instances; ++i) {
    detail::RateLimiter limiter;
    limiter.OnAnswer({true, limit}, start, start);
    limiter.SetShare(
        detail::ShareRateLimit(server, is_shard, limit, fleet[i].name,
                               i % 2 == 0 ? remaining : fleet, topology),
        start);
    const Time end = start + Seconds(60);
    for (Time at = limiter.NextSend(start); at < end;
         at = limiter.NextSend(at)) {
      if (!limiter.Allows(at)) {
        at += Duration(1);
        continue;
      }
      limiter.OnSent(at);
      sent.push_back(at);
    }
  }
  std::sort(sent.begin(), sent.end());
  CHECK(static_cast<double>(BusiestWindow(sent, start)) <= MaxInWindow(limit));
  if (!views_differ && limit >= 3)
    CHECK(static_cast<double>(sent.size()) >= 0.5 * limit * 60);
}

TEST_CASE("A fleet of any size keeps a server's rate limit") {
  for (const std::size_t instances : {1U, 9U, 76U, 300U, 2600U}) {
    for (const double limit : {0.0, 0.3, 1.0, 3.0, 8.2, 25.0, 800.0}) {
      for (const bool is_shard : {false, true}) {
        CheckFleetKeepsLimit(instances, limit, is_shard, false);
        CheckFleetKeepsLimit(instances, limit, is_shard, true);
      }
    }
  }
}

}  // namespace
}  // namespace limpetrudder
