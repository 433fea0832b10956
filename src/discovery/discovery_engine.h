#ifndef DISCOVERY_DISCOVERY_ENGINE_H_
#define DISCOVERY_DISCOVERY_ENGINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "discovery/discovery_types.h"
#include "discovery/feed_log.h"
#include "discovery/feed_source_selector.h"
#include "discovery/instance_directory.h"
#include "discovery/registrar.h"
#include "discovery/server_directory.h"
#include "discovery/store_follower.h"
#include "framework/enum_names.h"

namespace limpetrudder {

struct DiscoverySettings {
  StoreFollowerSettings follower;
  InstanceEntry own;
  std::map<std::string, std::string> regions;  // By data centre.
  // Reads an item of the store; one of no concern gives nothing. Must be pure
  // but for logs.
  std::function<std::optional<FeedItem>(const RawItem&)> decode;
};

// Why another instance is asked for what it knows.
enum class FeedRequestReason {
  kFollow,       // This instance doesn't read the store itself.
  kNewerRoutes,  // It was seen with newer routes.
  kFirstRoutes,  // It may have newer routes than the store's copy.
};

inline constexpr EnumNames<FeedRequestReason, 3> kFeedRequestReasonNames{{
    {FeedRequestReason::kFollow, "follow"},
    {FeedRequestReason::kNewerRoutes, "ahead"},
    {FeedRequestReason::kFirstRoutes, "first_routes"},
}};

// Actions of the discovery engine.

struct CallStore {
  FeedCall call;
};
struct CallLease {
  LeaseCall call;
};
struct RequestFeed {
  InstanceEntry instance;
  FeedQuestion request;
  FeedRequestReason reason = FeedRequestReason::kFollow;
};
// Its owner gets the answer from MakeFeedResponse(), one at a time: after a
// change twenty instances wait for the same megabyte.
struct SendFeedResponse {
  std::uint64_t id = 0;
  FeedQuestion request;
};
struct RoutesUpdated {
  std::shared_ptr<const RouteTable> routes;
};
struct ServersUpdated {
  DirectoryChange change;
  StorePosition position;
};
struct InstancesUpdated {
  std::vector<InstanceEntry> instances;
  bool reads_store = false;  // This instance is a reader now.
};
struct StoreReachabilityChanged {
  bool reachable = false;
  StorePosition position;
};
// The store came back from an older copy.
struct StoreRestored {
  StorePosition known;
  StorePosition restored;
};
// Another instance passed on what it knows of an earlier era of the store.
struct SourceOutdated {
  std::string from;
  StorePosition position;
  StorePosition known;
};
// The first routes aren't brought into force yet, as others may have newer
// ones.
struct FirstRoutesHeld {
  std::uint64_t version = 0;
  std::size_t requests = 0;  // Instances that were asked.
};

using DiscoveryAction = std::variant<CallStore,
                                     CallLease,
                                     RequestFeed,
                                     SendFeedResponse,
                                     RoutesUpdated,
                                     ServersUpdated,
                                     InstancesUpdated,
                                     StoreReachabilityChanged,
                                     StoreRestored,
                                     SourceOutdated,
                                     FirstRoutesHeld>;

// Decides what this instance believes of routes, servers and instances from
// what the store and other instances say, keeps it registered, and answers
// other instances that ask.
//
// Holds no clock and does no I/O: events come in with the time, actions go out
// through TakeActions(). Not thread safe.
class DiscoveryEngine {
 public:
  // How long the first routes wait for an instance that may have newer ones: a
  // round trip between regions and a start's work.
  static constexpr Duration kFirstRoutesWait = Millis(500);

  explicit DiscoveryEngine(DiscoverySettings settings);

  DiscoveryEngine(const DiscoveryEngine&) = delete;
  DiscoveryEngine& operator=(const DiscoveryEngine&) = delete;

  // What became of an CallStore, an CallLease or an RequestFeed.
  void OnStoreReply(FeedReply reply, Time now);
  void OnLeaseReply(const LeaseReply& reply, Time now);
  void OnFeedResponse(const std::string& from,
                      FeedRequestReason reason,
                      FeedReply reply,
                      Time now);

  // Another instance was seen with routes of `version`.
  void OnNewerRoutes(const std::string& instance,
                     std::uint64_t version,
                     Time now);

  // Another instance asks; `id` must be new. It is answered by an
  // SendFeedResponse, perhaps later.
  void OnFeedRequest(std::uint64_t id, FeedQuestion request, Time now);

  // Returns what is known beyond what a request names.
  FeedReply MakeFeedResponse(const FeedQuestion& request, Time now) const;

  // This instance is about to stop.
  void Leave();

  // Carries out what is due and returns when to be called next.
  Time Turn(Time now);

  // Returns and clears the actions due.
  std::vector<DiscoveryAction> TakeActions();

  // Of the routes in force; 0: there are none.
  std::uint64_t routes_version() const {
    return in_force_.routes ? in_force_.routes->version() : 0;
  }

 private:
  // Routes with the item that holds them, which is passed on as it is.
  struct StoredRoutes {
    std::shared_ptr<const RouteTable> routes;
    RawItem item;
  };
  struct WaitingRequest {
    std::uint64_t id = 0;
    FeedQuestion request;
    Time until{};
  };
  void ApplyUpdate(StoreUpdate update, Time now);
  void ApplyListing(std::vector<RawItem> items, Time now);
  void ApplyChange(const RawItem& item, Time now);
  void ApplyRoutes(StoredRoutes stored, Time now);
  void SetRoutesInForce(StoredRoutes stored);
  // Takes the routes of an answer whose other items are of no use.
  void ApplyRoutesOf(const FeedReply& reply, Time now);
  std::vector<InstanceEntry> FindNewerRoutesCandidates(
      std::uint64_t version) const;
  void HoldFirstRoutes(StoredRoutes stored,
                       const std::vector<InstanceEntry>& candidates,
                       Time now);
  void ReleaseFirstRoutes();
  void ReportStoreReachability();
  void ReportStoreEra(Time now);
  // Whether routes in force name a service that no server is known of.
  bool HasServiceWithoutServer() const;
  void PublishDirectories();
  void ReadStoreIfDue(Time now, Time* next);
  void RequestFeedIfDue(Time now, Time* next);
  void SendFeedRequest(const InstanceEntry& instance, FeedRequestReason reason);
  bool HasRoutesFor(const FeedQuestion& request) const;
  bool HasChangesFor(const FeedQuestion& request) const;
  void SendDueFeedResponses(Time now, Time* next);

  const DiscoverySettings settings_;
  StoreFollower follower_;
  Registrar registrar_;
  ServerDirectory directory_;
  InstanceDirectory instances_;
  FeedSourceSelector source_selector_;
  FeedLog log_;  // Of all but the routes, which go by their version.
  StoredRoutes in_force_;
  std::optional<StoredRoutes> held_routes_;
  Time held_until_ = kNever;
  std::size_t first_routes_requests_ = 0;  // That are out.
  std::vector<WaitingRequest> waiting_requests_;
  bool was_store_reachable_ = false;
  std::vector<DiscoveryAction> actions_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_DISCOVERY_ENGINE_H_
