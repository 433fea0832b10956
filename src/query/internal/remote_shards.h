#ifndef QUERY_INTERNAL_REMOTE_SHARDS_H_
#define QUERY_INTERNAL_REMOTE_SHARDS_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/random.h"
#include "query/query_types.h"

namespace limpetrudder::detail {

// The coordinators of a collection in another data centre.
struct RemoteCoordinators {
  std::string data_centre;
  std::vector<std::string> peers;
};

// The shards of one query that were requested from another data centre in one
// call.
struct BatchState {
  QueryId query = 0;
  std::string data_centre;
  std::vector<std::uint32_t> shards;
};

// Tracks the data centres that shards can be requested from, the shards waiting
// for the next call to each of them, and the calls in flight. Not thread safe.
class RemoteShards {
 public:
  // Sets the coordinators in order of preference, nearest first.
  void SetCoordinators(std::vector<RemoteCoordinators> coordinators) {
    coordinators_ = std::move(coordinators);
  }

  // Returns whether any data centre of `holders` has a known coordinator.
  bool IsReachable(const std::vector<std::string>& holders) const;

  // Adds `shard` to the next call to the nearest data centre of `holders` that
  // isn't in `requested`, and adds the data centre to `requested`. Returns
  // false if there is none.
  bool AddPending(std::uint32_t shard,
                  const std::vector<std::string>& holders,
                  std::vector<std::string>* requested);

  // Removes and returns the pending shards, by data centre.
  std::map<std::string, std::vector<std::uint32_t>> TakePending();

  // Returns a random coordinator of `data_centre`. Precondition: AddPending()
  // chose the data centre.
  const std::string& PickPeer(const std::string& data_centre,
                              Random* random) const;

  void AddBatch(BatchId id, BatchState batch);
  std::optional<BatchState> TakeBatch(BatchId id);
  void DropBatchesOf(QueryId query);

 private:
  const RemoteCoordinators* FindCoordinators(
      const std::string& data_centre) const;

  std::vector<RemoteCoordinators> coordinators_;
  std::map<std::string, std::vector<std::uint32_t>> pending_;
  std::unordered_map<BatchId, BatchState> batches_;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_REMOTE_SHARDS_H_
