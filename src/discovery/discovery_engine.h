#ifndef DISCOVERY_DISCOVERY_ENGINE_H_
#define DISCOVERY_DISCOVERY_ENGINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "discovery/discovery_types.h"
#include "discovery/evacuation_directory.h"
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
  InstanceEntry own;                           // This instance's entry.
  std::map<std::string, std::string> regions;  // By data centre.
  // Decodes an item of the store; returns nothing for an item that discovery
  // doesn't use. Must have no side effects except logs.
  std::function<std::optional<FeedItem>(const RawItem&)> decode;
  // Whether to tell, with RoutesConfirmed, how old the news is.
  bool confirms_routes = false;
};

// Why changes are requested from another instance.
enum class FeedRequestReason {
  kFollow,       // Instead of reading the store.
  kNewerRoutes,  // The other instance has newer routes.
  kFirstRoutes,  // It may have newer routes than a restored store.
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
  FeedRequest request;
  FeedRequestReason reason = FeedRequestReason::kFollow;
};
// The engine's owner gets the response from MakeFeedResponse() only when it
// carries out the action, so that one response at a time is in memory: after a
// change twenty instances wait for the same megabyte.
struct SendFeedResponse {
  std::uint64_t id = 0;
  FeedRequest request;
};
struct RoutesUpdated {
  std::shared_ptr<const RouteTable> routes;
};
// There were no newer routes than those in force at `at`, as the store said to
// this instance or to the one whose feed it follows.
struct RoutesConfirmed {
  Time at{};
};
struct ServersUpdated {
  DirectoryChange change;
  StorePosition position;
};
struct EvacuationsUpdated {
  std::set<std::string> data_centres;
  StorePosition position;
};
struct InstancesUpdated {
  std::vector<InstanceEntry> instances;
  bool reads_store = false;  // This instance is a reader.
};
struct StoreReachabilityChanged {
  bool reachable = false;
  StorePosition position;
};
// The store was restored from an older copy.
struct StoreRestored {
  StorePosition known;     // Until then.
  StorePosition restored;  // Of the restored store.
};
// The feed response of another instance is of an earlier era of the store.
struct SourceOutdated {
  std::string from;
  StorePosition position;  // Of the response.
  StorePosition known;     // At this instance.
};
// The first routes aren't put into force yet, since other instances may have
// newer ones.
struct FirstRoutesHeld {
  std::uint64_t version = 0;
  std::size_t requests = 0;  // Number of instances asked for newer routes.
};

using DiscoveryAction = std::variant<CallStore,
                                     CallLease,
                                     RequestFeed,
                                     SendFeedResponse,
                                     RoutesUpdated,
                                     RoutesConfirmed,
                                     ServersUpdated,
                                     EvacuationsUpdated,
                                     InstancesUpdated,
                                     StoreReachabilityChanged,
                                     StoreRestored,
                                     SourceOutdated,
                                     FirstRoutesHeld>;

// Keeps track of routes, servers, evacuations and instances by the replies of
// the store and of other instances, keeps this instance registered in the
// store, and responds to feed requests of other instances.
//
// Holds no clock and does no I/O: events come in with the time, actions go out
// through TakeActions(). Not thread safe.
class DiscoveryEngine {
 public:
  // How long the first routes wait for an instance that may have newer ones:
  // enough for a round trip between regions and the work of a start.
  static constexpr Duration kFirstRoutesWait = Millis(500);

  explicit DiscoveryEngine(DiscoverySettings settings);

  DiscoveryEngine(const DiscoveryEngine&) = delete;
  DiscoveryEngine& operator=(const DiscoveryEngine&) = delete;

  // The reply to a CallStore, a CallLease or a RequestFeed action.
  void OnStoreReply(FeedReply reply, Time now);
  void OnLeaseReply(const LeaseReply& reply, Time now);
  void OnFeedResponse(const std::string& from,
                      FeedRequestReason reason,
                      FeedReply reply,
                      Time now);

  // Another instance has routes of `version`.
  void OnNewerRoutes(const std::string& instance,
                     std::uint64_t version,
                     Time now);

  // Takes a feed request of another instance. A SendFeedResponse action with
  // its `id`, which must be unique, follows at once or later.
  void OnFeedRequest(std::uint64_t id, FeedRequest request, Time now);

  // Returns the changes since the position of `request`, and the routes if they
  // are newer than those it names.
  FeedReply MakeFeedResponse(const FeedRequest& request, Time now) const;

  // Ends this instance's registration, before it stops.
  void Leave();

  // Carries out what is due and returns when to be called next.
  Time Tick(Time now);

  // Returns and clears the actions due.
  std::vector<DiscoveryAction> TakeActions();

  // Returns the version of the routes in force, or 0 if there are none.
  std::uint64_t routes_version() const {
    return in_force_.routes ? in_force_.routes->version() : 0;
  }

 private:
  // Routes with the store item that holds them, which is sent to other
  // instances unchanged.
  struct StoredRoutes {
    std::shared_ptr<const RouteTable> routes;
    RawItem item;
  };
  struct WaitingRequest {
    std::uint64_t id = 0;
    FeedRequest request;
    Time until{};  // When it is answered even without changes.
  };
  void ConfirmRoutes();
  void ApplyUpdate(StoreUpdate update, Time now);
  void ApplyListing(std::vector<RawItem> items, Time now);
  void ApplyChange(const RawItem& item, Time now);
  void ApplyRoutes(StoredRoutes stored, Time now);
  void SetRoutesInForce(StoredRoutes stored);
  // Applies only the routes of a reply whose other items can't be applied.
  void ApplyRoutesOf(const FeedReply& reply, Time now);
  std::vector<InstanceEntry> FindNewerRoutesCandidates(
      std::uint64_t version) const;
  void HoldFirstRoutes(StoredRoutes stored,
                       const std::vector<InstanceEntry>& candidates,
                       Time now);
  void ReleaseFirstRoutes();
  void ReportStoreReachability();
  void ReportStoreEra(Time now);
  // Whether the routes in force name a service without any known server.
  bool HasServiceWithoutServer() const;
  void PublishDirectories();
  void ReadStoreIfDue(Time now, Time* next);
  void RequestFeedIfDue(Time now, Time* next);
  void SendFeedRequest(const InstanceEntry& instance, FeedRequestReason reason);
  bool HasRoutesFor(const FeedRequest& request) const;
  bool HasChangesFor(const FeedRequest& request) const;
  void SendDueFeedResponses(Time now, Time* next);

  const DiscoverySettings settings_;
  StoreFollower follower_;
  Registrar registrar_;
  ServerDirectory directory_;
  InstanceDirectory instances_;
  EvacuationDirectory evacuations_;
  FeedSourceSelector source_selector_;
  // All items except the routes, which are sent by their version, not by a
  // position.
  FeedLog log_;
  StoredRoutes in_force_;
  Time routes_confirmed_at_ = Time::min();
  std::optional<StoredRoutes> held_routes_;
  Time held_until_ = kNever;
  std::size_t first_routes_requests_ = 0;  // Pending ones.
  std::vector<WaitingRequest> waiting_requests_;
  bool was_store_reachable_ = false;
  std::vector<DiscoveryAction> actions_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_DISCOVERY_ENGINE_H_
