#include "query/internal/local_servers.h"

#include <algorithm>
#include <utility>

namespace limpetrudder::detail {

std::shared_ptr<ServerState> LocalServers::FindOrAdd(const Server& info) {
  auto& server = servers_[info.name];
  if (server && server->info().address == info.address) {
    server->Reconfigure(info, coordinator_plan_.coordinators,
                        coordinator_plan_.connections_per_coordinator);
  } else {
    server = std::make_shared<ServerState>(
        info, coordinator_plan_.coordinators,
        coordinator_plan_.connections_per_coordinator);
  }
  server->SetListedLeaving(listed_leaving_.count(info.name) > 0);
  return server;
}

void LocalServers::AddServers(const Shard& shard,
                              ShardState* state,
                              Servers* kept) {
  state->servers.clear();
  state->remote_data_centres.clear();
  for (const auto& server : shard.servers) {
    if (server.data_centre == data_centre_) {
      auto local = FindOrAdd(server);
      (*kept)[server.name] = local;
      state->servers.push_back(std::move(local));
      continue;
    }
    auto& remote = state->remote_data_centres;
    if (!server.leaving && std::find(remote.begin(), remote.end(),
                                     server.data_centre) == remote.end()) {
      remote.push_back(server.data_centre);
    }
  }
}

void LocalServers::Rebuild(const Collection& collection,
                           CoordinatorPlan coordinator_plan) {
  coordinator_plan_ = coordinator_plan;
  std::map<std::string, std::shared_ptr<ShardState>> known;
  if (plan_.map_epoch == collection.map_epoch) {
    for (const auto& shard : plan_.shards)
      known[shard->name] = shard;
  }
  Servers kept;
  plan_ = ShardPlan();
  plan_.map_epoch = collection.map_epoch;
  for (const auto& service : collection.services) {
    for (const auto& shard : service.shards) {
      auto& state = known[shard.name];
      if (!state)
        state = std::make_shared<ShardState>();
      state->name = shard.name;
      AddServers(shard, state.get(), &kept);
      plan_.shards.push_back(state);
    }
  }
  servers_ = std::move(kept);
}

void LocalServers::SetListedLeaving(const std::set<std::string>& servers) {
  listed_leaving_ = servers;
  for (const auto& [name, server] : servers_)
    server->SetListedLeaving(listed_leaving_.count(name) > 0);
}

}  // namespace limpetrudder::detail
