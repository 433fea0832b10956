#ifndef DISCOVERY_TESTS_DISCOVERY_SIMULATION_H_
#define DISCOVERY_TESTS_DISCOVERY_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "discovery/discovery_engine.h"
#include "discovery/tests/simulated_store.h"
#include "framework/random.h"

namespace limpetrudder {

struct DiscoverySimulationSettings {
  int instances = 9;
  int servers = 40;
  std::uint64_t seed = 1;
};

// A fleet of discovery engines with a simulated store, operator and servers, in
// virtual time. Records violations of invariants while it runs.
class DiscoverySimulation {
 public:
  explicit DiscoverySimulation(DiscoverySimulationSettings settings);

  void Run(Duration duration);
  Time now() const { return now_; }
  SimulatedStore& store() { return store_; }

  // The operator writes routes of `version`.
  void WriteRoutes(std::uint64_t version);
  // The operator evacuates a data centre, or takes it back.
  void Evacuate(const std::string& data_centre);
  void EndEvacuation(const std::string& data_centre);
  // The server starts to drain and leaves four seconds later.
  void DrainServer(int server);
  // The server stops without draining; its entry lapses later.
  void CrashServer(int server);
  void StartServer();

  // The store restarts from a copy that is at least `age` old and is down for
  // `outage`.
  void RestoreOlderCopy(Duration age, Duration outage = Millis(300));
  // While down, the store replies to no call. It rejects the calls of the first
  // `count` instances.
  void SetStoreDown(bool down) { store_down_ = down; }
  void SetRefusedInstances(int count) { refused_instances_ = count; }
  // Erases the entries of all servers until they write them again.
  void EraseServerEntries();
  void KillInstance(int instance);
  void StartInstance(int instance);

  int instances() const { return static_cast<int>(nodes_.size()); }
  // Returns 0 if the instance has no routes or is down.
  std::uint64_t RoutesVersionAt(int instance) const;
  std::uint64_t MinRoutesVersion() const;
  // The latest time at which the instance's routes were confirmed.
  Time RoutesConfirmedAt(int instance) const {
    return nodes_[static_cast<std::size_t>(instance)].routes_confirmed_at;
  }
  // Separates an instance from the store and from all other instances.
  void CutOff(int instance) { cut_off_.insert(instance); }
  void Reconnect(int instance) { cut_off_.erase(instance); }
  // Returns the number of instances whose entry in the store names its era.
  int RegisteredInstances() const;
  // Returns the number of instances that know of exactly these evacuations.
  int InstancesWithEvacuations(const std::set<std::string>& data_centres) const;
  // Returns the servers that the instance knows.
  std::set<std::string> ServersAt(int instance) const;

  // Calls to the store since the last ResetCounts().
  int listings() const { return listings_; }
  int changes_read() const { return changes_read_; }
  int lease_calls() const { return lease_calls_; }
  void ResetCounts();

  // Violated invariants, one text each.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Node {
    InstanceEntry entry;
    std::unique_ptr<DiscoveryEngine> engine;  // Null while the node is down.
    std::uint64_t incarnation = 0;  // Events of earlier ones are discarded.
    Time next_tick{};
    std::uint64_t routes_version = 0;
    Time routes_confirmed_at = Time::min();
    std::set<std::string> servers;
    std::set<std::string> evacuated;         // Data centres.
    std::set<std::string> draining_or_gone;  // Servers, as known to the node.
  };
  struct Server {
    std::string id;
    std::int64_t started_ms = 1;
    std::uint64_t sequence = 0;
    bool draining = false;
    Time gone_since = kNever;

    bool IsGone(Time now) const { return gone_since <= now; }
  };
  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void RunAfter(Duration delay, std::function<void()> run);
  // Runs `run` on the node unless it went down in the meantime.
  void RunOnNodeAfter(int node, Duration delay, std::function<void(Node&)> run);
  void Tick(int node);
  void Execute(int node);
  void Do(int node, const CallStore& action);
  void Do(int node, const CallLease& action);
  void Do(int node, const RequestFeed& action);
  void Do(int node, const SendFeedResponse& action);
  void Do(int node, const RoutesUpdated& action);
  void Do(int node, const RoutesConfirmed& action);
  void Do(int node, const ServersUpdated& action);
  void Do(int node, const EvacuationsUpdated& action);
  template <typename Other>
  void Do(int, const Other&) {}
  void WriteHeartbeat(std::size_t server);
  void RunStoreMaintenance();
  bool CanReachStore(int node) const;
  Duration DelayBetween(const InstanceEntry& a, const InstanceEntry& b) const;
  int IndexOf(const std::string& name) const;

  DiscoverySimulationSettings settings_;
  Random random_;
  SimulatedStore store_;
  std::vector<Node> nodes_;
  std::deque<Server> servers_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  Time now_ = Time(Seconds(1000));
  bool store_down_ = false;
  int refused_instances_ = 0;
  std::set<int> cut_off_;
  // The sender of a feed request.
  struct Requester {
    int node = 0;
    std::uint64_t incarnation = 0;
    FeedRequestReason reason = FeedRequestReason::kFollow;
  };
  std::map<std::uint64_t, Requester> requesters_;  // By id of the request.
  std::uint64_t next_request_id_ = 1;
  int listings_ = 0;
  int changes_read_ = 0;
  int lease_calls_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_TESTS_DISCOVERY_SIMULATION_H_
