#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "quota/tests/quota_fleet.h"

namespace limpetrudder {
namespace {

constexpr QuotaBounds kBounds{Seconds(5), 0.1, 20};

// Owners begin to grant at full rate only then, and buckets have filled.
constexpr Time kCalm = Time{} + Seconds(14);
constexpr Time kEnd = Time{} + Seconds(40);

// 84 accounts, skewed, whose limits are 1.6 times what they use. Every third is
// called in one region only. The first three become hot.
std::map<std::string, AccountDemand> Demand(double calls_per_second,
                                            double hot) {
  constexpr int kAccounts = 84;
  double weights = 0;
  for (int i = 1; i <= kAccounts; ++i)
    weights += std::pow(i, -1.2);
  std::map<std::string, AccountDemand> demand;
  for (int i = 1; i <= kAccounts; ++i) {
    AccountDemand account;
    account.rate = calls_per_second * std::pow(i, -1.2) / weights;
    account.limit = {1.6 * account.rate, std::max(1.0, 1.6 * account.rate)};
    if (i <= 3) {
      account.hot = hot;
      account.hot_from = Time{} + Seconds(20);
      account.hot_until = Time{} + Seconds(30);
    }
    if (i % 3 == 0)
      account.weights = {3, 2, 0, 0, 0, 0};
    demand["account" + std::to_string(i)] = account;
  }
  return demand;
}

// One account that asks for several times its limit, mostly in one region.
std::map<std::string, AccountDemand> Greedy(double rate, double times) {
  AccountDemand account;
  account.limit = {rate, rate};
  account.rate = rate * times;
  account.weights = {5, 3, 1, 1, 1, 1};
  return {{"greedy", account}};
}

void CheckBound(const QuotaFleet& fleet) {
  CHECK(fleet.LargestShareOfBound() <= 1);
}

TEST_CASE("Accounts are kept within their limits") {
  for (const std::size_t instances : {9UL, 83UL, 300UL, 2600UL}) {
    CAPTURE(instances);
    QuotaFleet fleet(instances, kBounds, 1);
    SUBCASE("in calm") {
      // The load grows with the fleet.
      fleet.SetDemand(Demand(0.58 * static_cast<double>(instances), 6));
      fleet.RunUntil(kCalm);
      const auto before = fleet.messages();
      fleet.RunUntil(kEnd);
      CheckBound(fleet);
      CHECK(fleet.AdmittedOfOwed(kCalm) >= 0.95);
      MESSAGE(instances << " instances: admitted of what is owed "
                        << fleet.AdmittedOfOwed(kCalm) << ", of the bound "
                        << fleet.LargestShareOfBound()
                        << "; asks per instance and second "
                        << static_cast<double>(fleet.messages() - before) /
                               static_cast<double>(instances) /
                               RatioOf(kEnd - kCalm, Seconds(1))
                        << ", at the busiest "
                        << static_cast<double>(fleet.busiest_node_messages()) /
                               RatioOf(kEnd - Time{}, Seconds(1))
                        << "; wait " << fleet.MeanWaitMillis() << " ms, "
                        << fleet.LongestWaitMillis()
                        << " ms at most; memory per instance "
                        << fleet.MeanBytes() << ", at most "
                        << fleet.MostBytes() << " bytes");
    }
    SUBCASE("with an owner lost") {
      fleet.SetDemand(Demand(0.58 * static_cast<double>(instances), 6));
      fleet.RunUntil(kCalm);
      fleet.Kill(fleet.OwnerOf("account1", 0));
      fleet.RunUntil(kCalm + Seconds(4));
      fleet.SpreadViews(Seconds(2));
      fleet.RunUntil(kEnd);
      CheckBound(fleet);
      CHECK(fleet.AdmittedOfOwed(kCalm) >= 0.9);
    }
    SUBCASE("with messages lost, late and doubled") {
      fleet.SetDemand(Demand(0.58 * static_cast<double>(instances), 6));
      fleet.SetFaults({0.05, 0.1, 0.05});
      fleet.RunUntil(kEnd);
      CheckBound(fleet);
      CHECK(fleet.AdmittedOfOwed(kCalm) >= 0.8);
    }
  }
}

TEST_CASE("Accounts are served without slack all the same") {
  QuotaFleet fleet(83, {Seconds(5), 0.1, 0}, 3);
  auto demand = Demand(48, 1);
  for (auto& [name, account] : demand)
    account.limit.burst = std::max(2.0, account.limit.rate);
  fleet.SetDemand(std::move(demand));
  fleet.RunUntil(kEnd);
  CheckBound(fleet);
  CHECK(fleet.AdmittedOfOwed(kCalm) >= 0.9);
}

TEST_SUITE_BEGIN("small-burst");

TEST_CASE("Accounts with a burst below their rate are served without slack") {
  QuotaFleet fleet(83, {Seconds(5), 0.1, 0}, 3);
  auto demand = Demand(48, 1);
  for (auto& [name, account] : demand)
    account.limit.burst = 2;
  fleet.SetDemand(std::move(demand));
  fleet.RunUntil(kEnd);
  CheckBound(fleet);
  CHECK(fleet.AdmittedOfOwed(kCalm) >= 0.9);
}

TEST_SUITE_END();

TEST_CASE("An account that asks for far more than its limit") {
  for (const double rate : {0.5, 4.0, 16.0, 200.0}) {
    CAPTURE(rate);
    QuotaFleet fleet(83, kBounds, 2);
    fleet.SetDemand(Greedy(rate, 6));
    fleet.RunUntil(kCalm);
    SUBCASE("is kept to it") {
      fleet.RunUntil(kEnd);
      CheckBound(fleet);
      CHECK(fleet.AdmittedOfOwed(kCalm) >= 0.95);
    }
    SUBCASE("is kept to it on both sides of a cut") {
      std::set<std::size_t> side;
      for (const std::size_t data_centre : {0, 1}) {
        for (const std::size_t instance : fleet.InDataCentre(data_centre))
          side.insert(instance);
      }
      fleet.Cut(side);
      fleet.RunUntil(kCalm + Seconds(5));
      // The others no longer list the instances that are cut off.
      std::vector<std::size_t> others;
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (side.count(i) == 0)
          others.push_back(i);
      }
      for (const std::size_t instance : others)
        fleet.SetView(instance, others);
      fleet.RunUntil(kEnd - Seconds(10));
      fleet.Cut({});
      fleet.SpreadViews(Seconds(3));
      fleet.RunUntil(kEnd);
      CheckBound(fleet);
      CHECK(fleet.AdmittedOfOwed(kCalm) >= 0.9);
    }
    SUBCASE("is kept to it while the lists of members differ") {
      // Half of the instances believe that an owner in each data centre is
      // gone, then the others do.
      for (std::size_t data_centre = 0; data_centre < 6; ++data_centre) {
        const std::size_t gone = fleet.OwnerOf("greedy", data_centre);
        std::vector<std::size_t> view;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (i != gone)
            view.push_back(i);
        }
        for (std::size_t i = data_centre; i < fleet.size(); i += 12) {
          if (i != gone)
            fleet.SetView(i, view);
        }
        fleet.RunUntil(fleet.now() + Millis(1500));
      }
      fleet.SpreadViews(Seconds(2));
      fleet.RunUntil(kEnd);
      CheckBound(fleet);
    }
    SUBCASE("is kept to it while its owners are killed and come back") {
      for (std::size_t data_centre = 0; data_centre < 6; ++data_centre) {
        const std::size_t owner = fleet.OwnerOf("greedy", data_centre);
        fleet.Kill(owner);
        fleet.RunUntil(fleet.now() + Millis(1500));
        fleet.SpreadViews(Seconds(1));
        fleet.RunUntil(fleet.now() + Millis(1500));
        fleet.Start(owner);
        fleet.SpreadViews(Seconds(2));
      }
      fleet.RunUntil(kEnd);
      CheckBound(fleet);
    }
    SUBCASE("is kept to it while an owner is frozen and replaced") {
      const std::size_t owner = fleet.OwnerOf("greedy", 0);
      fleet.Freeze(owner, kCalm + Seconds(8));
      fleet.RunUntil(kCalm + Seconds(4));
      std::vector<std::size_t> others;
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != owner)
          others.push_back(i);
      }
      for (const std::size_t instance : others)
        fleet.SetView(instance, others);
      fleet.RunUntil(kCalm + Seconds(10));
      fleet.SpreadViews(Seconds(2));
      fleet.RunUntil(kEnd);
      CheckBound(fleet);
    }
    SUBCASE("is kept to it when all instances are killed and start again") {
      for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.Kill(i);
      fleet.RunUntil(kCalm + Millis(300));
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.Start(i);
        fleet.RunUntil(fleet.now() + Millis(5));
      }
      fleet.RunUntil(kEnd);
      CheckBound(fleet);
      CHECK(fleet.AdmittedOfOwed(kCalm) >= 0.9);
    }
    SUBCASE("is kept to it when all instances start without lists") {
      for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.Kill(i);
      fleet.RunUntil(kCalm + Seconds(1));
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.Start(i, /*listed=*/false);
        fleet.SpreadViews(Millis(500));
        fleet.RunUntil(fleet.now() + Millis(10));
      }
      fleet.RunUntil(kEnd);
      CheckBound(fleet);
    }
  }
}

// Disturbs the fleet at random for some seconds: processes are killed and
// started, frozen, cut off by data centre, and lists of members lag.
void Disturb(QuotaFleet* fleet, std::uint64_t seed) {
  Random random(seed);
  while (fleet->now() < kEnd) {
    const std::size_t instance = random.Below(fleet->size());
    const std::size_t owner = fleet->OwnerOf("greedy", random.Below(6));
    switch (random.Below(6)) {
      case 0:
        fleet->Kill(owner);
        break;
      case 1:
        fleet->Start(instance);
        break;
      case 2:
        fleet->Freeze(owner,
                      fleet->now() + Millis(1000 + static_cast<std::int64_t>(
                                                       random.Below(6000))));
        break;
      case 3: {
        const auto side = fleet->InDataCentre(random.Below(6));
        fleet->Cut({side.begin(), side.end()});
        break;
      }
      case 4:
        fleet->Cut({});
        break;
      default:
        break;
    }
    fleet->RunUntil(fleet->now() + Millis(500 + static_cast<std::int64_t>(
                                                    random.Below(1500))));
    fleet->SpreadViews(
        Millis(500 + static_cast<std::int64_t>(random.Below(2000))));
  }
}

TEST_CASE("An account is kept to its limit under random disturbances") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    QuotaFleet fleet(24, kBounds, seed);
    fleet.SetFaults({0.02, 0.05, 0.02});
    fleet.SetDemand(
        Greedy(seed % 3 == 0 ? 0.5 : (seed % 3 == 1 ? 16 : 120), 6));
    fleet.RunUntil(kCalm);
    Disturb(&fleet, seed);
    CheckBound(fleet);
  }
}

}  // namespace
}  // namespace limpetrudder
