#ifndef ROUTING_COORDINATOR_PLAN_H_
#define ROUTING_COORDINATOR_PLAN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_types.h"

namespace limpetrudder {

// An instance of the fleet, as far as routing cares.
struct Instance {
  std::string name;
  std::string data_centre;
  std::string peer_address;  // "IP:PORT".
};

// Returns up to `count` of `names` with the highest rendezvous score for `key`,
// best first. Every instance that sees the same names computes the same answer,
// and a name that comes or goes moves only its own share. Thread safe.
std::vector<std::string> HighestScores(std::string_view key,
                                       const std::vector<std::string>& names,
                                       std::size_t count);

// How many instances of a data centre connect to the servers of a collection,
// and how many connections each may hold to one server.
struct CoordinatorPlan {
  std::uint32_t coordinators = 0;
  std::uint32_t connections_per_coordinator = 0;
};

// Divides `connection_limit`, the fewest connections that any server of the
// collection takes, over the instances of its data centre. homes *
// connections_per_coordinator never exceeds the limit; part of the limit is
// kept back for instances whose view of the fleet is out of date.
// Preconditions: `instances` and `connection_limit` are at least 1. Thread
// safe.
CoordinatorPlan PlanCoordinators(std::uint32_t instances,
                                 std::uint32_t connection_limit);

// The homes of one collection in one data centre.
struct CoordinatorList {
  CoordinatorPlan plan;
  std::vector<std::string> names;  // Best first.
};

// Computes the homes of `collection` among `instances`, all of `data_centre`.
// Where the data centre has no server of the collection, every instance is a
// home. Thread safe.
CoordinatorList FindCoordinators(const Collection& collection,
                                 std::string_view data_centre,
                                 const std::vector<std::string>& instances);

}  // namespace limpetrudder

#endif  // ROUTING_COORDINATOR_PLAN_H_
