#include <set>
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

Served ServeWhileCut(FleetSession* session,
                     const std::set<std::size_t>& cut,
                     const std::string& target) {
  const auto run = [&](Duration duration) {
    std::vector<CallId> calls[2];
    const Time end = session->now() + duration;
    for (std::size_t next = 0; session->now() < end; ++next) {
      const std::size_t instance = next % 8;
      calls[cut.count(instance)].push_back(
          session->SendRequest(target, instance));
      session->Run(Millis(15));
    }
    session->Run(Seconds(3));
    const auto share = [session](const std::vector<CallId>& all) {
      double served = 0;
      for (const CallId call : all)
        served += session->answer(call).reply.status == 200 ? 1 : 0;
      return served / static_cast<double>(all.size());
    };
    return Served{share(calls[1]), share(calls[0])};
  };
  for (const std::size_t instance : cut)
    session->CutFromServers(instance);
  // The users' shortest time from which instances have to serve again.
  run(Seconds(4));
  return run(Seconds(6));
}

// The users' bound of the failures at instances that are cut off.
constexpr double kMaxFailed = 11.0 / 50;

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
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("cut-from-servers-single");

TEST_CASE("Callers of single servers reach instances that have lost all") {
  FleetSession session(FleetSession::SmallFleet(18));
  const Served served = ServeWhileCut(&session, {0, 1, 2}, "/one/x");
  CHECK(served.others >= 0.99);
  CHECK(served.cut >= 1 - kMaxFailed);
}

TEST_SUITE_END();

}  // namespace
}  // namespace limpetrudder
