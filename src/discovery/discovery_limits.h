#ifndef DISCOVERY_DISCOVERY_LIMITS_H_
#define DISCOVERY_DISCOVERY_LIMITS_H_

#include <cstddef>

namespace limpetrudder {

// Bounds on what an instance keeps of the store's items. Anyone may write to
// the store, so neither the number nor the size of its items is known.
struct DiscoveryLimits {
  // An item with a longer key is ignored.
  std::size_t max_key_bytes = 256;

  // The value of a configuration; a longer one is ignored.
  std::size_t max_routes_bytes = 4 << 20;

  // Memory of the entries of servers, and of all entries together. Entries that
  // have no room are ignored. An entry of a server takes about 500 bytes.
  std::size_t max_server_bytes = 24 << 20;
  std::size_t max_entry_bytes = 28 << 20;

  // Memory of the history of changes.
  std::size_t max_change_bytes = 4 << 20;

  // Number of ignored items that are remembered, so that each is reported once
  // and not at each write.
  std::size_t max_refused_items = 4096;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_DISCOVERY_LIMITS_H_
