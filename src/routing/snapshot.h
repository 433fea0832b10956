#ifndef ROUTING_SNAPSHOT_H_
#define ROUTING_SNAPSHOT_H_

#include <compare>
#include <cstdint>

namespace limpetrudder {

// One state of the index: a division into shards and a version of the data.
// Version 0 stands for "the newest held".
struct Snapshot {
  std::uint64_t map_epoch = 0;
  std::uint64_t version = 0;
  auto operator<=>(const Snapshot&) const = default;
};

}  // namespace limpetrudder

#endif  // ROUTING_SNAPSHOT_H_
