#include "query/internal/query_state.h"

#include <algorithm>

namespace limpetrudder::detail {

std::uint32_t QueryState::CountGivenUp() const {
  return static_cast<std::uint32_t>(
      std::count_if(shards.begin(), shards.end(), [](const auto& progress) {
        return progress.status == ShardStatus::kGivenUp;
      }));
}

bool QueryState::HasSnapshotConflict() const {
  const Snapshot best = answers.BestSnapshot();
  for (std::uint32_t shard = 0; shard < shards.size(); ++shard) {
    const ShardProgress& progress = shards[shard];
    const bool refused_snapshot =
        progress.status == ShardStatus::kGivenUp &&
        (progress.reason == ResultCode::kVersionNotHeld ||
         progress.reason == ResultCode::kMapNotHeld);
    const bool answered_another = open_shards == 0 &&
                                  progress.status == ShardStatus::kAnswered &&
                                  !answers.Has(shard, best);
    if (refused_snapshot || answered_another)
      return true;
  }
  return false;
}

}  // namespace limpetrudder::detail
