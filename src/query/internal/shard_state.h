#ifndef QUERY_INTERNAL_SHARD_STATE_H_
#define QUERY_INTERNAL_SHARD_STATE_H_

#include <memory>
#include <string>
#include <vector>

#include "limits/wait_queue.h"
#include "routing/server_state.h"

namespace limpetrudder::detail {

// This instance's state of one shard in one shard map.
struct ShardState {
  std::string name;
  std::vector<std::shared_ptr<ServerState>> servers;  // In this data centre.
  std::vector<std::string> remote_data_centres;  // With servers of the shard.
  std::vector<Snapshot> remote_held;             // Reported by those.
  WaitQueue queue;
  std::size_t next_round_robin = 0;
};

// The shards of a collection in one map epoch. A query keeps the plan that it
// started with until it restarts on a new shard map.
struct ShardPlan {
  std::uint64_t map_epoch = 0;
  std::vector<std::shared_ptr<ShardState>> shards;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_SHARD_STATE_H_
