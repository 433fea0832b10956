#ifndef DISCOVERY_STORE_POSITION_H_
#define DISCOVERY_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace limpetrudder {

// A point in the store's history. The store counts its changes as revisions.
// When it is restored from an older copy, it increments its era and assigns
// revisions again, so only both numbers together identify a state. The default
// position precedes all others.
struct StorePosition {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const StorePosition&) const = default;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_STORE_POSITION_H_
