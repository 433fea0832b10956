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
  return std::any_of(homes_.begin(), homes_.end(), [&](const auto& homes) {
    return !homes.peers.empty() && Contains(holders, homes.data_centre);
  });
}

bool RemoteShards::Reserve(std::uint32_t shard,
                           const std::vector<std::string>& holders,
                           std::vector<std::string>* asked) {
  for (const auto& homes : homes_) {
    if (homes.peers.empty() || !Contains(holders, homes.data_centre) ||
        Contains(*asked, homes.data_centre)) {
      continue;
    }
    asked->push_back(homes.data_centre);
    reserved_[homes.data_centre].push_back(shard);
    return true;
  }
  return false;
}

std::map<std::string, std::vector<std::uint32_t>> RemoteShards::TakeReserved() {
  return std::exchange(reserved_, {});
}

const RemoteHomes* RemoteShards::FindHomes(
    const std::string& data_centre) const {
  const auto found = std::find_if(
      homes_.begin(), homes_.end(),
      [&](const auto& homes) { return homes.data_centre == data_centre; });
  return found == homes_.end() ? nullptr : &*found;
}

const std::string& RemoteShards::PeerIn(const std::string& data_centre,
                                        Random* random) const {
  const auto& peers = FindHomes(data_centre)->peers;
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
