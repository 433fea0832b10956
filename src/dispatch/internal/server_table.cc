#include "dispatch/internal/server_table.h"

#include <algorithm>
#include <cmath>

namespace limpetrudder::detail {
namespace {

// Part of a server's connections that all instances together open; the rest is
// for instances that just started and aren't counted yet.
constexpr double kConnectionShare = 0.9;

// What an instance opens to one server while it starts.
constexpr std::uint32_t kStartingConnections = 1;

// Leaving servers that are remembered; each takes some seconds to be gone.
constexpr std::size_t kMostLeaving = 4096;

// Before the configuration says how many connections a server takes.
constexpr std::uint32_t kUnknownConnections = 16;

}  // namespace

bool HasRoom(const ServerGroup& group, const ServerLoad& server, Time now) {
  return server.in_flight() < server.ConnectionLimit(group.connections, now);
}

ServerGroup* ServerTable::Group(const std::string& service) {
  auto& group = groups_[service];
  if (!group) {
    group = std::make_unique<ServerGroup>(
        ServerGroup{service,
                    "/",
                    ConnectionShare(fleet_, kUnknownConnections),
                    {},
                    RetryBudget(terms_, fleet_),
                    {},
                    {},
                    {}});
  }
  return group.get();
}

void ServerTable::Apply(const DirectoryChange& change) {
  for (const auto& entry : change.updated)
    Update(entry);
  for (const auto& id : change.removed)
    Remove(id);
}

void ServerTable::Update(const ServerEntry& entry) {
  const auto known = Find(entry.id);
  if (known && known->entry().service != entry.service)
    Remove(entry.id);
  auto& server = servers_[entry.id];
  if (server) {
    server->Update(entry);
  } else {
    server = std::make_shared<ServerLoad>(entry);
    Group(entry.service)->servers.push_back(server);
  }
  if (IsLeaving(entry))
    server->notice().OnLeaving();
}

bool ServerTable::OnLeaving(const LeavingServer& leaving) {
  const auto [known, is_new] =
      leaving_.try_emplace(leaving.id, leaving.started_ms);
  if (!is_new && known->second >= leaving.started_ms)
    return false;
  known->second = leaving.started_ms;
  if (is_new)
    leaving_ids_.push_back(leaving.id);
  if (leaving_ids_.size() > kMostLeaving) {
    leaving_.erase(leaving_ids_.front());
    leaving_ids_.pop_front();
  }
  const auto server = Find(leaving.id);
  if (server && IsLeaving(server->entry()))
    server->notice().OnLeaving();
  return true;
}

bool ServerTable::IsLeaving(const ServerEntry& entry) const {
  const auto leaving = leaving_.find(entry.id);
  return leaving != leaving_.end() && leaving->second == entry.started_ms;
}

void ServerTable::Remove(const std::string& id) {
  const auto found = servers_.find(id);
  if (found == servers_.end())
    return;
  found->second->MarkGone();
  std::erase(Group(found->second->entry().service)->servers, found->second);
  servers_.erase(found);
}

void ServerTable::Apply(const RouteTable& routes) {
  for (const Route& route : routes.routes()) {
    for (const auto& backend : route.backends)
      Group(backend.service)->is_shard = false;
  }
  // NOTE A service that some route names as a shard is one, whatever others do.
  for (const Route& route : routes.routes()) {
    for (const auto& shard : route.shards)
      Group(shard)->is_shard = true;
  }
  for (auto& [name, group] : groups_) {
    const TargetService* service = routes.FindService(name);
    if (service == nullptr)
      continue;
    group->health_path = service->health_path;
    max_connections_[name] = service->max_connections;
  }
  DivideAmongFleet();
}

void ServerTable::SetFleet(const FleetComposition& fleet) {
  if (fleet == fleet_)
    return;
  fleet_ = fleet;
  DivideAmongFleet();
}

void ServerTable::SetStarting(bool starting) {
  starting_ = starting;
  DivideAmongFleet();
}

FleetComposition ServerTable::SharersOf(const ServerGroup& group) const {
  return group.is_shard
             ? fleet_
             : FleetComposition{fleet_.instances, fleet_.instances, 0};
}

void ServerTable::DivideAmongFleet() {
  for (auto& [name, group] : groups_) {
    const FleetComposition fleet = SharersOf(*group);
    group->budget.SetFleet(terms_, fleet);
    const auto limit = max_connections_.find(name);
    group->connections = ConnectionShare(fleet, limit == max_connections_.end()
                                                    ? kUnknownConnections
                                                    : limit->second);
  }
}

std::shared_ptr<ServerLoad> ServerTable::Find(const std::string& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : found->second;
}

std::uint32_t ServerTable::ConnectionShare(
    const FleetComposition& fleet,
    std::uint32_t max_connections) const {
  // NOTE Small instances forward what they could gather, so the large ones
  // count themselves only; a small one keeps to an equal share.
  const std::uint32_t sharing =
      fleet.larger > 0 ? fleet.instances : fleet.same_size;
  const auto share =
      static_cast<std::uint32_t>(max_connections * kConnectionShare / sharing);
  // NOTE One more for each instance must fit beside the shares, for those that
  // start anew after a loss of power.
  const std::uint32_t kept = share > 2 ? share - 1 : share;
  return std::max(1U, starting_ ? std::min(kept, kStartingConnections) : kept);
}

}  // namespace limpetrudder::detail
