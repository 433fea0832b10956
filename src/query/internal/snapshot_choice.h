#ifndef QUERY_INTERNAL_SNAPSHOT_CHOICE_H_
#define QUERY_INTERNAL_SNAPSHOT_CHOICE_H_

#include <cstdint>

#include "framework/time.h"
#include "query/internal/shard_state.h"

namespace limpetrudder::detail {

// Chooses the version at which to ask all shards of `plan`: the newest that
// every server in service reported; failing that, the one that most shards
// reported at all, the newest of equals. Returns 0 if no version is known.
// Thread compatible.
std::uint64_t ChooseVersion(const ShardPlan& plan, Time now);

struct VersionChoice {
  std::uint64_t version = 0;  // 0 if none is known.
  std::uint32_t possible_shards =
      0;  // That hold it or may have advanced to it.
};

// Chooses a version to go on with after some shard turned out not to hold
// `failed`: the one that most shards hold or may have advanced to since they
// reported, then the one that most reported, then the newest. Thread
// compatible.
VersionChoice ChooseAnotherVersion(const ShardPlan& plan,
                                   std::uint64_t failed,
                                   Time now);

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_SNAPSHOT_CHOICE_H_
