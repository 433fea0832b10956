#ifndef QUERY_INTERNAL_LOCAL_SERVERS_H_
#define QUERY_INTERNAL_LOCAL_SERVERS_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "query/internal/shard_state.h"
#include "routing/coordinator_plan.h"

namespace limpetrudder::detail {

// The servers of one collection in this data centre, and the collection's shard
// plan. The state of a server is kept across configuration changes while its
// name and address stay the same. Not thread safe.
class LocalServers {
 public:
  using Servers = std::map<std::string, std::shared_ptr<ServerState>>;

  explicit LocalServers(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  // Rebuilds the plan. Shards keep their queues if the map epoch is unchanged.
  void Rebuild(const Collection& collection, CoordinatorPlan coordinator_plan);

  // Sets the names of the servers that the platform lists as leaving.
  void SetListedLeaving(const std::set<std::string>& servers);

  const ShardPlan& plan() const { return plan_; }
  const Servers& servers() const { return servers_; }
  CoordinatorPlan coordinator_plan() const { return coordinator_plan_; }

 private:
  void AddServers(const Shard& shard, ShardState* state, Servers* kept);
  std::shared_ptr<ServerState> FindOrAdd(const Server& info);

  const std::string data_centre_;
  CoordinatorPlan coordinator_plan_;
  ShardPlan plan_;
  Servers servers_;
  std::set<std::string> listed_leaving_;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_LOCAL_SERVERS_H_
