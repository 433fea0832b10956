#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "dispatch/dispatch_engine.h"

namespace limpetrudder {
namespace {

// The time to come back that an engine without a configuration names to a
// caller that comes at `now`; nothing if it doesn't refuse.
std::optional<Duration> RetryAfterAt(DispatchEngine* engine,
                                     CallId id,
                                     Time now) {
  auto message = std::make_shared<RequestMessage>();
  message->request_id = "call-" + std::to_string(id);
  message->method = "GET";
  message->host = "search.example";
  message->target = "/search/1";
  CallRequest call;
  call.id = id;
  call.message = std::move(message);
  engine->OnCall(std::move(call), now);
  for (auto& action : engine->TakeActions()) {
    const auto* done = std::get_if<CompleteCall>(&action);
    if (done != nullptr && done->call == id && done->reply.status == 503 &&
        done->record.code == ResultCode::kNotReady)
      return done->reply.retry_after;
  }
  return std::nullopt;
}

TEST_CASE("An instance that starts while the store is away") {
  DispatchSettings settings;
  settings.own.name = "entry-1";
  settings.own.data_centre = "kgn-a";
  settings.regions = {{"kgn-a", "kingston"}};
  settings.seed = 1;
  DispatchEngine engine(settings);
  const Time start(Seconds(1));
  CallId id = 0;

  SUBCASE("tells the first callers to come back once it may have started") {
    const auto retry_after = RetryAfterAt(&engine, ++id, start);
    REQUIRE(retry_after);
    CHECK(*retry_after >= Millis(500));
    CHECK(*retry_after < Seconds(1));
  }
  SUBCASE(
      "refuses a caller that does as it is told a few times only, however "
      "long the outage lasts") {
    for (const Duration outage : {Seconds(3), Seconds(10), Seconds(30)}) {
      DispatchEngine other(settings);
      int refusals = 0;
      for (Time now = start; now < start + outage;) {
        const auto retry_after = RetryAfterAt(&other, ++id, now);
        REQUIRE(retry_after);
        now += *retry_after;
        ++refusals;
      }
      CAPTURE(WholeMillis(outage));
      // Each wait is as long as all before it, up to five seconds.
      const double doublings =
          std::log2(std::min(outage, Seconds(5)) / Millis(500));
      CHECK(refusals <= 2 + std::ceil(doublings) + outage / Seconds(5));
    }
  }
  SUBCASE("tells no caller to wait for more than a few seconds") {
    REQUIRE(RetryAfterAt(&engine, ++id, start));
    const auto retry_after = RetryAfterAt(&engine, ++id, start + Seconds(600));
    REQUIRE(retry_after);
    CHECK(*retry_after <= Millis(6250));
  }
  SUBCASE("spreads callers that come at the same moment") {
    REQUIRE(RetryAfterAt(&engine, ++id, start));
    Duration least = Duration::max();
    Duration most{0};
    for (int i = 0; i < 50; ++i) {
      const auto retry_after = RetryAfterAt(&engine, ++id, start + Seconds(4));
      REQUIRE(retry_after);
      least = std::min(least, *retry_after);
      most = std::max(most, *retry_after);
    }
    CHECK(most - least >= Millis(500));
  }
}

}  // namespace
}  // namespace limpetrudder
