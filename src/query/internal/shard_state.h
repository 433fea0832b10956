#ifndef QUERY_INTERNAL_SHARD_STATE_H_
#define QUERY_INTERNAL_SHARD_STATE_H_

#include <memory>
#include <string>
#include <vector>

#include "limits/wait_queue.h"
#include "routing/server_state.h"

namespace limpetrudder::detail {

// One shard of one shard map as this instance sees it.
struct ShardState {
  std::string name;
  std::vector<std::shared_ptr<ServerState>> servers;  // In this data centre.
  std::vector<std::string> remote_data_centres;       // Others that hold it.
  std::vector<Snapshot> remote_held;                  // Reported from there.
  WaitQueue queue;
  std::size_t next_round_robin = 0;
};

// One division of a collection into shards. A query keeps to the plan that it
// began with.
struct ShardPlan {
  std::uint64_t map_epoch = 0;
  std::vector<std::shared_ptr<ShardState>> shards;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_SHARD_STATE_H_
