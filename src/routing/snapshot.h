#ifndef ROUTING_SNAPSHOT_H_
#define ROUTING_SNAPSHOT_H_

#include <compare>
#include <cstdint>

namespace limpetrudder {

// One state of the index: the epoch of its division into shards and a version
// of its data. Version 0 stands for "the newest that the server holds".
struct Snapshot {
  std::uint64_t map_epoch = 0;
  std::uint64_t version = 0;
  auto operator<=>(const Snapshot&) const = default;
};

}  // namespace limpetrudder

#endif  // ROUTING_SNAPSHOT_H_
