#include <doctest/doctest.h>

#include "limits/concurrency_limit.h"
#include "limits/token_budget.h"
#include "limits/wait_queue.h"

namespace limpetrudder {
namespace {

TEST_CASE("A token budget of 3% allows 3 extra requests in 100") {
  TokenBudget budget(0.03, 10);
  int extra = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.OnOrdinaryRequest();
    extra += budget.TrySpend() ? 1 : 0;
  }
  CHECK(extra >= 300);
  CHECK(extra <= 302);

  SUBCASE("and a token budget of 0% allows no extra requests") {
    TokenBudget none(0, 10);
    none.OnOrdinaryRequest();
    CHECK_FALSE(none.TrySpend());
  }
}

TEST_CASE("A concurrency limit of a server") {
  ConcurrencyLimit limit(8);
  SUBCASE("halves when the server sheds load, down to one request") {
    limit.OnShed();
    CHECK(limit.value() == 4);
    for (int i = 0; i < 10; ++i)
      limit.OnShed();
    CHECK(limit.value() == 1);
  }
  SUBCASE("grows from one to its maximum, by one for each round of answers") {
    limit.Restart();
    int answers = 0;
    for (; limit.value() < 8; ++answers)
      limit.OnAnswer();
    CHECK(answers >= 8);
    limit.OnAnswer();
    CHECK(limit.value() == 8);
  }
}

TEST_CASE("Coordinators share the slots of a server") {
  CHECK(InFlightShare(2, 1, 22) == 3);
  CHECK(InFlightShare(2, 3, 7) == 2);
  CHECK(InFlightShare(2, 8, 2) == 1);
  CHECK(InFlightShare(2, 11, 2) == 1);
  CHECK(InFlightShare(4, 3, 1) == 1);
}

TEST_CASE("A wait queue of sub-queries") {
  WaitQueue queue;
  const Time start{};

  SUBCASE("pops the urgent class first, then the earliest deadline") {
    queue.Push(CallerClass::kBrowse, start + Millis(10), {1, 0});
    queue.Push(CallerClass::kTill, start + Millis(90), {2, 0});
    queue.Push(CallerClass::kTill, start + Millis(50), {3, 0});
    CHECK(queue.Pop()->query == 3);
    CHECK(queue.Pop()->query == 2);
    CHECK(queue.Pop()->query == 1);
    CHECK_FALSE(queue.Pop());
  }
  SUBCASE(
      "pops the least urgent class in time despite a flood of urgent ones") {
    queue.Push(CallerClass::kReport, start, {1000, 0});
    for (std::uint64_t i = 0; i < 100; ++i)
      queue.Push(CallerClass::kTill, start, {i, 0});
    bool popped = false;
    for (std::uint64_t i = 0; i < WaitQueue::kLeastUrgentInterval; ++i)
      popped |= queue.Pop()->query == 1000;
    CHECK(popped);
  }
  SUBCASE("is empty after its only entry is removed, even twice") {
    const auto ticket = queue.Push(CallerClass::kTill, start, {1, 0});
    queue.Remove(ticket);
    queue.Remove(ticket);
    CHECK(queue.empty());
  }
  SUBCASE("counts the entries that run before a new one of a class") {
    queue.Push(CallerClass::kTill, start, {1, 0});
    queue.Push(CallerClass::kReport, start, {2, 0});
    CHECK(queue.AheadOf(CallerClass::kBrowse) == 1);
    CHECK(queue.AheadOf(CallerClass::kReport) == 2);
  }
}

}  // namespace
}  // namespace limpetrudder
