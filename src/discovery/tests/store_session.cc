#include "discovery/tests/store_session.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace limpetrudder {
namespace {

constexpr Duration kStoreTime = Millis(4);
constexpr Duration kCallTimeout = Millis(1200);
constexpr Duration kFarDelay = Millis(20);
constexpr Duration kNearDelay = Millis(1);
constexpr Duration kHeartbeat = Millis(1200);
constexpr Duration kDrainTime = Millis(4000);
constexpr Duration kCopyInterval = Millis(250);

const std::map<std::string, std::string> kRegions = {{"west-a", "west"},
                                                     {"mid-a", "mid"},
                                                     {"east-a", "east"}};
const char* const kDataCentres[] = {"west-a", "mid-a", "east-a"};

std::string EncodeServer(std::int64_t born,
                         std::uint64_t sequence,
                         bool draining) {
  return std::to_string(born) + " " + std::to_string(sequence) + " " +
         (draining ? "1" : "0");
}

std::optional<FeedItem> Decode(const RawItem& item) {
  if (item.key == kSessionRoutes) {
    if (!item.value)
      return std::nullopt;
    return std::make_shared<const RouteTable>(
        std::stoull(*item.value), std::vector<Route>(),
        std::vector<TargetService>(), RequestLimits());
  }
  if (item.key.starts_with(kSessionServers)) {
    ServerEntry entry;
    entry.id = item.key.substr(sizeof(kSessionServers) - 1);
    if (!item.value)
      return ServerRemoved{entry.id};
    long long born = 0;
    unsigned long long sequence = 0;
    int draining = 0;
    std::sscanf(item.value->c_str(), "%lld %llu %d", &born, &sequence,
                &draining);
    entry.started_ms = born;
    entry.sequence = sequence;
    entry.service = "shard";
    entry.draining = draining != 0;
    return entry;
  }
  InstanceEntry entry;
  entry.name = item.key.substr(sizeof(kSessionInstances) - 1);
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

StoreSession::StoreSession(StoreSessionSettings settings)
    : settings_(settings), random_(settings.seed) {
  for (int i = 0; i < settings_.instances; ++i) {
    Node node;
    node.entry.data_centre = kDataCentres[i % 3];
    node.entry.name = node.entry.data_centre + "-" + std::to_string(i);
    nodes_.push_back(std::move(node));
    const int index = i;
    After(Millis(static_cast<std::int64_t>(random_.Below(300))),
          [this, index] { StartInstance(index); });
  }
  for (int i = 0; i < settings_.servers; ++i)
    StartServer();
  Housekeep();
}

void StoreSession::After(Duration delay, std::function<void()> run) {
  events_.push({now_ + delay, next_event_++, std::move(run)});
}

void StoreSession::AfterAt(int node,
                           Duration delay,
                           std::function<void(Node&)> run) {
  After(delay, [this, node, life = nodes_[node].life, run = std::move(run)] {
    Node& at = nodes_[node];
    if (!at.engine || at.life != life)
      return;
    run(at);
    Execute(node);
    Turn(node);
  });
}

void StoreSession::Run(Duration duration) {
  const Time end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

void StoreSession::StartInstance(int instance) {
  Node& node = nodes_[instance];
  ++node.life;
  node.version = 0;
  node.servers.clear();
  node.departed.clear();
  DiscoverySettings settings;
  settings.follower.seed = random_.Next();
  settings.own = node.entry;
  settings.regions = kRegions;
  settings.decode = Decode;
  node.engine = std::make_unique<DiscoveryEngine>(std::move(settings));
  Turn(instance);
}

void StoreSession::KillInstance(int instance) {
  ++nodes_[instance].life;
  nodes_[instance].engine.reset();
  nodes_[instance].version = 0;
}

void StoreSession::Turn(int index) {
  Node& node = nodes_[index];
  const Time next = node.engine->Turn(now_);
  Execute(index);
  node.due = next;
  if (next == kNever)
    return;
  // NOTE Only the latest wake-up counts.
  After(std::max(next - now_, Millis(1)),
        [this, index, next, life = node.life] {
          Node& at = nodes_[index];
          if (at.engine && at.life == life && at.due == next)
            Turn(index);
        });
}

void StoreSession::Execute(int node) {
  for (auto& action : nodes_[node].engine->TakeActions())
    std::visit([&](const auto& a) { Do(node, a); }, action);
}

bool StoreSession::Reaches(int node) const {
  return !store_down_ && node >= refused_;
}

void StoreSession::Do(int node, const CallStore& action) {
  if (std::holds_alternative<ListPage>(action.call))
    ++listings_;
  else
    ++changes_read_;
  After(kStoreTime / 2, [this, node, action, life = nodes_[node].life] {
    FeedReply reply;
    Duration delay = kStoreTime / 2;
    if (Reaches(node))
      reply = store_.Answer(action.call);
    else if (store_down_)
      delay = kCallTimeout;
    else
      reply.status = FeedStatus::kRefused;
    if (nodes_[node].life != life)
      return;
    AfterAt(node, delay,
            [this, reply](Node& at) { at.engine->OnStoreReply(reply, now_); });
  });
}

void StoreSession::Do(int node, const CallLease& action) {
  ++lease_calls_;
  After(kStoreTime / 2, [this, node, action, life = nodes_[node].life] {
    LeaseReply reply;
    Duration delay = kStoreTime / 2;
    if (Reaches(node))
      reply = store_.Answer(action.call, now_);
    else if (store_down_)
      delay = kCallTimeout;
    if (nodes_[node].life != life)
      return;
    AfterAt(node, delay,
            [this, reply](Node& at) { at.engine->OnLeaseReply(reply, now_); });
  });
}

Duration StoreSession::DelayBetween(const InstanceEntry& a,
                                    const InstanceEntry& b) const {
  return a.data_centre == b.data_centre ? kNearDelay : kFarDelay;
}

int StoreSession::IndexOf(const std::string& name) const {
  return std::stoi(name.substr(name.rfind('-') + 1));
}

void StoreSession::Do(int node, const RequestFeed& action) {
  const int asked = IndexOf(action.instance.name);
  const Duration delay = DelayBetween(nodes_[node].entry, nodes_[asked].entry);
  const Asker asker{node, nodes_[node].life, action.reason};
  if (!nodes_[asked].engine) {
    AfterAt(node, 2 * delay, [this, action](Node& at) {
      at.engine->OnFeedResponse(action.instance.name, action.reason, {}, now_);
    });
    return;
  }
  const std::uint64_t id = next_question_++;
  askers_[id] = asker;
  AfterAt(asked, delay, [this, id, action](Node& at) {
    at.engine->OnFeedRequest(id, action.request, now_);
  });
  // NOTE An instance that dies never answers.
  After(kFeedWait + Millis(500), [this, id, asker, action] {
    if (askers_.erase(id) == 0 || nodes_[asker.node].life != asker.life)
      return;
    AfterAt(asker.node, Duration(0), [this, action](Node& at) {
      at.engine->OnFeedResponse(action.instance.name, action.reason, {}, now_);
    });
  });
}

void StoreSession::Do(int node, const SendFeedResponse& action) {
  const auto found = askers_.find(action.id);
  if (found == askers_.end())
    return;
  const Asker asker = found->second;
  askers_.erase(found);
  if (nodes_[asker.node].life != asker.life)
    return;
  const Duration delay =
      DelayBetween(nodes_[node].entry, nodes_[asker.node].entry);
  AfterAt(
      asker.node, delay,
      [this,
       reply = nodes_[node].engine->MakeFeedResponse(action.request, now_),
       reason = asker.reason, from = nodes_[node].entry.name, delay](Node& at) {
        FeedReply passed_on = reply;
        passed_on.age += delay;
        at.engine->OnFeedResponse(from, reason, std::move(passed_on), now_);
      });
}

void StoreSession::Do(int node, const RoutesUpdated& action) {
  Node& at = nodes_[node];
  if (action.routes->version() < at.version)
    broken_.push_back(at.entry.name + ": routes went back");
  at.version = action.routes->version();
}

void StoreSession::Do(int node, const ServersUpdated& action) {
  Node& at = nodes_[node];
  for (const auto& entry : action.change.updated) {
    const auto server =
        std::find_if(servers_.begin(), servers_.end(),
                     [&](const auto& other) { return other.id == entry.id; });
    if (!entry.draining && server->HasLeft(now_) &&
        at.departed.count(entry.id) > 0) {
      broken_.push_back(at.entry.name + ": new to a server that left, " +
                        entry.id);
    }
    if (entry.draining)
      at.departed.insert(entry.id);
    at.servers.insert(entry.id);
  }
  for (const auto& id : action.change.removed) {
    at.servers.erase(id);
    at.departed.insert(id);
  }
}

void StoreSession::StartServer() {
  Server server;
  server.id = "s" + std::to_string(servers_.size());
  servers_.push_back(server);
  const std::size_t index = servers_.size() - 1;
  After(Millis(static_cast<std::int64_t>(random_.Below(1200))),
        [this, index] { Beat(index); });
}

void StoreSession::Beat(std::size_t index) {
  Server& server = servers_[index];
  if (server.HasLeft(now_))
    return;
  if (!store_down_) {
    store_.Put(kSessionServers + server.id,
               EncodeServer(server.born, ++server.sequence, server.draining));
  }
  After(kHeartbeat, [this, index] { Beat(index); });
}

void StoreSession::Leave(int index) {
  Server& server = servers_[index];
  server.draining = true;
  store_.Put(kSessionServers + server.id,
             EncodeServer(server.born, ++server.sequence, true));
  After(kDrainTime, [this, index] {
    servers_[index].gone = now_;
    store_.Erase(kSessionServers + servers_[index].id);
  });
}

void StoreSession::Crash(int index) {
  Server& server = servers_[index];
  server.gone = now_;
  After(3 * kHeartbeat,
        [this, id = server.id] { store_.Erase(kSessionServers + id); });
}

// Entries of servers that are silent for three heartbeats lapse.
void StoreSession::Housekeep() {
  store_.ExpireLeases(now_);
  store_.KeepCopy(now_);
  for (const auto& server : servers_) {
    const auto found = store_.items().find(kSessionServers + server.id);
    if (server.HasLeft(now_) && found != store_.items().end()) {
      After(3 * kHeartbeat,
            [this, id = server.id] { store_.Erase(kSessionServers + id); });
    }
  }
  After(kCopyInterval, [this] { Housekeep(); });
}

void StoreSession::LapseServers() {
  for (const auto& server : servers_)
    store_.Erase(kSessionServers + server.id);
}

void StoreSession::WriteRoutes(std::uint64_t version) {
  store_.Put(kSessionRoutes, std::to_string(version));
}

void StoreSession::Drill(Duration age, Duration away) {
  store_.Restore(age, now_);
  store_down_ = true;
  After(away, [this] { store_down_ = false; });
}

std::uint64_t StoreSession::VersionAt(int instance) const {
  return nodes_[instance].version;
}

std::uint64_t StoreSession::LowestVersion() const {
  std::uint64_t lowest = UINT64_MAX;
  for (const auto& node : nodes_) {
    if (node.engine)
      lowest = std::min(lowest, node.version);
  }
  return lowest;
}

int StoreSession::Registered() const {
  int count = 0;
  for (const auto& node : nodes_) {
    const auto found = store_.items().find(kSessionInstances + node.entry.name);
    if (found == store_.items().end())
      continue;
    const auto entry =
        Decode({kSessionInstances + node.entry.name, found->second.value, 0});
    if (std::get<InstanceEntry>(*entry).store_era == store_.era())
      ++count;
  }
  return count;
}

std::set<std::string> StoreSession::ServersAt(int instance) const {
  return nodes_[instance].servers;
}

void StoreSession::ResetCounts() {
  listings_ = 0;
  changes_read_ = 0;
  lease_calls_ = 0;
}

}  // namespace limpetrudder
