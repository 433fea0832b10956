#include <doctest/doctest.h>
#include <algorithm>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

// The users' bound of the requests that a limited server gets in any four
// seconds, from four seconds after it named its limit.
constexpr Duration kWindow = Seconds(4);

double MaxInWindow(double limit) {
  return 1.5 * limit * ToMillis(kWindow) / 1000 + 5;
}

std::size_t BusiestWindow(const SessionServer& server, Time from) {
  const auto& times = server.arrival_times;
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

// Eight instances in three data centres, as on the small deployments. Each
// server gets about 45 requests per second.
FleetSession::Options SmallFleet() {
  FleetSession::Options options;
  options.instances = {"kgn-a", "kgn-a", "kgn-a", "mbj-a",
                       "mbj-a", "mbj-a", "mdv-a", "mdv-a"};
  for (int i = 0; i < 4; ++i) {
    options.shards.push_back({"kgn-a", "mbj-a"});
    options.shards.push_back({"mbj-a", "mdv-a"});
    options.shards.push_back({"mdv-a", "kgn-a"});
  }
  return options;
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
  FleetSession session(SmallFleet());
  SessionServer& server = session.server(0, 0);
  session.RunLoad(90, Seconds(2));
  constexpr double kLimit = 25;
  server.rate_limit = kLimit;
  const Time named = session.now();

  SUBCASE("all instances together keep the limit") {
    session.RunLoad(90, Seconds(12));
    CHECK(BusiestWindow(server, named + kWindow) <= MaxInWindow(kLimit));
    CHECK(CountAnswered(session, named) >= 1040);
  }
  SUBCASE("all instances together keep the limit after one restarts") {
    session.RunLoad(90, Seconds(5));
    session.Restart(3);
    session.RunLoad(90, Seconds(8));
    CHECK(BusiestWindow(server, named + kWindow) <= MaxInWindow(kLimit));
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace limpetrudder
