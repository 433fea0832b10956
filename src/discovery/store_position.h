#ifndef DISCOVERY_STORE_POSITION_H_
#define DISCOVERY_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace limpetrudder {

// A point in the store's history. The store counts its changes, and may come
// back from an older copy: its era is then one higher, and revisions are given
// out again, so that neither number alone names a state. Zero precedes all.
struct StorePosition {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const StorePosition&) const = default;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_STORE_POSITION_H_
