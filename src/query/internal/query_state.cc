#include "query/internal/query_state.h"

#include <algorithm>

namespace limpetrudder::detail {

std::uint32_t QueryState::GivenUp() const {
  return static_cast<std::uint32_t>(
      std::count_if(shards.begin(), shards.end(), [](const auto& progress) {
        return progress.status == ShardStatus::kGivenUp;
      }));
}

bool QueryState::IsSplit() const {
  const Snapshot best = book.Best();
  for (std::uint32_t shard = 0; shard < shards.size(); ++shard) {
    const ShardProgress& progress = shards[shard];
    const bool refused_snapshot =
        progress.status == ShardStatus::kGivenUp &&
        (progress.reason == ResultCode::kVersionNotHeld ||
         progress.reason == ResultCode::kMapNotHeld);
    const bool answered_another = open == 0 &&
                                  progress.status == ShardStatus::kAnswered &&
                                  !book.Has(shard, best);
    if (refused_snapshot || answered_another)
      return true;
  }
  return false;
}

}  // namespace limpetrudder::detail
