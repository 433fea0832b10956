#include "limits/connection_budget.h"

#include <doctest/doctest.h>

namespace limpetrudder {
namespace {

constexpr Time kStart{Seconds(100)};

ConnectionLimits SmallLimits() {
  ConnectionLimits limits;
  limits.max_bytes = 1000;
  limits.max_connections = 3;
  limits.idle_timeout = Seconds(15);
  limits.head_timeout = Seconds(3);
  return limits;
}

TEST_CASE("Connections that took too long") {
  ConnectionBudget budget(SmallLimits());
  CHECK(budget.next_expiry() == kNever);
  budget.Open(1, kStart);
  budget.Open(2, kStart + Seconds(1));

  SUBCASE("an idle one goes at its timeout, not before") {
    CHECK(budget.next_expiry() == kStart + Seconds(15));
    CHECK_FALSE(budget.FindExpired(kStart + Seconds(15) - Millis(1)));
    CHECK(budget.FindExpired(kStart + Seconds(15)) == 1);
    budget.Close(1);
    CHECK_FALSE(budget.FindExpired(kStart + Seconds(15)));
    CHECK(budget.next_expiry() == kStart + Seconds(16));
  }
  SUBCASE("a head has its own timeout, which bytes don't extend") {
    budget.SetPhase(2, ConnectionPhase::kHead, kStart + Seconds(2));
    budget.AddProgress(2, 10000);
    CHECK(budget.FindExpired(kStart + Seconds(5)) == 2);
  }
  SUBCASE("a request ends the idle time; it begins anew after the response") {
    budget.SetPhase(1, ConnectionPhase::kServing, kStart + Seconds(14));
    CHECK(budget.next_expiry() == kStart + Seconds(16));
    budget.SetPhase(1, ConnectionPhase::kIdle, kStart + Seconds(14));
    CHECK(budget.FindExpired(kStart + Seconds(16)) == 2);
    budget.Close(2);
    CHECK(budget.next_expiry() == kStart + Seconds(29));
  }
  SUBCASE("changed timeouts hold for open connections") {
    budget.SetTimeouts(Seconds(60), Seconds(3));
    CHECK_FALSE(budget.FindExpired(kStart + Seconds(59)));
    budget.SetTimeouts(Seconds(5), Seconds(3));
    CHECK(budget.FindExpired(kStart + Seconds(5)) == 1);
  }
}

TEST_CASE("Connections that hold too much memory") {
  ConnectionBudget budget(SmallLimits());
  for (const std::uint64_t id : {1, 2, 3}) {
    budget.Open(id, kStart);
    budget.SetPhase(id, ConnectionPhase::kBody, kStart);
    budget.SetBytes(id, 300);
  }
  CHECK(budget.bytes() == 900);
  CHECK_FALSE(budget.is_over_bytes());
  budget.SetBytes(2, 500);
  CHECK(budget.is_over_bytes());

  SUBCASE("the one longest without progress goes first") {
    budget.AddProgress(1, ConnectionBudget::kProgressBytes);
    CHECK(budget.FirstToGoForBytes() == 2);
    budget.Close(2);
    CHECK(budget.bytes() == 600);
    CHECK(budget.FirstToGoForBytes() == 3);
  }
  SUBCASE("a few bytes are no progress") {
    budget.AddProgress(1, 1);
    CHECK(budget.FirstToGoForBytes() == 1);
  }
  SUBCASE("many small steps add up to progress") {
    for (std::size_t i = 0; i < ConnectionBudget::kProgressBytes; ++i)
      budget.AddProgress(1, 1);
    CHECK(budget.FirstToGoForBytes() == 2);
  }
  SUBCASE("a response that isn't taken counts like a body") {
    budget.SetPhase(1, ConnectionPhase::kSending, kStart);
    budget.SetPhase(2, ConnectionPhase::kServing, kStart);
    CHECK(budget.FirstToGoForBytes() == 3);
    budget.Close(3);
    CHECK(budget.FirstToGoForBytes() == 1);
  }
  SUBCASE("an idle one goes after them, a refused one before") {
    budget.SetPhase(1, ConnectionPhase::kIdle, kStart);
    CHECK(budget.FirstToGoForBytes() == 2);
    budget.SetPhase(3, ConnectionPhase::kClosing, kStart);
    CHECK(budget.FirstToGoForBytes() == 3);
    budget.Close(2);
    budget.Close(3);
    CHECK(budget.FirstToGoForBytes() == 1);
  }
  SUBCASE("requests that are being served never go") {
    for (const std::uint64_t id : {1, 2, 3})
      budget.SetPhase(id, ConnectionPhase::kServing, kStart);
    CHECK_FALSE(budget.FirstToGoForBytes());
  }
}

TEST_CASE("Too many connections") {
  ConnectionBudget budget(SmallLimits());
  for (const std::uint64_t id : {1, 2, 3}) {
    CHECK_FALSE(budget.is_full());
    budget.Open(id, kStart + Seconds(static_cast<std::int64_t>(id)));
  }
  CHECK(budget.is_full());

  SUBCASE("the one that has been idle longest goes first") {
    CHECK(budget.FirstToGoForNumber() == 1);
    budget.SetPhase(1, ConnectionPhase::kServing, kStart + Seconds(5));
    CHECK(budget.FirstToGoForNumber() == 2);
    budget.SetPhase(1, ConnectionPhase::kIdle, kStart + Seconds(6));
    CHECK(budget.FirstToGoForNumber() == 2);
  }
  SUBCASE("without idle ones, the one longest without progress goes") {
    for (const std::uint64_t id : {3, 2, 1})
      budget.SetPhase(id, ConnectionPhase::kHead, kStart + Seconds(5));
    CHECK(budget.FirstToGoForNumber() == 3);
    budget.Close(3);
    CHECK_FALSE(budget.is_full());
  }
  SUBCASE("requests that are being served never go") {
    for (const std::uint64_t id : {1, 2, 3})
      budget.SetPhase(id, ConnectionPhase::kServing, kStart + Seconds(5));
    CHECK_FALSE(budget.FirstToGoForNumber());
  }
}

}  // namespace
}  // namespace limpetrudder
