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

// The homes of a collection in another data centre.
struct RemoteCoordinators {
  std::string data_centre;
  std::vector<std::string> peers;
};

// Shards of one query that another data centre was asked for in one call.
struct BatchState {
  QueryId query = 0;
  std::string data_centre;
  std::vector<std::uint32_t> shards;
};

// Which data centres can be asked for shards, which shards wait to be asked of
// one, and which calls are out. Not thread safe.
class RemoteShards {
 public:
  // `homes` are in the order of preference, nearest first.
  void SetCoordinators(std::vector<RemoteCoordinators> coordinators) {
    coordinators_ = std::move(coordinators);
  }

  // Whether any data centre of `holders` can be asked.
  bool IsReachable(const std::vector<std::string>& holders) const;

  // Notes `shard` for the next call to the nearest data centre of `holders`
  // that isn't in `asked`, and adds it there. Returns whether there is one.
  bool AddPending(std::uint32_t shard,
                  const std::vector<std::string>& holders,
                  std::vector<std::string>* requested);

  // Removes and returns the shards noted, by data centre.
  std::map<std::string, std::vector<std::uint32_t>> TakePending();

  // Returns a home of `data_centre`, drawn at random. Precondition:
  // AddPending() chose the data centre.
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
