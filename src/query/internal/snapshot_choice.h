#ifndef QUERY_INTERNAL_SNAPSHOT_CHOICE_H_
#define QUERY_INTERNAL_SNAPSHOT_CHOICE_H_

#include <cstdint>

#include "framework/time.h"
#include "query/internal/shard_state.h"

namespace limpetrudder::detail {

// Chooses the version at which to query all shards of `plan`: the newest one
// that every server in service reported. If there is none, chooses the version
// that most shards reported, the newest if several tie. Returns 0 if no version
// is known. Thread compatible.
std::uint64_t ChooseVersion(const ShardPlan& plan, Time now);

struct VersionChoice {
  std::uint64_t version = 0;  // 0 if none is known.
  // Number of shards that hold the version or may have advanced to it.
  std::uint32_t possible_shards = 0;
};

// Chooses a version to continue with after a shard turned out not to hold
// `failed`: the one that most shards hold or may have advanced to since their
// last report. Ties go to the version that most shards reported, then to the
// newest. Thread compatible.
VersionChoice ChooseAnotherVersion(const ShardPlan& plan,
                                   std::uint64_t failed,
                                   Time now);

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_SNAPSHOT_CHOICE_H_
