#ifndef DISPATCH_INTERNAL_SERVER_TABLE_H_
#define DISPATCH_INTERNAL_SERVER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "discovery/discovery_types.h"
#include "dispatch/internal/failure_rate.h"
#include "dispatch/internal/server_load.h"
#include "dispatch/internal/topology.h"
#include "framework/random.h"
#include "limits/fleet_composition.h"
#include "limits/retry_budget.h"
#include "routing/route_table.h"

namespace limpetrudder::detail {

// A sub-query that waits until a server of its service has room. Ordered by
// priority, lower values first, then by deadline, earlier ones first.
struct QueuedSubQuery {
  std::uint32_t priority = 0;
  Time deadline{};
  CallId call = 0;
  std::size_t sub_query = 0;
  auto operator<=>(const QueuedSubQuery&) const = default;
};

// The servers of one service, and the state that they share.
struct ServerGroup {
  std::string service;
  std::string health_path;
  // How many connections this instance may open to one server.
  std::uint32_t connections = 1;
  std::vector<std::shared_ptr<ServerLoad>> servers;
  RetryBudget budget;
  std::set<QueuedSubQuery> queue;
  // The rate of sub-queries that were delegated to another instance and failed
  // there. When it becomes high, sub-queries are sent to the servers directly
  // until `direct_until`, to learn the state of the servers.
  FailureRate delegation_failures;
  Time direct_until{};
  // Whether the service is a shard; otherwise each of its servers answers whole
  // requests.
  bool is_shard = true;
  // Requests per second that a cold server tolerates, if limited.
  std::optional<double> warmup_rate;
};

// Whether this instance may have one more request in flight at `server` of
// `group`.
bool HasRoom(const ServerGroup& group, const ServerLoad& server, Time now);

// Orders groups by name instead of address, so that test sessions are
// repeatable.
struct ByService {
  bool operator()(const ServerGroup* a, const ServerGroup* b) const {
    return a->service < b->service;
  }
};
using GroupSet = std::set<ServerGroup*, ByService>;

// All servers by id and by service. Groups live as long as the table, so calls
// may keep pointers to them. Not thread safe.
class ServerTable {
 public:
  // `own_name` is this instance's; `topology` must outlive the table.
  ServerTable(RetryBudgetSettings terms,
              WarmupBounds warmup_bounds,
              std::string own_name,
              const Topology* topology)
      : terms_(terms),
        warmup_bounds_(warmup_bounds),
        own_name_(std::move(own_name)),
        topology_(topology) {}

  // Returns the group of `service`, created on first use.
  ServerGroup* Group(const std::string& service);

  // Adds, updates and removes servers.
  void Apply(const DirectoryChange& change, Time now);
  // Takes the services' settings, and which of them are shards.
  void Apply(const RouteTable& routes, Time now);

  // Records that a process of a server has announced that it is leaving. The
  // record outlives the server's entry, which may expire and come back. Returns
  // whether this wasn't known yet.
  bool OnLeaving(const LeavingServer& leaving);

  // Sets the data centres whose servers get no new requests.
  void SetEvacuated(const std::set<std::string>& data_centres, Time now);

  // Records what a server says of its warm-up, now or in its entry.
  void OnWarmup(ServerLoad& server, Duration warmup_left, Time now);

  // A server of a service with a warm-up rate may have become cold. Returns
  // whether this wasn't suspected yet.
  bool OnColdDoubt(ServerLoad& server, Time now);

  // Applies what a server's answer to a request sent at `sent` says of its rate
  // limit. Returns whether the limit changed.
  bool OnRateLimit(ServerLoad& server,
                   const RateLimitNotice& notice,
                   Time sent,
                   Time now);

  // Returns the servers that came to be treated as cold since the last call.
  std::vector<ServerCold> TakeColdServers() {
    return std::exchange(new_cold_servers_, {});
  }

  // Sets the live instances, which divide the requests to cold servers.
  void SetInstances(const std::vector<InstanceEntry>& instances, Time now);

  // Sets the instances that share connections and retry budgets.
  void SetFleet(const FleetComposition& fleet);

  // Sets whether this instance is starting; it is when the table is created. A
  // starting instance opens one connection to each server: if its previous
  // process lost power, the server may still count that process's connections,
  // and the sum of both must fit the server's limit.
  void SetStarting(bool starting);

  std::shared_ptr<ServerLoad> Find(const std::string& id) const;
  // Returns any server that isn't gone, or null.
  std::shared_ptr<ServerLoad> RandomServer(Random* random) const;
  const std::unordered_map<std::string, std::shared_ptr<ServerLoad>>& servers()
      const {
    return servers_;
  }

 private:
  void UpdateShares();
  // Returns the instances that share the connections and the retry budget of
  // the group. Queries over shards are coordinated by the large instances; a
  // request to one server is sent by the instance that received it.
  FleetComposition FleetShareOf(const ServerGroup& group) const;
  void Update(const ServerEntry& entry, Time now);
  // Sets how much this instance may send to each server that is cold.
  void UpdateWarmupRates(Time now);
  void UpdateWarmupRate(ServerLoad& server);
  void UpdateRateLimitShare(ServerLoad& server, Time now);
  // Sets the rate of a server that has become cold, and reports it if its
  // service has a rate.
  void OnWarmupChanged(ServerLoad& server, bool was_cold, Time now);
  // Whether the process that the entry belongs to has announced that it is
  // leaving.
  bool IsLeaving(const ServerEntry& entry) const;
  void Remove(const std::string& id);
  // Returns this instance's share of the `max_connections` of one server.
  std::uint32_t ConnectionShare(const FleetComposition& fleet,
                                std::uint32_t max_connections) const;

  // Assumed number of instances until the fleet is known. Present deployments
  // have eight.
  static constexpr std::uint32_t kDefaultInstances = 8;

  const RetryBudgetSettings terms_;
  const WarmupBounds warmup_bounds_;
  const std::string own_name_;
  const Topology* const topology_;
  FleetComposition fleet_{kDefaultInstances, kDefaultInstances, 0};
  bool starting_ = true;
  std::vector<InstanceEntry> instances_;
  std::set<std::string> evacuated_;  // Data centres.
  std::vector<ServerCold> new_cold_servers_;
  std::unordered_map<std::string, std::unique_ptr<ServerGroup>> groups_;
  std::unordered_map<std::string, std::shared_ptr<ServerLoad>> servers_;
  std::map<std::string, std::uint32_t> max_connections_;  // By service.
  // Start times, as Unix time in milliseconds, of the processes that have
  // announced that they are leaving; by server id.
  std::unordered_map<std::string, std::int64_t> leaving_;
  std::deque<std::string> leaving_ids_;  // Oldest first.
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_TABLE_H_
