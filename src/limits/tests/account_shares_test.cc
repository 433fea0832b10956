#include "limits/account_shares.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "framework/random.h"

namespace limpetrudder {
namespace {

struct Sender {
  std::string account;
  double weight = 1;
  double rate = 0;  // Queries per second.
};

// The queries per second that weighted max-min fairness gives each sender of a
// capacity: those that ask for less than their part are served first.
std::map<std::string, double> MaxMin(std::vector<Sender> senders,
                                     double capacity) {
  std::map<std::string, double> served;
  std::sort(senders.begin(), senders.end(),
            [](const Sender& a, const Sender& b) {
              return a.rate / a.weight < b.rate / b.weight;
            });
  double weights = 0;
  for (const auto& sender : senders)
    weights += sender.weight;
  for (const auto& sender : senders) {
    const double given =
        std::min(sender.rate, capacity * sender.weight / weights);
    served[sender.account] = given;
    capacity -= given;
    weights -= sender.weight;
  }
  return served;
}

// Sends each account's queries at random times, with `share` of all of them to
// be admitted, and returns how many per second were. Sets each sender's rate to
// that at which its queries happened to come.
std::map<std::string, double> Run(AccountShares* shares,
                                  std::vector<Sender>* senders,
                                  double share,
                                  std::uint64_t seed) {
  constexpr Duration kWarmUp = Seconds(10);
  constexpr Duration kMeasured = Seconds(60);
  const double per_query = 1 / (ToMillis(kMeasured) / 1000);
  Random random(seed);
  std::map<std::string, double> served;
  std::map<std::string, double> arrived;
  const Time began = Time(Seconds(100));
  for (Time now = began; now < began + kWarmUp + kMeasured; now += Millis(1)) {
    for (const auto& sender : *senders) {
      if (random.Unit() >= sender.rate / 1000)
        continue;
      const bool admitted =
          shares->Admit(sender.account, sender.weight, share, now);
      if (now < began + kWarmUp)
        continue;
      arrived[sender.account] += per_query;
      served[sender.account] += admitted ? per_query : 0;
    }
  }
  for (auto& sender : *senders)
    sender.rate = arrived[sender.account];
  return served;
}

double TotalRate(const std::vector<Sender>& senders) {
  double rate = 0;
  for (const auto& sender : senders)
    rate += sender.rate;
  return rate;
}

TEST_CASE("Accounts that ask for more than can be served") {
  AccountShares shares;

  SUBCASE("all get everything while everything can be served") {
    std::vector<Sender> senders = {{"a", 4, 40}, {"b", 1, 200}};
    const auto served = Run(&shares, &senders, 1, 1);
    for (const auto& sender : senders)
      CHECK(served.at(sender.account) == doctest::Approx(sender.rate));
  }
  SUBCASE("with weights of 4, 2 and 1, the last sending ten times its part") {
    // Capacity 70: 40, 20 and 10 by weight.
    std::vector<Sender> senders = {{"a", 4, 40}, {"b", 2, 20}, {"c", 1, 100}};
    const double share = 70.0 / TotalRate(senders);
    const auto served = Run(&shares, &senders, share, 2);
    const auto fair = MaxMin(senders, 70);
    SUBCASE("the first two get nearly all that they ask for") {
      // What keeps the third from starving is taken from these.
      CHECK(served.at("a") >= 0.5 * fair.at("a"));
      CHECK(served.at("b") >= 0.5 * fair.at("b"));
      CHECK(served.at("a") / senders[0].rate >
            1.5 * served.at("c") / senders[2].rate);
    }
    SUBCASE("no account's ratio falls below half of that for all") {
      for (const auto& sender : senders) {
        CHECK(served.at(sender.account) / sender.rate >=
              0.9 * AccountShares::kMinRelativeRatio * share);
      }
    }
    SUBCASE("no more is admitted than can be served") {
      CHECK(served.at("a") + served.at("b") + served.at("c") <= 1.05 * 70);
    }
  }
  SUBCASE(
      "within limits at one and a half times the capacity, get the shares "
      "of max-min fairness") {
    std::vector<Sender> senders = {{"a", 4, 60}, {"b", 2, 12}, {"c", 1, 18}};
    const auto served = Run(&shares, &senders, 1 / 1.5, 3);
    const auto fair = MaxMin(senders, TotalRate(senders) / 1.5);
    for (const auto& sender : senders) {
      CAPTURE(sender.account);
      CHECK(served.at(sender.account) ==
            doctest::Approx(fair.at(sender.account)).epsilon(0.15));
    }
  }
  SUBCASE("84 of them, skewed, all get half of their fair share or more") {
    std::vector<Sender> senders;
    for (int i = 1; i <= 84; ++i) {
      const double usual = 12.0 / i;
      const double rate = i % 7 == 0 ? usual * 1.6 : usual;
      senders.push_back({"account-" + std::to_string(i), usual * 1.6, rate});
    }
    const double share = 0.6;
    const auto served = Run(&shares, &senders, share, 4);
    const auto fair = MaxMin(senders, share * TotalRate(senders));
    double total = 0;
    for (const auto& sender : senders) {
      CAPTURE(sender.account);
      const double got = served.at(sender.account);
      CHECK(got >= 0.5 * fair.at(sender.account));
      total += got;
    }
    CHECK(total <= 1.1 * share * TotalRate(senders));
    CHECK(total >= 0.9 * share * TotalRate(senders));
  }
  SUBCASE("are forgotten once they send no more") {
    Time now = Time(Seconds(1));
    for (int i = 0; i < 1000; ++i)
      shares.Count("account-" + std::to_string(i), 1, now);
    CHECK(shares.size() == 1000);
    now += Seconds(60);
    shares.Count("last", 1, now);
    CHECK(shares.size() == 1);
  }
}

}  // namespace
}  // namespace limpetrudder
