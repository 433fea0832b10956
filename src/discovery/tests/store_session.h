#ifndef DISCOVERY_TESTS_STORE_SESSION_H_
#define DISCOVERY_TESTS_STORE_SESSION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "discovery/discovery_engine.h"
#include "discovery/tests/session_store.h"
#include "framework/random.h"

namespace limpetrudder {

struct StoreSessionSettings {
  int instances = 9;
  int servers = 40;
  std::uint64_t seed = 1;
};

// A fleet of real discovery engines between a store, an operator and servers,
// in virtual time. It notes what must never happen as it goes.
class StoreSession {
 public:
  explicit StoreSession(StoreSessionSettings settings);

  void Run(Duration duration);
  Time now() const { return now_; }
  SessionStore& store() { return store_; }

  // The operator writes a version.
  void WriteRoutes(std::uint64_t version);
  // A server begins to drain, and is gone for good some time later.
  void Leave(int server);
  // A server is gone without a word; its entry lapses.
  void Crash(int server);
  void StartServer();

  // The store restarts from a copy of that age; it is away for a moment.
  void Drill(Duration age, Duration away = Millis(300));
  // The store is down, or turns the first `count` instances away.
  void SetStoreDown(bool down) { store_down_ = down; }
  void SetRefused(int count) { refused_ = count; }
  // All servers' entries are gone until they write again.
  void LapseServers();
  void KillInstance(int instance);
  void StartInstance(int instance);

  int instances() const { return static_cast<int>(nodes_.size()); }
  // 0: it has none, or is down.
  std::uint64_t VersionAt(int instance) const;
  std::uint64_t LowestVersion() const;
  // Instances whose entry the store has.
  int Registered() const;
  // Servers that the instance believes in.
  std::set<std::string> ServersAt(int instance) const;

  // Calls on the store since the last ResetCounts().
  int listings() const { return listings_; }
  int changes_read() const { return changes_read_; }
  int lease_calls() const { return lease_calls_; }
  void ResetCounts();

  // What must not happen, and did.
  const std::vector<std::string>& broken() const { return broken_; }

 private:
  struct Node {
    InstanceEntry entry;
    std::unique_ptr<DiscoveryEngine> engine;  // Null: it is down.
    std::uint64_t life = 0;  // Events of earlier ones are void.
    Time due{};
    std::uint64_t version = 0;
    std::set<std::string> servers;
    std::set<std::string> departed;  // That it knows to drain or to be gone.
  };
  struct Server {
    std::string id;
    std::int64_t born = 1;
    std::uint64_t sequence = 0;
    bool draining = false;
    Time gone = kNever;  // Since when.

    bool HasLeft(Time now) const { return gone <= now; }
  };
  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void After(Duration delay, std::function<void()> run);
  // Runs unless the instance went down in the meantime.
  void AfterAt(int node, Duration delay, std::function<void(Node&)> run);
  void Turn(int node);
  void Execute(int node);
  void Do(int node, const CallStore& action);
  void Do(int node, const CallLease& action);
  void Do(int node, const RequestFeed& action);
  void Do(int node, const SendFeedResponse& action);
  void Do(int node, const RoutesUpdated& action);
  void Do(int node, const ServersUpdated& action);
  template <typename Other>
  void Do(int, const Other&) {}
  void Beat(std::size_t server);
  void Housekeep();
  bool Reaches(int node) const;
  Duration DelayBetween(const InstanceEntry& a, const InstanceEntry& b) const;
  int IndexOf(const std::string& name) const;

  StoreSessionSettings settings_;
  Random random_;
  SessionStore store_;
  std::vector<Node> nodes_;
  std::deque<Server> servers_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  Time now_ = Time(Seconds(1000));
  bool store_down_ = false;
  int refused_ = 0;
  // Who asked, by the asked instance's request.
  struct Asker {
    int node = 0;
    std::uint64_t life = 0;
    FeedRequestReason reason = FeedRequestReason::kFollow;
  };
  std::map<std::uint64_t, Asker> askers_;
  std::uint64_t next_question_ = 1;
  int listings_ = 0;
  int changes_read_ = 0;
  int lease_calls_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_TESTS_STORE_SESSION_H_
