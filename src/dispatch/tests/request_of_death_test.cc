#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

// The users' bound: three servers crash, and from four seconds later on the
// request reaches servers three times at most.
constexpr int kMaxCrashes = 3 + 3;

struct Load {
  int searches = 0;
  int served = 0;
};

// Runs sound searches at all instances, and twice a second a request of death,
// which its caller sends once more to the next instance if it fails.
Load RunDeadlyLoad(FleetSession* session,
                   const std::string& target,
                   Duration duration,
                   bool may_be_answered = false) {
  constexpr int kSearchesPerSecond = 60;
  constexpr Duration kGap = Millis(1000 / kSearchesPerSecond);
  std::vector<CallId> searches;
  CallId deadly = 0;
  std::size_t next = 0;
  const Time end = session->now() + duration;
  for (int i = 0; session->now() < end; ++i) {
    searches.push_back(session->Search(next++ % 8));
    if (i % (kSearchesPerSecond / 2) == 0)
      deadly = session->SendRequest(target, next++ % 8);
    session->Run(kGap);
    if (deadly != 0 && session->answered(deadly)) {
      const bool failed = session->answer(deadly).reply.status >= 500;
      CHECK((failed || may_be_answered));
      if (failed)
        session->SendRequest(target, next++ % 8);
      deadly = 0;
    }
  }
  session->Run(Seconds(3));
  Load load;
  load.searches = static_cast<int>(searches.size());
  load.served = static_cast<int>(
      std::count_if(searches.begin(), searches.end(), [session](CallId call) {
        return session->answer(call).reply.status == 200;
      }));
  return load;
}

TEST_SUITE_BEGIN("request-of-death");

TEST_CASE("A search that crashes each server that runs it comes again") {
  FleetSession session(FleetSession::SmallFleet(18));
  const Load load =
      RunDeadlyLoad(&session, FleetSession::kDeadlySearch, Seconds(20));
  const int crashes = session.crashes();

  SUBCASE("it crashes few servers") {
    CHECK(crashes <= kMaxCrashes);
  }
  SUBCASE("most callers of sound searches are served") {
    CHECK(load.served >= load.searches * 95 / 100);
  }
  SUBCASE("it reaches no server any more") {
    RunDeadlyLoad(&session, FleetSession::kDeadlySearch, Seconds(20));
    CHECK(session.crashes() == crashes);
  }
  SUBCASE("an instance that restarts doesn't run it either") {
    session.Restart(2);
    session.Run(Seconds(1));
    RunDeadlyLoad(&session, FleetSession::kDeadlySearch, Seconds(4));
    CHECK(session.crashes() == crashes);
  }
}

TEST_CASE("A request to one server that crashes each server comes again") {
  FleetSession::Options options = FleetSession::SmallFleet(18);
  options.single_servers = 7;
  FleetSession session(options);
  // Its first quarantine and the trial after it have ended by then.
  RunDeadlyLoad(&session, FleetSession::kDeadlySingle, Seconds(7));
  const int crashes = session.crashes();
  CHECK(crashes <= kMaxCrashes);
  RunDeadlyLoad(&session, FleetSession::kDeadlySingle, Seconds(16));
  CHECK(session.crashes() == crashes);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("request-of-death-retried");

// The users' bound: once a request has crashed three servers, and
// kContactTime has passed, it may reach this many more, from all instances
// together.
constexpr int kMaxLateArrivals = 3;
constexpr Duration kContactTime = Seconds(4);

int LateArrivals(const FleetSession& session) {
  constexpr std::size_t kCrashes = 3;
  if (session.crash_times().size() < kCrashes)
    return 0;
  const Time since = session.crash_times()[kCrashes - 1] + kContactTime;
  const auto& arrivals = session.deadly_arrivals();
  return static_cast<int>(
      std::count_if(arrivals.begin(), arrivals.end(),
                    [since](Time arrival) { return arrival > since; }));
}

// Sends a request of death `per_second` times a second to one instance after
// the other.
void RepeatRequest(FleetSession* session,
                   const std::string& target,
                   int per_second,
                   Duration duration) {
  static constexpr std::size_t kStride = 7;
  const std::size_t instances = session->instance_count();
  const Time end = session->now() + duration;
  for (std::size_t next = 0; session->now() < end; next += kStride) {
    session->SendRequest(target, next % instances);
    session->Run(Duration(Seconds(1)) / per_second);
  }
}

FleetSession::Options RetriedOptions(std::size_t instances) {
  FleetSession::Options options = FleetSession::SmallFleet(18);
  const std::vector<std::string> places = options.instances;
  options.instances.clear();
  for (std::size_t i = 0; i < instances; ++i)
    options.instances.push_back(places[i % places.size()]);
  options.single_servers = 7;
  options.crashes_if_cancelled = true;
  return options;
}

TEST_CASE("A request of death comes at many instances when it may be retried") {
  double exchange_loss = 0;
  Duration exchange_delay{0};
  Duration deadly_work{0};
  SUBCASE("and verdicts take a network time") {}
  SUBCASE("and verdicts are late, out of order, and lost half of the time") {
    exchange_loss = 0.5;
    exchange_delay = Millis(800);
  }
  SUBCASE("and servers take long to crash") {
    deadly_work = Millis(400);
  }
  for (const std::size_t instances : {9U, 76U, 300U}) {
    for (const char* target :
         {FleetSession::kDeadlySearch, FleetSession::kDeadlySingle}) {
      CAPTURE(instances);
      CAPTURE(target);
      FleetSession::Options options = RetriedOptions(instances);
      options.exchange_loss = exchange_loss;
      options.exchange_delay = exchange_delay;
      options.deadly_work = deadly_work;
      FleetSession session(options);
      RepeatRequest(&session, target, 40, Seconds(20));
      CHECK(LateArrivals(session) <= kMaxLateArrivals);
    }
  }
}

TEST_CASE("A wave of crashes under many requests in a large fleet") {
  // The users' bound for control at each instance.
  constexpr double kMaxBytesPerSecond = 7e3;
  constexpr Duration kPeriod = Seconds(60);
  // A message with its reply, without notices, and a notice.
  constexpr double kMessageBytes = 350;
  constexpr double kNoticeBytes = 160;
  for (const std::size_t instances : {76U, 195U}) {
    CAPTURE(instances);
    FleetSession::Options options = RetriedOptions(instances);
    options.deadly_work = Millis(70);
    FleetSession session(options);
    session.SendRequest(FleetSession::kDeadlySearch, 0);
    for (std::size_t i = 0; i < 60; ++i) {
      session.SendRequest("/all/sound-" + std::to_string(i), i % instances);
      session.Run(Millis(1));
    }
    session.Run(kPeriod);
    CHECK(session.crashes() >= 16);
    // Each request is suspected, tried and cleared.
    const int relays = static_cast<int>(instances) * 9;
    CHECK(session.exchanges() <=
          61 * 3 * relays + 60 * static_cast<int>(instances));
    const double bytes =
        kMessageBytes * session.exchanges() +
        kNoticeBytes * static_cast<double>(session.exchanged_notices());
    CHECK(bytes / (ToMillis(kPeriod) / 1000) / static_cast<double>(instances) <=
          kMaxBytesPerSecond);
  }
}

TEST_CASE("The result of a trial is known though its call failed in overload") {
  FleetSession::Options options = RetriedOptions(9);
  options.servers_report_load = true;
  options.max_queued = 12;
  options.crashes_if_cancelled = true;
  // The caller has its answer before the server of a trial crashes.
  options.timeout = Millis(600);
  options.deadly_work = Millis(800);
  FleetSession session(options);
  // Half as much again as the servers can run.
  constexpr int kSearchesPerStep = 3;
  constexpr Duration kStep = Millis(10);
  const Time end = session.now() + Seconds(30);
  for (std::size_t i = 0; session.now() < end; ++i) {
    for (std::size_t j = 0; j < kSearchesPerStep; ++j)
      session.Search((i + 3 * j) % session.instance_count());
    if (i % 5 == 0)
      session.SendRequest(FleetSession::kDeadlySearch,
                          i % session.instance_count());
    session.Run(kStep);
  }
  CHECK(LateArrivals(session) <= kMaxLateArrivals);
}

TEST_CASE("Instances freeze or restart while a request of death is retried") {
  constexpr std::size_t kInstances = 9;
  bool restart = false;
  SUBCASE("some are frozen for seconds") {}
  SUBCASE("all restart one after the other") {
    restart = true;
  }
  for (std::uint64_t seed = 11; seed < 19; ++seed) {
    CAPTURE(seed);
    FleetSession::Options options = RetriedOptions(kInstances);
    options.seed = seed;
    FleetSession session(options);
    const auto repeat = [&session](Duration duration) {
      RepeatRequest(&session, FleetSession::kDeadlySearch, 40, duration);
    };
    repeat(Seconds(4));
    const std::size_t first = seed % kInstances;
    const std::size_t count = restart ? kInstances : kInstances / 2;
    for (std::size_t i = first; i < first + count; ++i) {
      if (!restart) {
        session.Freeze(i % kInstances);
        continue;
      }
      session.Restart(i % kInstances);
      repeat(Millis(500));
    }
    repeat(Seconds(3));
    for (std::size_t i = first; i < first + count; ++i)
      session.Thaw(i % kInstances);
    repeat(Seconds(16));
    CHECK(LateArrivals(session) <= kMaxLateArrivals);
  }
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("request-of-death-begun");

TEST_CASE("A search crashes all servers that began it, cancelled or not") {
  FleetSession::Options options = FleetSession::SmallFleet(18);
  options.crashes_if_cancelled = true;
  FleetSession session(options);
  const Load load =
      RunDeadlyLoad(&session, FleetSession::kDeadlySearch, Seconds(20));
  // An answer may lack one of the eighteen shards.
  CHECK(session.max_shards_down() <= 1);
  CHECK(load.served >= load.searches * 95 / 100);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("request-of-death-hedged");

TEST_CASE("A search crashes its servers later than they usually answer") {
  FleetSession::Options options = FleetSession::SmallFleet(18);
  options.crashes_if_cancelled = true;
  options.latency_target = Millis(120);
  options.deadly_work = Millis(70);
  for (std::uint64_t seed = 11; seed < 16; ++seed) {
    CAPTURE(seed);
    options.seed = seed;
    FleetSession session(options);
    for (SessionServer* server : session.shard_servers())
      server->work = Millis(7);
    session.RunLoad(60, Seconds(2));
    const Load load =
        RunDeadlyLoad(&session, FleetSession::kDeadlySearch, Seconds(20));
    // An answer may lack one of the eighteen shards.
    CHECK(session.max_shards_down() <= 1);
    CHECK(load.served >= load.searches * 95 / 100);
  }
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("request-of-death-answered");

TEST_CASE("A search crashes servers some of which have just answered it") {
  FleetSession::Options options = FleetSession::SmallFleet(18);
  options.crashes_if_cancelled = true;
  options.answered_before_crash = 0.2;
  for (std::uint64_t seed = 11; seed < 16; ++seed) {
    CAPTURE(seed);
    options.seed = seed;
    FleetSession session(options);
    const Load load = RunDeadlyLoad(&session, FleetSession::kDeadlySearch,
                                    Seconds(20), /*may_be_answered=*/true);
    const int crashes = session.crashes();
    // The first arrival reaches one server of each shard.
    CHECK(crashes <= 18 + kMaxCrashes);
    CHECK(load.served >= load.searches * 95 / 100);
    RunDeadlyLoad(&session, FleetSession::kDeadlySearch, Seconds(20),
                  /*may_be_answered=*/true);
    CHECK(session.crashes() == crashes);
  }
}

TEST_CASE("A request to one server crashes it, at times after the answer") {
  FleetSession::Options options = FleetSession::SmallFleet(18);
  options.single_servers = 7;
  options.answered_before_crash = 0.5;
  for (std::uint64_t seed = 11; seed < 16; ++seed) {
    CAPTURE(seed);
    options.seed = seed;
    FleetSession session(options);
    RunDeadlyLoad(&session, FleetSession::kDeadlySingle, Seconds(8),
                  /*may_be_answered=*/true);
    const int crashes = session.crashes();
    RunDeadlyLoad(&session, FleetSession::kDeadlySingle, Seconds(20),
                  /*may_be_answered=*/true);
    CHECK(session.crashes() == crashes);
  }
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("request-of-death-blamed");

TEST_CASE("A popular search runs at servers that crash under another one") {
  FleetSession::Options options = FleetSession::SmallFleet(18);
  options.crashes_if_cancelled = true;
  options.deadly_work = Millis(70);
  int refused = 0;
  for (std::uint64_t seed = 11; seed < 31; ++seed) {
    options.seed = seed;
    FleetSession session(options);
    for (std::size_t instance = 0; instance < 8; instance += 2)
      session.SendRequest(FleetSession::kDeadlySearch, instance);
    session.RunLoad(150, Seconds(1));
    // By then all servers have started again, and callers who were refused may
    // come back.
    session.Run(Seconds(10));
    for (std::size_t i = 0; i < 50; ++i)
      refused += session.SearchNow(i % 8).reply.status == 200 ? 0 : 1;
  }
  CHECK(refused == 0);
}

TEST_SUITE_END();

TEST_CASE("Connections that break off without a crash blame no request") {
  FleetSession session(FleetSession::SmallFleet(18));
  for (SessionServer* server : session.shard_servers())
    server->resets_connections = server->entry.id.back() == '0';
  const auto is_blame = [](ResultCode code) {
    return code == ResultCode::kRequestSuspected ||
           code == ResultCode::kRequestQuarantined;
  };
  for (int i = 0; i < 100; ++i) {
    const CallRecord& record =
        session.SearchNow(static_cast<std::size_t>(i) % 8).record;
    CHECK_FALSE(is_blame(record.code));
    for (const SubQueryRecord& failed : record.failed_sub_queries)
      CHECK_FALSE(is_blame(failed.code));
  }
}

}  // namespace
}  // namespace limpetrudder
