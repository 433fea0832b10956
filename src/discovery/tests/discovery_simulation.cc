#include "discovery/tests/discovery_simulation.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace limpetrudder {
namespace {

constexpr Duration kStoreResponseTime = Millis(4);
constexpr Duration kCallTimeout = Millis(1200);
constexpr Duration kCrossRegionDelay = Millis(20);
constexpr Duration kSameDataCentreDelay = Millis(1);
constexpr Duration kHeartbeat = Millis(1200);
constexpr Duration kDrainTime = Millis(4000);
constexpr Duration kCopyInterval = Millis(250);

const std::map<std::string, std::string> kRegions = {{"west-a", "west"},
                                                     {"mid-a", "mid"},
                                                     {"east-a", "east"}};
const char* const kDataCentres[] = {"west-a", "mid-a", "east-a"};

std::string EncodeServer(std::int64_t started_ms,
                         std::uint64_t sequence,
                         bool draining) {
  return std::to_string(started_ms) + " " + std::to_string(sequence) + " " +
         (draining ? "1" : "0");
}

std::optional<FeedItem> Decode(const RawItem& item) {
  if (item.key == kRoutesKey) {
    if (!item.value)
      return std::nullopt;
    return std::make_shared<const RouteTable>(
        std::stoull(*item.value), std::vector<Route>(),
        std::vector<TargetService>(), RequestLimits());
  }
  if (item.key.starts_with(kServerKeyPrefix)) {
    ServerEntry entry;
    entry.id = item.key.substr(sizeof(kServerKeyPrefix) - 1);
    if (!item.value)
      return ServerRemoved{entry.id};
    long long started_ms = 0;
    unsigned long long sequence = 0;
    int draining = 0;
    std::sscanf(item.value->c_str(), "%lld %llu %d", &started_ms, &sequence,
                &draining);
    entry.started_ms = started_ms;
    entry.sequence = sequence;
    entry.service = "shard";
    entry.draining = draining != 0;
    return entry;
  }
  if (item.key.starts_with(kEvacuationKeyPrefix)) {
    std::string data_centre = item.key.substr(sizeof(kEvacuationKeyPrefix) - 1);
    if (item.value)
      return EvacuationStarted{std::move(data_centre)};
    return EvacuationEnded{std::move(data_centre)};
  }
  InstanceEntry entry;
  entry.name = item.key.substr(sizeof(kInstanceKeyPrefix) - 1);
  if (!item.value)
    return InstanceRemoved{entry.name};
  char data_centre[32] = {};
  unsigned long long era = 0;
  unsigned long long version = 0;
  std::sscanf(item.value->c_str(), "%31s %llu %llu", data_centre, &era,
              &version);
  entry.data_centre = data_centre;
  entry.store_era = era;
  entry.routes_version = version;
  return entry;
}

}  // namespace

DiscoverySimulation::DiscoverySimulation(DiscoverySimulationSettings settings)
    : settings_(settings), random_(settings.seed) {
  for (int i = 0; i < settings_.instances; ++i) {
    Node node;
    node.entry.data_centre = kDataCentres[i % 3];
    node.entry.name = node.entry.data_centre + "-" + std::to_string(i);
    nodes_.push_back(std::move(node));
    const int index = i;
    RunAfter(Millis(static_cast<std::int64_t>(random_.Below(300))),
             [this, index] { StartInstance(index); });
  }
  for (int i = 0; i < settings_.servers; ++i)
    StartServer();
  RunStoreMaintenance();
}

void DiscoverySimulation::RunAfter(Duration delay, std::function<void()> run) {
  events_.push({now_ + delay, next_event_++, std::move(run)});
}

void DiscoverySimulation::RunOnNodeAfter(int node,
                                         Duration delay,
                                         std::function<void(Node&)> run) {
  RunAfter(delay, [this, node, incarnation = nodes_[node].incarnation,
                   run = std::move(run)] {
    Node& at = nodes_[node];
    if (!at.engine || at.incarnation != incarnation)
      return;
    run(at);
    Execute(node);
    Tick(node);
  });
}

void DiscoverySimulation::Run(Duration duration) {
  const Time end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

void DiscoverySimulation::StartInstance(int instance) {
  Node& node = nodes_[instance];
  ++node.incarnation;
  node.routes_version = 0;
  node.routes_confirmed_at = Time::min();
  node.servers.clear();
  node.evacuated.clear();
  node.draining_or_gone.clear();
  DiscoverySettings settings;
  settings.follower.seed = random_.Next();
  settings.own = node.entry;
  settings.regions = kRegions;
  settings.decode = Decode;
  settings.confirms_routes = true;
  node.engine = std::make_unique<DiscoveryEngine>(std::move(settings));
  Tick(instance);
}

void DiscoverySimulation::KillInstance(int instance) {
  ++nodes_[instance].incarnation;
  nodes_[instance].engine.reset();
  nodes_[instance].routes_version = 0;
}

void DiscoverySimulation::Tick(int index) {
  Node& node = nodes_[index];
  const Time next = node.engine->Tick(now_);
  Execute(index);
  node.next_tick = next;
  if (next == kNever)
    return;
  // A later wake-up replaces the earlier ones.
  RunAfter(std::max(next - now_, Millis(1)), [this, index, next,
                                              incarnation = node.incarnation] {
    Node& at = nodes_[index];
    if (at.engine && at.incarnation == incarnation && at.next_tick == next)
      Tick(index);
  });
}

void DiscoverySimulation::Execute(int node) {
  for (auto& action : nodes_[node].engine->TakeActions())
    std::visit([&](const auto& a) { Do(node, a); }, action);
}

bool DiscoverySimulation::CanReachStore(int node) const {
  return !store_down_ && node >= refused_instances_ &&
         cut_off_.count(node) == 0;
}

void DiscoverySimulation::Do(int node, const CallStore& action) {
  if (std::holds_alternative<ListPage>(action.call))
    ++listings_;
  else
    ++changes_read_;
  RunAfter(kStoreResponseTime / 2,
           [this, node, action, incarnation = nodes_[node].incarnation] {
             FeedReply reply;
             Duration delay = kStoreResponseTime / 2;
             if (CanReachStore(node))
               reply = store_.Answer(action.call);
             else if (store_down_ || cut_off_.count(node) > 0)
               delay = kCallTimeout;
             else
               reply.status = FeedStatus::kRefused;
             if (nodes_[node].incarnation != incarnation)
               return;
             RunOnNodeAfter(node, delay, [this, reply](Node& at) {
               at.engine->OnStoreReply(reply, now_);
             });
           });
}

void DiscoverySimulation::Do(int node, const CallLease& action) {
  ++lease_calls_;
  RunAfter(kStoreResponseTime / 2,
           [this, node, action, incarnation = nodes_[node].incarnation] {
             LeaseReply reply;
             Duration delay = kStoreResponseTime / 2;
             if (CanReachStore(node))
               reply = store_.Answer(action.call, now_);
             else if (store_down_ || cut_off_.count(node) > 0)
               delay = kCallTimeout;
             if (nodes_[node].incarnation != incarnation)
               return;
             RunOnNodeAfter(node, delay, [this, reply](Node& at) {
               at.engine->OnLeaseReply(reply, now_);
             });
           });
}

Duration DiscoverySimulation::DelayBetween(const InstanceEntry& a,
                                           const InstanceEntry& b) const {
  return a.data_centre == b.data_centre ? kSameDataCentreDelay
                                        : kCrossRegionDelay;
}

int DiscoverySimulation::IndexOf(const std::string& name) const {
  return std::stoi(name.substr(name.rfind('-') + 1));
}

void DiscoverySimulation::Do(int node, const RequestFeed& action) {
  const int responder = IndexOf(action.instance.name);
  const Duration delay =
      DelayBetween(nodes_[node].entry, nodes_[responder].entry);
  const Requester requester{node, nodes_[node].incarnation, action.reason};
  const bool is_cut = cut_off_.count(node) + cut_off_.count(responder) > 0;
  if (!nodes_[responder].engine || is_cut) {
    RunOnNodeAfter(node, is_cut ? kCallTimeout : 2 * delay,
                   [this, action](Node& at) {
                     at.engine->OnFeedResponse(action.instance.name,
                                               action.reason, {}, now_);
                   });
    return;
  }
  const std::uint64_t id = next_request_id_++;
  requesters_[id] = requester;
  RunOnNodeAfter(responder, delay, [this, id, action](Node& at) {
    at.engine->OnFeedRequest(id, action.request, now_);
  });
  // An instance that is killed never responds.
  RunAfter(kFeedWait + Millis(500), [this, id, requester, action] {
    if (requesters_.erase(id) == 0 ||
        nodes_[requester.node].incarnation != requester.incarnation)
      return;
    RunOnNodeAfter(requester.node, Duration(0), [this, action](Node& at) {
      at.engine->OnFeedResponse(action.instance.name, action.reason, {}, now_);
    });
  });
}

void DiscoverySimulation::Do(int node, const SendFeedResponse& action) {
  const auto found = requesters_.find(action.id);
  if (found == requesters_.end())
    return;
  const Requester requester = found->second;
  if (cut_off_.count(node) + cut_off_.count(requester.node) > 0)
    return;
  requesters_.erase(found);
  if (nodes_[requester.node].incarnation != requester.incarnation)
    return;
  const Duration delay =
      DelayBetween(nodes_[node].entry, nodes_[requester.node].entry);
  RunOnNodeAfter(
      requester.node, delay,
      [this,
       reply = nodes_[node].engine->MakeFeedResponse(action.request, now_),
       reason = requester.reason, from = nodes_[node].entry.name,
       delay](Node& at) {
        FeedReply response = reply;
        response.age += delay;
        at.engine->OnFeedResponse(from, reason, std::move(response), now_);
      });
}

void DiscoverySimulation::Do(int node, const RoutesUpdated& action) {
  Node& at = nodes_[node];
  if (action.routes->version() < at.routes_version)
    violations_.push_back(at.entry.name + ": the routes version decreased");
  at.routes_version = action.routes->version();
}

void DiscoverySimulation::Do(int node, const RoutesConfirmed& action) {
  Node& at = nodes_[node];
  if (action.at <= at.routes_confirmed_at || action.at > now_)
    violations_.push_back(at.entry.name + ": routes confirmed out of order");
  at.routes_confirmed_at = action.at;
}

void DiscoverySimulation::Do(int node, const EvacuationsUpdated& action) {
  nodes_[node].evacuated = action.data_centres;
}

void DiscoverySimulation::Do(int node, const ServersUpdated& action) {
  Node& at = nodes_[node];
  for (const auto& entry : action.change.updated) {
    const auto server =
        std::find_if(servers_.begin(), servers_.end(),
                     [&](const auto& other) { return other.id == entry.id; });
    if (!entry.draining && server->IsGone(now_) &&
        at.draining_or_gone.count(entry.id) > 0) {
      violations_.push_back(at.entry.name + ": uses a server that left, " +
                            entry.id);
    }
    if (entry.draining)
      at.draining_or_gone.insert(entry.id);
    at.servers.insert(entry.id);
  }
  for (const auto& id : action.change.removed) {
    at.servers.erase(id);
    at.draining_or_gone.insert(id);
  }
}

void DiscoverySimulation::StartServer() {
  Server server;
  server.id = "s" + std::to_string(servers_.size());
  servers_.push_back(server);
  const std::size_t index = servers_.size() - 1;
  RunAfter(Millis(static_cast<std::int64_t>(random_.Below(1200))),
           [this, index] { WriteHeartbeat(index); });
}

void DiscoverySimulation::WriteHeartbeat(std::size_t index) {
  Server& server = servers_[index];
  if (server.IsGone(now_))
    return;
  if (!store_down_) {
    store_.Put(
        kServerKeyPrefix + server.id,
        EncodeServer(server.started_ms, ++server.sequence, server.draining));
  }
  RunAfter(kHeartbeat, [this, index] { WriteHeartbeat(index); });
}

void DiscoverySimulation::DrainServer(int index) {
  Server& server = servers_[index];
  server.draining = true;
  store_.Put(kServerKeyPrefix + server.id,
             EncodeServer(server.started_ms, ++server.sequence, true));
  RunAfter(kDrainTime, [this, index] {
    servers_[index].gone_since = now_;
    store_.Erase(kServerKeyPrefix + servers_[index].id);
  });
}

void DiscoverySimulation::CrashServer(int index) {
  Server& server = servers_[index];
  server.gone_since = now_;
  RunAfter(3 * kHeartbeat,
           [this, id = server.id] { store_.Erase(kServerKeyPrefix + id); });
}

// Also lets the entry of a server lapse three heartbeats after it was seen to
// be gone, as a restored copy may have it again.
void DiscoverySimulation::RunStoreMaintenance() {
  store_.ExpireLeases(now_);
  store_.SaveCopy(now_);
  for (const auto& server : servers_) {
    const auto found = store_.items().find(kServerKeyPrefix + server.id);
    if (server.IsGone(now_) && found != store_.items().end()) {
      RunAfter(3 * kHeartbeat,
               [this, id = server.id] { store_.Erase(kServerKeyPrefix + id); });
    }
  }
  RunAfter(kCopyInterval, [this] { RunStoreMaintenance(); });
}

void DiscoverySimulation::EraseServerEntries() {
  for (const auto& server : servers_)
    store_.Erase(kServerKeyPrefix + server.id);
}

void DiscoverySimulation::WriteRoutes(std::uint64_t version) {
  store_.Put(kRoutesKey, std::to_string(version));
}

void DiscoverySimulation::Evacuate(const std::string& data_centre) {
  store_.Put(kEvacuationKeyPrefix + data_centre, "{}");
}

void DiscoverySimulation::EndEvacuation(const std::string& data_centre) {
  store_.Erase(kEvacuationKeyPrefix + data_centre);
}

int DiscoverySimulation::InstancesWithEvacuations(
    const std::set<std::string>& data_centres) const {
  return static_cast<int>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
        return node.engine && node.evacuated == data_centres;
      }));
}

void DiscoverySimulation::RestoreOlderCopy(Duration age, Duration outage) {
  store_.Restore(age, now_);
  store_down_ = true;
  RunAfter(outage, [this] { store_down_ = false; });
}

std::uint64_t DiscoverySimulation::RoutesVersionAt(int instance) const {
  return nodes_[instance].routes_version;
}

std::uint64_t DiscoverySimulation::MinRoutesVersion() const {
  std::uint64_t lowest = UINT64_MAX;
  for (const auto& node : nodes_) {
    if (node.engine)
      lowest = std::min(lowest, node.routes_version);
  }
  return lowest;
}

int DiscoverySimulation::RegisteredInstances() const {
  int count = 0;
  for (const auto& node : nodes_) {
    const auto found =
        store_.items().find(kInstanceKeyPrefix + node.entry.name);
    if (found == store_.items().end())
      continue;
    const auto entry =
        Decode({kInstanceKeyPrefix + node.entry.name, found->second.value, 0});
    if (std::get<InstanceEntry>(*entry).store_era == store_.era())
      ++count;
  }
  return count;
}

std::set<std::string> DiscoverySimulation::ServersAt(int instance) const {
  return nodes_[instance].servers;
}

void DiscoverySimulation::ResetCounts() {
  listings_ = 0;
  changes_read_ = 0;
  lease_calls_ = 0;
}

}  // namespace limpetrudder
