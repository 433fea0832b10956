#include <doctest/doctest.h>

#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "quota/account_quotas.h"
#include "quota/quota_terms.h"

namespace limpetrudder {
namespace {

constexpr QuotaBounds kBounds{Seconds(5), 0.1, 20};
constexpr QuotaLimit kLimit{12, 12};
constexpr Time kSettled = Time{} + Seconds(60);

QuotaMember Member(const std::string& name, double cores = 1) {
  return {name, "east", name + ":1", cores};
}

// An instance of the data centre "east" with another one in "west".
class Instance {
 public:
  Instance()
      : quotas_(kBounds,
                Member("a", 2),
                {{"east", "north"}, {"west", "north"}},
                1) {
    quotas_.SetLimits([this](const std::string&) { return limit_; });
    quotas_.SetMembers({}, Time{});
    SetMembers({"a"}, Time{});
  }

  void SetMembers(const std::vector<std::string>& names, Time now) {
    std::vector<QuotaMember> members;
    for (const std::string& name : names)
      members.push_back(Member(name, name == "a" ? 2 : 3));
    members.push_back({"w", "west", "w:1", 1});
    quotas_.SetMembers(members, now);
  }

  // Another instance asks; the owner in the west has no tokens.
  QuotaAnswer Ask(double tokens, Time now) {
    quotas_.OnAsk(1, {"x", QuotaPurpose::kCalls, tokens}, now);
    QuotaOutputs outputs = quotas_.TakeOutputs();
    for (const auto& ask : outputs.asks) {
      quotas_.OnAnswer(ask.id, QuotaAnswer{.is_owner = true}, now);
      outputs = quotas_.TakeOutputs();
    }
    REQUIRE(outputs.answers.size() == 1);
    CHECK(outputs.answers.front().ref == 1);
    return outputs.answers.front().answer;
  }

  AccountQuotas& quotas() { return quotas_; }
  void SetLimit(std::optional<QuotaLimit> limit) { limit_ = limit; }

 private:
  std::optional<QuotaLimit> limit_ = kLimit;
  AccountQuotas quotas_;
};

TEST_CASE("The owner of a share") {
  Instance instance;
  const QuotaTerms terms = ShareOf(kLimit, kBounds, 2);

  SUBCASE("grants what its bucket holds, in whole tokens") {
    const QuotaAnswer answer = instance.Ask(1000, kSettled);
    CHECK(answer.is_owner);
    CHECK(answer.tokens == std::floor(terms.depth));
    CHECK(answer.life == GrantLife(kBounds));
  }
  SUBCASE("refuses with a time to come back once it is empty") {
    instance.Ask(1000, kSettled);
    const QuotaAnswer answer = instance.Ask(1, kSettled);
    CHECK(answer.is_owner);
    CHECK(answer.tokens == 0);
    CHECK(answer.retry_after >= Millis(80));
  }
  SUBCASE("refills at its part of the rate") {
    instance.Ask(1000, kSettled);
    CHECK(instance.Ask(1000, kSettled + Seconds(1)).tokens ==
          doctest::Approx(terms.rate).epsilon(0.2));
  }
  SUBCASE("keeps less at once when the limit is lowered") {
    instance.Ask(1, kSettled);
    const QuotaLimit lower{1, 1};
    instance.SetLimit(lower);
    CHECK(instance.Ask(1000, kSettled + Millis(1)).tokens <=
          ShareOf(lower, kBounds, 2).depth);
  }
  SUBCASE("admits all while its own routes have no limit for the account") {
    instance.SetLimit(std::nullopt);
    CHECK(instance.Ask(50, kSettled).tokens == 50);
  }
  SUBCASE("is none just after the start, when it may know few instances") {
    CHECK_FALSE(instance.Ask(1, Time{} + Seconds(1)).is_owner);
  }
  SUBCASE("is one at once if an earlier process of it was") {
    AccountQuotas again(kBounds, Member("a"),
                        {{"east", "north"}, {"west", "north"}}, 1);
    again.SetLimits([](const std::string&) { return kLimit; });
    again.SetMembers({Member("a"), {"w", "west", "w:1", 1}}, kSettled);
    again.OnAsk(1, {"x", QuotaPurpose::kCalls, 100}, kSettled);
    CHECK(again.TakeOutputs().answers.front().answer.tokens ==
          std::floor(terms.start));
    again.OnAsk(2, {"x", QuotaPurpose::kCalls, 100}, kSettled + Seconds(1));
    CHECK(again.TakeOutputs().answers.front().answer.tokens ==
          doctest::Approx(terms.rate).epsilon(0.2));
  }
  SUBCASE("is none while another instance is larger") {
    instance.SetMembers({"a", "b"}, kSettled);
    CHECK_FALSE(instance.Ask(1, kSettled + Seconds(20)).is_owner);
  }
  SUBCASE("begins with little when it follows another one") {
    instance.SetMembers({"a", "b"}, kSettled);
    instance.SetMembers({"a"}, kSettled + Seconds(1));
    const QuotaAnswer answer = instance.Ask(1000, kSettled + Seconds(2));
    CHECK(answer.tokens == std::floor(terms.start + terms.rate / 2));
    CHECK(instance.Ask(1000, kSettled + Seconds(3)).tokens <=
          std::ceil(terms.rate / 2));
  }
  SUBCASE("claims the shares of the one that it follows") {
    instance.SetMembers({"a", "b"}, kSettled);
    instance.SetMembers({"a"}, kSettled + Seconds(1));
    instance.quotas().Tick(kSettled + Seconds(1));
    const auto asks = instance.quotas().TakeOutputs().asks;
    REQUIRE(asks.size() == 1);
    CHECK(asks.front().instance == "b");
    CHECK(asks.front().ask.purpose == QuotaPurpose::kClaim);
  }
  SUBCASE("yields to one that claims its shares") {
    instance.Ask(1, kSettled);
    instance.quotas().OnAsk(9, {"", QuotaPurpose::kClaim, 0}, kSettled);
    instance.quotas().TakeOutputs();
    CHECK_FALSE(instance.Ask(1, kSettled + Seconds(2)).is_owner);
    const QuotaAnswer after = instance.Ask(1000, kSettled + Seconds(4));
    CHECK(after.is_owner);
    CHECK(after.tokens <= terms.start + terms.rate);
  }
  SUBCASE("begins anew after it was frozen") {
    instance.Ask(1, kSettled);
    CHECK(instance.Ask(1000, kSettled + Seconds(9)).tokens <= terms.start);
  }
}

TEST_CASE("A call") {
  Instance instance;
  AccountQuotas& quotas = instance.quotas();
  instance.Ask(1, kSettled);

  SUBCASE("is admitted by a share of its own instance") {
    CHECK_FALSE(quotas.Admit(7, "x", kSettled).has_value());
    const auto decisions = quotas.TakeOutputs().decisions;
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().call == 7);
    CHECK(decisions.front().verdict == QuotaVerdict::kAdmitted);

    SUBCASE("and gives its token to the next one if nothing was sent") {
      quotas.GiveBack("x", decisions.front().valid_until, kSettled);
      CHECK(quotas.Admit(8, "x", kSettled).has_value());
    }
    SUBCASE("and gives nothing back once that isn't valid") {
      const Time later = decisions.front().valid_until;
      quotas.GiveBack("x", later, later);
      CHECK_FALSE(quotas.Admit(8, "x", later).has_value());
    }
  }
  SUBCASE("asks elsewhere if this instance has heard no other one lately") {
    const Time later = kSettled + Seconds(10);
    quotas.Admit(7, "x", later);
    const QuotaOutputs outputs = quotas.TakeOutputs();
    REQUIRE(outputs.asks.size() == 1);
    CHECK(outputs.asks.front().instance == "w");

    SUBCASE("and is refused if that doesn't answer") {
      quotas.OnAnswer(outputs.asks.front().id, std::nullopt, later);
      const auto decisions = quotas.TakeOutputs().decisions;
      REQUIRE(decisions.size() == 1);
      CHECK(decisions.front().verdict == QuotaVerdict::kNoOwner);
      CHECK(decisions.front().retry_after > Duration(0));
    }
    SUBCASE("and nothing is decided once it is cancelled") {
      quotas.Cancel(7, "x");
      quotas.OnAnswer(outputs.asks.front().id, std::nullopt, later);
      CHECK(quotas.TakeOutputs().decisions.empty());
    }
  }
  SUBCASE("gives up on an owner that is silent") {
    instance.SetMembers({"a", "b"}, kSettled);
    quotas.Admit(7, "x", kSettled);
    CHECK(quotas.TakeOutputs().asks.front().instance == "b");
    const Time due = quotas.Tick(kSettled);
    quotas.Tick(due);
    CHECK(quotas.TakeOutputs().asks.back().instance == "w");
  }
}

}  // namespace
}  // namespace limpetrudder
