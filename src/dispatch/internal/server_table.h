#ifndef DISPATCH_INTERNAL_SERVER_TABLE_H_
#define DISPATCH_INTERNAL_SERVER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/internal/miss_share.h"
#include "dispatch/internal/server_load.h"
#include "limits/fleet_composition.h"
#include "limits/retry_budget.h"
#include "routing/route_table.h"

namespace limpetrudder::detail {

// A leg of a call that waits until a server of its service has room. Urgent
// calls come first, then the earliest deadline.
struct WaitingLeg {
  std::uint32_t priority = 0;
  Time deadline{};
  CallId call = 0;
  std::size_t leg = 0;
  auto operator<=>(const WaitingLeg&) const = default;
};

// The servers of one service, and what is kept for all of them.
struct ServerGroup {
  std::string service;
  std::string health_path;
  std::uint32_t connections = 1;  // That this instance may open to one server.
  std::vector<std::shared_ptr<ServerLoad>> servers;
  RetryBudget budget;
  std::set<WaitingLeg> waiting;
  // Parts that another instance was asked for and couldn't get. If they are
  // many the servers are asked directly for a while, to learn how they do.
  MissShare missed;
  Time direct_until{};
  bool is_shard = true;  // Or its servers answer whole requests.
};

// Whether this instance may have one more request at `server` of `group`.
bool HasRoom(const ServerGroup& group, const ServerLoad& server, Time now);

// Orders groups by name, so that sessions repeat.
struct ByService {
  bool operator()(const ServerGroup* a, const ServerGroup* b) const {
    return a->service < b->service;
  }
};
using GroupSet = std::set<ServerGroup*, ByService>;

// All servers by id and by service. Groups live as long as the table, so that
// calls may point at them. Not thread safe.
class ServerTable {
 public:
  explicit ServerTable(RetryBudgetSettings terms) : terms_(terms) {}

  // Returns the group of `service`, made on first use.
  ServerGroup* Group(const std::string& service);

  void Apply(const DirectoryChange& change);
  void Apply(const RouteTable& routes);

  // A process of a server said that it is leaving. Remembered beyond its entry,
  // which may lapse and come back. Returns whether that is news.
  bool OnLeaving(const LeavingServer& leaving);

  // The instances that share connections and budgets.
  void SetFleet(const FleetComposition& fleet);

  // An instance that has just started opens one connection to each server:
  // those of the process before it may still be counted there, if it lost
  // power, and the sum of both has to fit.
  void SetStarting(bool starting);

  std::shared_ptr<ServerLoad> Find(const std::string& id) const;
  const std::unordered_map<std::string, std::shared_ptr<ServerLoad>>& servers()
      const {
    return servers_;
  }

 private:
  void DivideAmongFleet();
  // Who shares what the group's servers take. Queries are gathered by the large
  // instances; a request to one server is sent by whichever instance got it.
  FleetComposition SharersOf(const ServerGroup& group) const;
  void Update(const ServerEntry& entry);
  bool IsLeaving(const ServerEntry& entry) const;
  void Remove(const std::string& id);
  std::uint32_t ConnectionShare(const FleetComposition& fleet,
                                std::uint32_t max_connections) const;

  // Until the fleet is known; instances of today come in eights.
  static constexpr std::uint32_t kLikelyInstances = 8;

  const RetryBudgetSettings terms_;
  FleetComposition fleet_{kLikelyInstances, kLikelyInstances, 0};
  bool starting_ = true;
  std::unordered_map<std::string, std::unique_ptr<ServerGroup>> groups_;
  std::unordered_map<std::string, std::shared_ptr<ServerLoad>> servers_;
  std::map<std::string, std::uint32_t> max_connections_;  // By service.
  // When the processes that said that they are leaving started, by id.
  std::unordered_map<std::string, std::int64_t> leaving_;
  std::deque<std::string> leaving_ids_;  // The oldest first.
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_TABLE_H_
