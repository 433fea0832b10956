#include "dispatch/internal/server_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "dispatch/internal/rate_limit_share.h"
#include "dispatch/internal/warmup_share.h"

namespace limpetrudder::detail {
namespace {

// The fraction of a server's connections that all counted instances together
// may open. The rest is for instances that have just started and aren't counted
// yet.
constexpr double kConnectionShare = 0.9;

// Connections that a starting instance opens to one server.
constexpr std::uint32_t kStartingConnections = 1;

// Maximum number of leaving servers that are remembered. Each takes some
// seconds to be gone.
constexpr std::size_t kMaxLeaving = 4096;

// A server that has become cold says so in its entry within this time.
constexpr Duration kColdDoubtTime = Millis(3500);

// Assumed limit of a server's connections until the configuration is known.
constexpr std::uint32_t kDefaultConnections = 16;

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
                    ConnectionShare(fleet_, kDefaultConnections),
                    {},
                    RetryBudget(terms_, fleet_),
                    {},
                    {},
                    {}});
  }
  return group.get();
}

void ServerTable::Apply(const DirectoryChange& change, Time now) {
  for (const auto& entry : change.updated)
    Update(entry, now);
  for (const auto& id : change.removed)
    Remove(id);
}

void ServerTable::Update(const ServerEntry& entry, Time now) {
  const auto existing = Find(entry.id);
  if (existing && existing->entry().service != entry.service)
    Remove(entry.id);
  auto& server = servers_[entry.id];
  if (server) {
    server->Update(entry);
  } else {
    server = std::make_shared<ServerLoad>(entry);
    Group(entry.service)->servers.push_back(server);
    server->SetEvacuated(evacuated_.count(entry.data_centre) > 0);
  }
  if (IsLeaving(entry))
    server->directives().OnLeaving();
  if (entry.warmup_left > Duration::zero())
    OnWarmup(*server, entry.warmup_left, now);
  else
    server->warmup().OnWarm();
}

void ServerTable::OnWarmup(ServerLoad& server, Duration warmup_left, Time now) {
  const bool was_cold = server.warmup().IsCold(now);
  if (warmup_left > Duration::zero())
    server.warmup().OnCold(now + warmup_left);
  else
    server.warmup().OnProvedWarm();
  OnWarmupChanged(server, was_cold, now);
}

bool ServerTable::OnColdDoubt(ServerLoad& server, Time now) {
  const bool was_cold = server.warmup().IsCold(now);
  if (was_cold || !Group(server.entry().service)->warmup_rate)
    return false;
  server.warmup().OnDoubt(now + kColdDoubtTime);
  OnWarmupChanged(server, was_cold, now);
  return true;
}

void ServerTable::OnWarmupChanged(ServerLoad& server, bool was_cold, Time now) {
  if (was_cold || !server.warmup().IsCold(now))
    return;
  UpdateWarmupRate(server);
  const std::optional<double> rate = server.warmup().rate();
  if (rate)
    new_cold_servers_.push_back(
        {server.entry().id, server.entry().service, *rate});
}

void ServerTable::SetEvacuated(const std::set<std::string>& data_centres,
                               Time now) {
  evacuated_ = data_centres;
  for (const auto& [id, server] : servers_) {
    const bool was_evacuated = server->evacuated();
    server->SetEvacuated(data_centres.count(server->entry().data_centre) > 0);
    // NOTE Servers may become cold while they are evacuated, and are asked
    // nothing meanwhile.
    if (was_evacuated && !server->evacuated())
      OnColdDoubt(*server, now);
  }
}

void ServerTable::SetInstances(const std::vector<InstanceEntry>& instances,
                               Time now) {
  instances_ = instances;
  UpdateWarmupRates(now);
  for (const auto& [id, server] : servers_)
    UpdateRateLimitShare(*server, now);
}

void ServerTable::UpdateWarmupRates(Time now) {
  for (const auto& [id, server] : servers_) {
    if (server->warmup().IsCold(now))
      UpdateWarmupRate(*server);
  }
}

void ServerTable::UpdateWarmupRate(ServerLoad& server) {
  const ServerEntry& entry = server.entry();
  const std::optional<double> rate = Group(entry.service)->warmup_rate;
  if (!rate)
    return server.warmup().SetRate(std::nullopt);
  server.warmup().SetRate(WarmupShare(entry, *rate, warmup_bounds_, own_name_,
                                      instances_, *topology_));
}

bool ServerTable::OnRateLimit(ServerLoad& server,
                              const RateLimitNotice& notice,
                              Time sent,
                              Time now) {
  if (!server.rate_limiter().OnAnswer(notice, sent, now))
    return false;
  UpdateRateLimitShare(server, now);
  return true;
}

void ServerTable::UpdateRateLimitShare(ServerLoad& server, Time now) {
  const std::optional<double> limit = server.rate_limiter().limit();
  if (!limit)
    return;
  const ServerEntry& entry = server.entry();
  server.rate_limiter().SetShare(
      ShareRateLimit(entry, Group(entry.service)->is_shard, *limit, own_name_,
                     instances_, *topology_),
      now);
}

bool ServerTable::OnLeaving(const LeavingServer& leaving) {
  const auto [recorded, is_new] =
      leaving_.try_emplace(leaving.id, leaving.started_ms);
  if (!is_new && recorded->second >= leaving.started_ms)
    return false;
  recorded->second = leaving.started_ms;
  if (!is_new)
    std::erase(leaving_ids_, leaving.id);
  leaving_ids_.push_back(leaving.id);
  if (leaving_ids_.size() > kMaxLeaving) {
    leaving_.erase(leaving_ids_.front());
    leaving_ids_.pop_front();
  }
  const auto server = Find(leaving.id);
  if (server && IsLeaving(server->entry()))
    server->directives().OnLeaving();
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

void ServerTable::Apply(const RouteTable& routes, Time now) {
  for (const Route& route : routes.routes()) {
    for (const auto& backend : route.backends)
      Group(backend.service)->is_shard = false;
  }
  // NOTE A service that any route names as a shard is a shard, even if other
  // routes name it as a backend.
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
    group->warmup_rate = service->warmup_rate;
  }
  UpdateShares();
  UpdateWarmupRates(now);
}

void ServerTable::SetFleet(const FleetComposition& fleet) {
  if (fleet == fleet_)
    return;
  fleet_ = fleet;
  UpdateShares();
}

void ServerTable::SetStarting(bool starting) {
  starting_ = starting;
  UpdateShares();
}

FleetComposition ServerTable::FleetShareOf(const ServerGroup& group) const {
  return group.is_shard
             ? fleet_
             : FleetComposition{fleet_.instances, fleet_.instances, 0};
}

void ServerTable::UpdateShares() {
  for (auto& [name, group] : groups_) {
    const FleetComposition fleet = FleetShareOf(*group);
    group->budget.SetFleet(terms_, fleet);
    const auto limit = max_connections_.find(name);
    group->connections = ConnectionShare(fleet, limit == max_connections_.end()
                                                    ? kDefaultConnections
                                                    : limit->second);
  }
}

std::shared_ptr<ServerLoad> ServerTable::RandomServer(Random* random) const {
  if (servers_.empty())
    return nullptr;
  auto server =
      std::next(servers_.begin(),
                static_cast<std::ptrdiff_t>(random->Below(servers_.size())));
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (!server->second->gone())
      return server->second;
    if (++server == servers_.end())
      server = servers_.begin();
  }
  return nullptr;
}

std::shared_ptr<ServerLoad> ServerTable::Find(const std::string& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : found->second;
}

std::uint32_t ServerTable::ConnectionShare(
    const FleetComposition& fleet,
    std::uint32_t max_connections) const {
  // NOTE Small instances forward their queries to large ones, so the large ones
  // divide the connections among themselves only. A small instance keeps to an
  // equal share of all instances.
  const std::uint32_t sharing_instances =
      fleet.larger > 0 ? fleet.instances : fleet.same_size;
  const auto share = static_cast<std::uint32_t>(
      max_connections * kConnectionShare / sharing_instances);
  // NOTE One connection per instance stays unused, for an instance that
  // restarts after a loss of power while its old connections are still counted.
  const std::uint32_t usable = share > 2 ? share - 1 : share;
  return std::max(1U,
                  starting_ ? std::min(usable, kStartingConnections) : usable);
}

}  // namespace limpetrudder::detail
