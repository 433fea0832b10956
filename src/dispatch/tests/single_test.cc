#include <doctest/doctest.h>

#include "dispatch/tests/fleet_session.h"

namespace limpetrudder {
namespace {

int RunsOf(FleetSession* session, CallId call) {
  int runs = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    const auto& by_request = session->single(i).runs_by_request;
    const auto found = by_request.find("request-" + std::to_string(call));
    runs += found == by_request.end() ? 0 : found->second;
  }
  return runs;
}

TEST_CASE("A request to one server") {
  FleetSession::Options options;

  SUBCASE("that is idempotent") {
    FleetSession session(options);

    SUBCASE("gets the server's answer unchanged") {
      const SessionAnswer& answer = session.SingleNow();
      CHECK(answer.reply.from_server);
      CHECK(answer.reply.status == 200);
    }
    SUBCASE("is sent to another server after a reset") {
      for (std::size_t i = 0; i < 2; ++i)
        session.single(i).resets_connections = true;
      int answered = 0;
      for (int i = 0; i < 20; ++i)
        answered += session.SingleNow().reply.status == 200 ? 1 : 0;
      CHECK(answered >= 15);
    }
    SUBCASE("runs on at most as many servers as its route allows") {
      for (std::size_t i = 0; i < 3; ++i)
        session.single(i).resets_connections = true;
      const CallId call = session.Single();
      session.Run(Seconds(3));
      CHECK(RunsOf(&session, call) == 2);
      CHECK(session.answer(call).reply.status == 502);
    }
    SUBCASE("is retried after a refusal that may be another request's") {
      for (std::size_t i = 0; i < 2; ++i)
        session.single(i).sends_foreign_refusals = true;
      int answered = 0;
      for (int i = 0; i < 20; ++i)
        answered += session.SingleNow().reply.status == 200 ? 1 : 0;
      CHECK(answered >= 15);
    }
    SUBCASE("gets a server's failure unchanged after the last attempt") {
      for (std::size_t i = 0; i < 3; ++i)
        session.single(i).failing = true;
      const SessionAnswer& answer = session.SingleNow();
      CHECK(answer.reply.from_server);
      CHECK(answer.reply.status == 500);
    }
    SUBCASE("is answered by the deadline if servers are silent") {
      for (std::size_t i = 0; i < 3; ++i)
        session.single(i).silent = true;
      const SessionAnswer& answer = session.SingleNow();
      CHECK(answer.reply.status == 504);
      CHECK(answer.record.took <= Millis(2000));
    }
  }
  SUBCASE("that isn't idempotent") {
    options.single_kind = RequestKind::kNonIdempotent;
    FleetSession session(options);

    SUBCASE("isn't retried after a reset, and fails with 502 rather than 503") {
      for (std::size_t i = 0; i < 3; ++i)
        session.single(i).resets_connections = true;
      const CallId call = session.Single();
      session.Run(Seconds(3));
      CHECK(RunsOf(&session, call) == 1);
      CHECK(session.answer(call).reply.status == 502);
    }
    SUBCASE("isn't hedged, since it might run twice") {
      for (std::size_t i = 0; i < 3; ++i)
        session.single(i).work = Millis(1500);
      const CallId call = session.Single();
      session.Run(Seconds(3));
      CHECK(RunsOf(&session, call) == 1);
    }
    SUBCASE("is retried at another server after a refusal") {
      // These requests earn the retry budget that is spent below.
      for (int i = 0; i < 100; ++i)
        session.SingleNow();
      for (std::size_t i = 0; i < 2; ++i)
        session.single(i).reject_ratio = 1;
      for (int i = 0; i < 10; ++i) {
        const CallId call = session.Single();
        session.Run(Millis(200));
        CHECK(session.answer(call).reply.status == 200);
        CHECK(RunsOf(&session, call) == 1);
      }
    }
    SUBCASE("isn't retried after a refusal that may be another request's") {
      for (std::size_t i = 0; i < 3; ++i)
        session.single(i).sends_foreign_refusals = true;
      const CallId call = session.Single();
      session.Run(Seconds(3));
      CHECK(RunsOf(&session, call) == 1);
      CHECK(session.answer(call).reply.status == 502);
    }
    SUBCASE("is refused with 503 if all servers refuse it") {
      for (std::size_t i = 0; i < 3; ++i)
        session.single(i).reject_ratio = 1;
      const CallId call = session.Single();
      session.Run(Seconds(3));
      CHECK(session.answer(call).reply.status == 503);
      CHECK(session.answer(call).reply.retry_after);
      CHECK(session.answer(call).record.took < Millis(50));
      CHECK(RunsOf(&session, call) == 0);
    }
    SUBCASE("fails with 504 rather than 503 if a server may still run it") {
      for (std::size_t i = 0; i < 3; ++i)
        session.single(i).silent = true;
      const CallId call = session.Single();
      session.Run(Seconds(3));
      CHECK(session.answer(call).reply.status == 504);
    }
  }
}

}  // namespace
}  // namespace limpetrudder
