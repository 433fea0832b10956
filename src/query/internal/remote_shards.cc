#include "query/internal/remote_shards.h"

#include <algorithm>
#include <utility>

namespace limpetrudder::detail {
namespace {

bool Contains(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

}  // namespace

bool RemoteShards::IsReachable(const std::vector<std::string>& holders) const {
  return std::any_of(coordinators_.begin(), coordinators_.end(),
                     [&](const auto& coordinators) {
                       return !coordinators.peers.empty() &&
                              Contains(holders, coordinators.data_centre);
                     });
}

bool RemoteShards::AddPending(std::uint32_t shard,
                              const std::vector<std::string>& holders,
                              std::vector<std::string>* requested) {
  for (const auto& coordinators : coordinators_) {
    if (coordinators.peers.empty() ||
        !Contains(holders, coordinators.data_centre) ||
        Contains(*requested, coordinators.data_centre)) {
      continue;
    }
    requested->push_back(coordinators.data_centre);
    pending_[coordinators.data_centre].push_back(shard);
    return true;
  }
  return false;
}

std::map<std::string, std::vector<std::uint32_t>> RemoteShards::TakePending() {
  return std::exchange(pending_, {});
}

const RemoteCoordinators* RemoteShards::FindCoordinators(
    const std::string& data_centre) const {
  const auto found =
      std::find_if(coordinators_.begin(), coordinators_.end(),
                   [&](const auto& coordinators) {
                     return coordinators.data_centre == data_centre;
                   });
  return found == coordinators_.end() ? nullptr : &*found;
}

const std::string& RemoteShards::PickPeer(const std::string& data_centre,
                                          Random* random) const {
  const auto& peers = FindCoordinators(data_centre)->peers;
  return peers[random->Below(peers.size())];
}

void RemoteShards::AddBatch(BatchId id, BatchState batch) {
  batches_[id] = std::move(batch);
}

std::optional<BatchState> RemoteShards::TakeBatch(BatchId id) {
  const auto found = batches_.find(id);
  if (found == batches_.end())
    return std::nullopt;
  BatchState batch = std::move(found->second);
  batches_.erase(found);
  return batch;
}

void RemoteShards::DropBatchesOf(QueryId query) {
  std::erase_if(batches_,
                [&](const auto& entry) { return entry.second.query == query; });
}

}  // namespace limpetrudder::detail
