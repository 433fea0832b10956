#include <algorithm>

#include <doctest/doctest.h>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

constexpr Duration kTarget = Millis(250);
constexpr double kUsualRate = 75;  // Queries a second, 38% of the slots.

// Twenty shards, each with two servers of two slots and 20 ms of work: 200
// queries a second.
constexpr double kCapacity = 200;
constexpr int kShards = 20;

FleetSession::Options Site(std::size_t instances) {
  FleetSession::Options options;
  options.instances.assign(instances, "kgn-a");
  options.shards.assign(kShards, {"kgn-a", "kgn-a"});
  options.max_connections = 26;
  options.max_queued = 12;
  options.budget = {0.2, 58};
  options.latency_target = kTarget;
  options.timeout = Millis(1500);
  options.servers_report_load = true;
  options.retries = 1;
  return options;
}

// What callers who first asked in [from, to) got.
struct Outcome {
  int asked = 0;
  int in_time = 0;  // From when they asked last, perhaps again as told.
  int served = 0;
  int refused = 0;
  int failed = 0;
  int refusals = 0;
  int late_refusals = 0;
};

Outcome OutcomeOf(const FleetSession& session, Time from, Time to) {
  Outcome outcome;
  for (const auto& caller : session.callers()) {
    if (caller.asked < from || caller.asked >= to)
      continue;
    ++outcome.asked;
    outcome.refusals += caller.refusals;
    outcome.late_refusals += caller.late_refusals;
    if (caller.status == 200) {
      ++outcome.served;
      outcome.in_time += caller.last_took <= kTarget ? 1 : 0;
    } else {
      ++(caller.status == 503 ? outcome.refused : outcome.failed);
    }
  }
  return outcome;
}

struct Burst {
  Outcome during;
  Outcome after;
  double wasted = 0;  // Part of the runs whose answers reached no caller.
};

constexpr Duration kBurst = Seconds(8);

Burst PlayBurst(FleetSession* session, double times) {
  session->RunCallers(kUsualRate, Seconds(4));
  const Time began = session->now();
  const int runs = session->runs();
  session->RunCallers(kUsualRate * times, kBurst);
  const Time ended = session->now();
  session->RunCallers(kUsualRate, Seconds(5));
  session->Run(Seconds(3));
  Burst burst;
  burst.during = OutcomeOf(*session, began, ended);
  burst.after = OutcomeOf(*session, ended + Seconds(2), session->now());
  const Outcome all = OutcomeOf(*session, began, session->now());
  burst.wasted = 1 - static_cast<double>(all.served * kShards) /
                         std::max(1, session->runs() - runs);
  return burst;
}

// `capacity`: queries a second that the slots allow.
void CheckBurst(const Burst& burst, double capacity) {
  INFO("asked ", burst.during.asked, ", in time ", burst.during.in_time,
       ", served ", burst.during.served, ", refused ", burst.during.refused,
       ", failed ", burst.during.failed, ", late refusals ",
       burst.during.late_refusals, " of ", burst.during.refusals, ", wasted ",
       burst.wasted, "; after it ", burst.after.in_time, " of ",
       burst.after.asked, " in time");
  const double seconds = ToMillis(kBurst) / 1000;
  CHECK(burst.during.in_time >= 0.85 * capacity * seconds);
  CHECK(burst.during.failed <= burst.during.asked / 50);
  CHECK(burst.during.late_refusals <= burst.during.refusals / 100);
  CHECK(burst.wasted <= 0.05);
  CHECK(burst.after.in_time >= burst.after.asked * 97 / 100);
}

TEST_SUITE_BEGIN("overload");

TEST_CASE("A burst of twice the usual queries is served whole") {
  FleetSession session(Site(8));
  const Burst burst = PlayBurst(&session, 2);
  CHECK(burst.during.in_time >= burst.during.asked * 97 / 100);
  CHECK(burst.during.refused + burst.during.failed == 0);
}

TEST_CASE("A burst of four times the usual queries") {
  SUBCASE("at eight instances") {
    FleetSession session(Site(8));
    CheckBurst(PlayBurst(&session, 4), kCapacity);
  }
  SUBCASE("at three") {
    FleetSession session(Site(3));
    CheckBurst(PlayBurst(&session, 4), kCapacity);
  }
  SUBCASE("at eighty, which see a tenth of a query in flight each") {
    FleetSession::Options options = Site(80);
    options.max_connections = 260;
    FleetSession session(options);
    CheckBurst(PlayBurst(&session, 4), kCapacity);
  }
  SUBCASE("of which a third comes back at once, three times") {
    FleetSession::Options options = Site(8);
    options.impatient_share = 0.33;
    FleetSession session(options);
    CheckBurst(PlayBurst(&session, 4), kCapacity);
  }
  SUBCASE("while half of the servers take twice as long") {
    FleetSession session(Site(8));
    for (std::size_t shard = 0; shard < kShards; ++shard)
      session.server(shard, 0).work = Millis(40);
    CheckBurst(PlayBurst(&session, 4), kCapacity * 0.75);
  }
  SUBCASE("whose parts come from another data centre's instances") {
    FleetSession::Options options = Site(8);
    options.instances.assign(4, "kgn-a");
    options.instances.resize(8, "mbj-a");
    options.shards.assign(kShards, {"kgn-a", "kgn-a"});
    FleetSession session(options);
    CheckBurst(PlayBurst(&session, 4), kCapacity);
  }
}

TEST_CASE("A burst of eight times the usual queries") {
  FleetSession session(Site(8));
  CheckBurst(PlayBurst(&session, 8), kCapacity);
}

// A query's parts lie in five data centres, and little time is left for queues.
Burst PlayShortTarget() {
  FleetSession::Options options = Site(10);
  options.shards.clear();
  for (std::size_t i = 0; i < 5; ++i) {
    const std::string data_centre = std::string(1, static_cast<char>('a' + i));
    options.instances[2 * i] = options.instances[2 * i + 1] = data_centre;
    options.shards.resize(4 * (i + 1), {data_centre, data_centre});
  }
  options.coverage_floor = 0.85;
  options.latency_target = Millis(100);
  FleetSession session(options);
  return PlayBurst(&session, 4);
}

TEST_CASE("A burst at instances that gather parts for one another") {
  const Burst burst = PlayShortTarget();
  CHECK(burst.during.failed <= burst.during.asked / 50);
  CHECK(burst.during.late_refusals <= burst.during.refusals / 100);
  CHECK(burst.wasted <= 0.05);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("overload-short-target");

TEST_CASE("A burst with a target of five work times is served as well") {
  const Burst burst = PlayShortTarget();
  CHECK(burst.during.served >= 0.85 * kCapacity * ToMillis(kBurst) / 1000);
}

TEST_SUITE_END();

}  // namespace
}  // namespace limpetrudder
