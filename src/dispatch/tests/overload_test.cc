#include <algorithm>

#include <doctest/doctest.h>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

constexpr Duration kTarget = Millis(250);
constexpr double kUsualRate = 75;  // Queries per second, 38% of the slots.

// Twenty shards, each with two servers of two slots and 20 ms of work, can run
// 200 queries per second.
constexpr double kCapacity = 200;
constexpr int kShards = 20;

FleetSession::Options OptionsFor(std::size_t instances) {
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

FleetSession::Options EightyInstances() {
  FleetSession::Options options = OptionsFor(80);
  options.max_connections = 260;
  return options;
}

// The results for callers whose first try was in [from, to).
struct Outcome {
  int callers = 0;
  int in_time = 0;  // Within the target, counted from the last try.
  int served = 0;
  int refused = 0;
  int failed = 0;
  int refusals = 0;
  int late_refusals = 0;
};

Outcome OutcomeOf(const FleetSession& session, Time from, Time to) {
  Outcome outcome;
  for (const auto& caller : session.callers()) {
    if (caller.started < from || caller.started >= to)
      continue;
    ++outcome.callers;
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
  double wasted = 0;  // The share of runs whose answers reached no caller.
};

constexpr Duration kBurst = Seconds(8);

// Runs a burst of `times` the usual rate, with the usual rate before and after.
Burst RunBurst(FleetSession* session, double times) {
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

// `capacity` is the number of queries per second that the slots allow.
void CheckBurst(const Burst& burst, double capacity) {
  INFO("callers ", burst.during.callers, ", in time ", burst.during.in_time,
       ", served ", burst.during.served, ", refused ", burst.during.refused,
       ", failed ", burst.during.failed, ", late refusals ",
       burst.during.late_refusals, " of ", burst.during.refusals, ", wasted ",
       burst.wasted, "; after the burst ", burst.after.in_time, " of ",
       burst.after.callers, " in time");
  const double seconds = ToMillis(kBurst) / 1000;
  CHECK(burst.during.in_time >= 0.85 * capacity * seconds);
  CHECK(burst.during.failed <= burst.during.callers / 50);
  CHECK(burst.during.late_refusals <= burst.during.refusals / 100);
  CHECK(burst.wasted <= 0.05);
  CHECK(burst.after.in_time >= burst.after.callers * 97 / 100);
}

TEST_SUITE_BEGIN("overload");

TEST_CASE("A burst of twice the usual rate is served without refusals") {
  FleetSession session(OptionsFor(8));
  const Burst burst = RunBurst(&session, 2);
  CHECK(burst.during.in_time >= burst.during.callers * 97 / 100);
  CHECK(burst.during.refused + burst.during.failed == 0);
}

TEST_CASE("A burst of four times the usual rate uses the servers' capacity") {
  SUBCASE("with eight instances at four times the rate") {
    FleetSession session(OptionsFor(8));
    CheckBurst(RunBurst(&session, 4), kCapacity);
  }
  SUBCASE("with three instances at four times the rate") {
    FleetSession session(OptionsFor(3));
    CheckBurst(RunBurst(&session, 4), kCapacity);
  }
  SUBCASE("with eighty instances, each with a tenth of a query in flight") {
    FleetSession session(EightyInstances());
    CheckBurst(RunBurst(&session, 4), kCapacity);
  }
  SUBCASE("when a third of the callers retry at once, three times") {
    FleetSession::Options options = OptionsFor(8);
    options.impatient_share = 0.33;
    FleetSession session(options);
    CheckBurst(RunBurst(&session, 4), kCapacity);
  }
  SUBCASE("when half of the servers take twice as long") {
    FleetSession session(OptionsFor(8));
    for (std::size_t shard = 0; shard < kShards; ++shard)
      session.server(shard, 0).work = Millis(40);
    CheckBurst(RunBurst(&session, 4), kCapacity * 0.75);
  }
  SUBCASE("when half of the instances delegate to another data centre") {
    FleetSession::Options options = OptionsFor(8);
    options.instances.assign(4, "kgn-a");
    options.instances.resize(8, "mbj-a");
    options.shards.assign(kShards, {"kgn-a", "kgn-a"});
    FleetSession session(options);
    CheckBurst(RunBurst(&session, 4), kCapacity);
  }
}

TEST_CASE("Bursts at eighty instances fail few queries, whatever the seed") {
  int callers = 0;
  int failed = 0;
  for (std::uint64_t seed = 11; seed < 21; ++seed) {
    FleetSession::Options options = EightyInstances();
    options.seed = seed;
    FleetSession session(options);
    const Burst burst = RunBurst(&session, 4);
    callers += burst.during.callers;
    failed += burst.during.failed;
  }
  CHECK(failed <= callers / 50);
}

TEST_CASE("A burst of eight times the usual rate uses the servers' capacity") {
  FleetSession session(OptionsFor(8));
  CheckBurst(RunBurst(&session, 8), kCapacity);
}

// The parts of a query are in five data centres, and the target leaves little
// time for queues.
Burst RunBurstWithShortTarget() {
  FleetSession::Options options = OptionsFor(10);
  options.shards.clear();
  for (std::size_t i = 0; i < 5; ++i) {
    const std::string data_centre = std::string(1, static_cast<char>('a' + i));
    options.instances[2 * i] = options.instances[2 * i + 1] = data_centre;
    options.shards.resize(4 * (i + 1), {data_centre, data_centre});
  }
  options.coverage_floor = 0.85;
  options.latency_target = Millis(100);
  FleetSession session(options);
  return RunBurst(&session, 4);
}

TEST_CASE("A burst at instances that delegate to one another wastes no work") {
  const Burst burst = RunBurstWithShortTarget();
  CHECK(burst.during.failed <= burst.during.callers / 50);
  CHECK(burst.during.late_refusals <= burst.during.refusals / 100);
  CHECK(burst.wasted <= 0.05);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("overload-short-target");

TEST_CASE("A burst with a target of five work times uses the capacity") {
  const Burst burst = RunBurstWithShortTarget();
  CHECK(burst.during.served >= 0.85 * kCapacity * ToMillis(kBurst) / 1000);
}

TEST_SUITE_END();

}  // namespace
}  // namespace limpetrudder
