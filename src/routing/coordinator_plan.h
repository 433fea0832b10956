#ifndef ROUTING_COORDINATOR_PLAN_H_
#define ROUTING_COORDINATOR_PLAN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_types.h"

namespace limpetrudder {

// An instance of the fleet, with the fields that routing needs.
struct Instance {
  std::string name;
  std::string data_centre;
  std::string peer_address;  // "IP:PORT".
};

// Returns up to `count` of `names` with the highest rendezvous score for `key`,
// best first. Every instance that sees the same names computes the same result,
// and adding or removing a name moves only the keys of that name. Thread safe.
std::vector<std::string> HighestScores(std::string_view key,
                                       const std::vector<std::string>& names,
                                       std::size_t count);

// How many instances of a data centre fan out and merge the queries of a
// collection, and how many connections each may hold to one server.
struct CoordinatorPlan {
  std::uint32_t coordinators = 0;
  std::uint32_t connections_per_coordinator = 0;
};

// Divides `connection_limit`, the smallest number of connections that any
// server of the collection accepts, among the instances of its data centre.
// coordinators * connections_per_coordinator never exceeds the limit. Part of
// the limit is reserved for instances whose view of the fleet is out of date.
// Preconditions: `instances` and `connection_limit` are at least 1. Thread
// safe.
CoordinatorPlan PlanCoordinators(std::uint32_t instances,
                                 std::uint32_t connection_limit);

// The coordinators of one collection in one data centre.
struct CoordinatorList {
  CoordinatorPlan plan;
  std::vector<std::string> names;  // Best first.
};

// Chooses the coordinators of `collection` among `instances`, all of
// `data_centre`. If the data centre has no server of the collection, every
// instance is a coordinator. Thread safe.
CoordinatorList FindCoordinators(const Collection& collection,
                                 std::string_view data_centre,
                                 const std::vector<std::string>& instances);

}  // namespace limpetrudder

#endif  // ROUTING_COORDINATOR_PLAN_H_
