#ifndef QUERY_INTERNAL_SNAPSHOT_CHOICE_H_
#define QUERY_INTERNAL_SNAPSHOT_CHOICE_H_

#include <cstdint>

#include "framework/time.h"
#include "query/internal/shard_state.h"

namespace limpetrudder::detail {

// Chooses the version at which to ask all shards of `plan`: the newest that
// every server in service holds; failing that, the one that most shards hold at
// all, the newest of equals. Returns 0 if no version is known. Thread
// compatible.
std::uint64_t ChooseVersion(const ShardPlan& plan, Time now);

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_SNAPSHOT_CHOICE_H_
