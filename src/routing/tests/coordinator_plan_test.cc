#include <set>

#include <doctest/doctest.h>

#include "routing/coordinator_plan.h"

namespace limpetrudder {
namespace {

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i)
    names.push_back("instance-" + std::to_string(i));
  return names;
}

TEST_CASE("Coordinators together never exceed a server's connection limit") {
  for (std::uint32_t limit : {1U, 2U, 4U, 25U, 35U, 100U}) {
    for (std::uint32_t instances : {1U, 3U, 8U, 64U, 186U, 2600U}) {
      CAPTURE(limit);
      CAPTURE(instances);
      const CoordinatorPlan plan = PlanCoordinators(instances, limit);
      CHECK(plan.coordinators >= 1);
      CHECK(plan.coordinators <= instances);
      CHECK(plan.connections_per_coordinator >= 1);
      CHECK(plan.coordinators * plan.connections_per_coordinator <= limit);
    }
  }
  SUBCASE("every instance of a data centre of 3 or 8 is a coordinator") {
    CHECK(PlanCoordinators(3, 25).coordinators == 3);
    CHECK(PlanCoordinators(8, 25).coordinators == 8);
  }
  SUBCASE("eleven of 186 instances are coordinators") {
    CHECK(PlanCoordinators(186, 25).coordinators == 11);
    CHECK(PlanCoordinators(186, 25).connections_per_coordinator == 2);
  }
}

TEST_CASE("The names with the highest rendezvous scores") {
  const auto names = Names(186);
  const auto before = HighestScores("shop-catalogue", names, 11);

  SUBCASE("don't depend on the order in which names are given") {
    const std::vector<std::string> reversed(names.rbegin(), names.rend());
    CHECK(HighestScores("shop-catalogue", reversed, 11) == before);
  }
  SUBCASE("differ by one name after one of them is removed") {
    auto fewer = names;
    std::erase(fewer, before[3]);
    const auto after = HighestScores("shop-catalogue", fewer, 11);
    std::set<std::string> kept(before.begin(), before.end());
    int moved = 0;
    for (const auto& name : after)
      moved += kept.count(name) ? 0 : 1;
    CHECK(moved == 1);
  }
  SUBCASE("differ between keys, so that collections spread over instances") {
    std::set<std::string> used;
    for (int i = 0; i < 200; ++i)
      used.insert(HighestScores("c" + std::to_string(i), names, 1)[0]);
    CHECK(used.size() > 100);
  }
}

}  // namespace
}  // namespace limpetrudder
