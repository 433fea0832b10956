#ifndef LIMITS_FLEET_SHARE_H_
#define LIMITS_FLEET_SHARE_H_

#include <cstdint>

namespace limpetrudder {

// An instance's place among those that share connections and budgets. In a
// fleet of unequal instances the large ones gather what the small ones forward,
// so they divide nearly all of it among themselves.
struct FleetShare {
  std::uint32_t instances = 1;  // All, this one included.
  std::uint32_t as_large = 1;   // Those of its size, this one included.
  std::uint32_t larger = 0;

  // Those that forward to it.
  std::uint32_t smaller() const { return instances - as_large - larger; }

  bool operator==(const FleetShare&) const = default;
};

}  // namespace limpetrudder

#endif  // LIMITS_FLEET_SHARE_H_
