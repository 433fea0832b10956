#include "dispatch/internal/trial_owners.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace limpetrudder {
namespace {

using detail::TrialOwners;

std::vector<InstanceEntry> MakeInstances(std::size_t count) {
  std::vector<InstanceEntry> instances(count);
  for (std::size_t i = 0; i < count; ++i)
    instances[i].name = "instance-" + std::to_string(i);
  return instances;
}

TEST_CASE("The owners of a request in fleets of any size") {
  for (const std::size_t count : {9U, 76U, 300U, 2600U}) {
    CAPTURE(count);
    const auto instances = MakeInstances(count);
    std::set<std::string> owners;
    for (std::size_t i = 0; i < count;
         i += std::max<std::size_t>(1, count / 50)) {
      TrialOwners view(instances[i].name);
      view.SetInstances(instances);
      for (const auto& owner : view.OwnersOf("a", 0))
        owners.insert(owner);
    }
    CHECK(owners.size() == TrialOwners::kOwners);

    SUBCASE("instances that don't know all others add few") {
      for (std::size_t i = 0; i < count; i += 3) {
        auto known = instances;
        known.erase(known.begin() + static_cast<std::ptrdiff_t>(i));
        TrialOwners view(known.front().name);
        view.SetInstances(known);
        for (const auto& owner : view.OwnersOf("a", 0))
          owners.insert(owner);
      }
      CHECK(owners.size() <= TrialOwners::kOwners + 2);
    }
  }
}

TEST_CASE("The owners of different requests are spread over the instances") {
  TrialOwners view("instance-0");
  view.SetInstances(MakeInstances(20));
  std::map<std::string, int> requests;
  for (int i = 0; i < 2000; ++i)
    ++requests[view.OwnersOf("request-" + std::to_string(i), 0).front()];
  CHECK(requests.size() == 20);
  for (const auto& [owner, count] : requests)
    CHECK(count < 200);
}

TEST_CASE("A request that has failed several trials has one owner") {
  TrialOwners view("instance-0");
  view.SetInstances(MakeInstances(9));
  CHECK(view.OwnersOf("a", 1).size() == 2);
  CHECK(view.OwnersOf("a", 2) ==
        std::vector<std::string>{view.OwnersOf("a", 0).front()});
}

TEST_CASE("An instance that knows no other one owns all requests") {
  const TrialOwners view("instance-0");
  CHECK(view.OwnersOf("a", 0) == std::vector<std::string>{"instance-0"});
}

}  // namespace
}  // namespace limpetrudder
