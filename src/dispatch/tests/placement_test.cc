#include <algorithm>

#include <doctest/doctest.h>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

// Two data centres, each with one server of each shard. An instance may have
// two requests in flight at one server.
FleetSession::Options FewConnections() {
  FleetSession::Options options;
  options.instances = {"kgn-a", "mbj-a"};
  options.shards.assign(10, {"kgn-a", "mbj-a"});
  options.cross_region_time = Millis(10);
  options.latency_target = Millis(250);
  options.max_connections = 6;
  return options;
}

struct AttemptCounts {
  double total = 0;
  double cross_region = 0;
  double in_target_ratio = 0;  // Of the answers.
};

AttemptCounts CountAttempts(const FleetSession& session, Duration target) {
  AttemptCounts attempts;
  std::size_t timely = 0;
  for (const auto& [call, answer] : session.answers()) {
    attempts.total += answer.record.attempts;
    attempts.cross_region += answer.record.cross_region_attempts;
    timely += answer.record.took <= target ? 1 : 0;
  }
  attempts.in_target_ratio = static_cast<double>(timely) /
                             static_cast<double>(session.answers().size());
  return attempts;
}

// Bursts of load on servers that accept few connections. Guards against
// sending to another region although the near server will have room sooner.
TEST_CASE("A near server that has no room for a moment") {
  FleetSession session(FewConnections());
  session.Run(Seconds(12));  // Until the limit of one connection has ended.
  session.RunLoad(150, Seconds(10));
  session.Run(Seconds(2));
  const AttemptCounts attempts = CountAttempts(session, Millis(239));

  SUBCASE("a full near server is preferred to one in another region") {
    CHECK(attempts.cross_region <= 0.05 * attempts.total);
  }
  SUBCASE("requests that wait for a near server are answered in time") {
    CHECK(attempts.in_target_ratio >= 0.98);
  }
}

// Guards against waiting for a paused server until the latency target passes.
TEST_CASE("A near server without room that pauses isn't waited for") {
  FleetSession session(FewConnections());
  session.Run(Seconds(12));
  session.RunLoad(20, Seconds(2));
  const Time paused_until = session.now() + Millis(300);
  session.server(0, 0).paused_until = paused_until;
  std::vector<CallId> calls;
  for (int i = 0; i < 6; ++i) {
    calls.push_back(session.Search(0));
    session.Run(Millis(10));
  }
  session.Run(Seconds(1));
  for (const CallId call : calls) {
    CHECK(session.answer(call).reply.missing_parts <= 1);
    CHECK(session.answer(call).record.took <= Millis(239));
  }
}

}  // namespace
}  // namespace limpetrudder
