#ifndef LIMITS_FLEET_COMPOSITION_H_
#define LIMITS_FLEET_COMPOSITION_H_

#include <cstdint>

namespace limpetrudder {

// Counts the instances that share connections and budgets, by their size
// relative to this one. In a fleet of unequal instances the large ones fan out
// and merge the queries that the small ones forward, so the large ones divide
// nearly all connections and budgets among themselves.
struct FleetComposition {
  std::uint32_t instances = 1;  // All, this one included.
  std::uint32_t same_size = 1;  // Those of its size, this one included.
  std::uint32_t larger = 0;

  // Those that forward to it.
  std::uint32_t smaller() const { return instances - same_size - larger; }

  bool operator==(const FleetComposition&) const = default;
};

}  // namespace limpetrudder

#endif  // LIMITS_FLEET_COMPOSITION_H_
