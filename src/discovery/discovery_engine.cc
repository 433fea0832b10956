#include "discovery/discovery_engine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace limpetrudder {
namespace {

// Maximum number of feed requests that wait for changes; further ones are
// answered at once.
constexpr std::size_t kMaxWaitingRequests = 512;

// Maximum number of instances that are asked for newer routes than the store's.
constexpr std::size_t kMaxFirstRoutesRequests = 3;

}  // namespace

DiscoveryEngine::DiscoveryEngine(DiscoverySettings settings)
    : settings_(std::move(settings)),
      follower_(settings_.follower),
      registrar_(settings_.own, settings_.follower.seed),
      source_selector_(settings_.own,
                       settings_.regions,
                       settings_.follower.seed) {}

void DiscoveryEngine::OnStoreReply(FeedReply reply, Time now) {
  auto update = follower_.OnReply(std::move(reply), now);
  ReportStoreReachability();
  ReportStoreEra(now);
  if (update)
    ApplyUpdate(std::move(*update), now);
}

void DiscoveryEngine::OnLeaseReply(const LeaseReply& reply, Time now) {
  registrar_.OnReply(reply, now);
}

void DiscoveryEngine::OnFeedResponse(const std::string& from,
                                     FeedRequestReason reason,
                                     FeedReply reply,
                                     Time now) {
  // An instance that doesn't know of the store's restore yet still has items of
  // the earlier era; it is no source until it does.
  const bool answered = reply.status == FeedStatus::kOk;
  const bool useful = answered && !follower_.IsOutdated(reply);
  switch (reason) {
    case FeedRequestReason::kFollow:
      if (useful)
        source_selector_.OnResponse(from, reply.age, now);
      else
        source_selector_.OnFailure(from, now);
      break;
    case FeedRequestReason::kNewerRoutes:
      source_selector_.OnNewerRoutesRequestEnded();
      break;
    case FeedRequestReason::kFirstRoutes:
      --first_routes_requests_;
      break;
  }
  if (answered && !useful) {
    actions_.push_back(SourceOutdated{
        from, {reply.era.value_or(0), reply.revision}, follower_.position()});
  }
  // Routes are compared by their version, so they are applied even if the other
  // items can't be.
  if (answered && !follower_.AddsChanges(reply))
    ApplyRoutesOf(reply, now);
  auto update = follower_.OnFeedResponse(std::move(reply), now);
  ReportStoreEra(now);
  if (update)
    ApplyUpdate(std::move(*update), now);
  if (reason == FeedRequestReason::kFirstRoutes &&
      (answered || first_routes_requests_ == 0)) {
    ReleaseFirstRoutes();
  }
}

void DiscoveryEngine::ApplyRoutesOf(const FeedReply& reply, Time now) {
  for (const auto& item : reply.items) {
    if (!item.value)
      continue;
    auto decoded = settings_.decode(item);
    if (!decoded)
      continue;
    if (auto* routes =
            std::get_if<std::shared_ptr<const RouteTable>>(&*decoded))
      ApplyRoutes({std::move(*routes), item}, now);
  }
}

void DiscoveryEngine::OnNewerRoutes(const std::string& instance,
                                    std::uint64_t version,
                                    Time now) {
  if (routes_version() >= version)
    return;
  if (const auto found =
          source_selector_.StartNewerRoutesRequest(instance, now))
    SendFeedRequest(*found, FeedRequestReason::kNewerRoutes);
}

void DiscoveryEngine::OnFeedRequest(std::uint64_t id,
                                    FeedRequest request,
                                    Time now) {
  if (request.at_once || HasChangesFor(request) ||
      waiting_requests_.size() >= kMaxWaitingRequests) {
    actions_.push_back(SendFeedResponse{id, request});
    return;
  }
  waiting_requests_.push_back({id, request, now + kFeedWait});
}

void DiscoveryEngine::Leave() {
  if (auto call = registrar_.Leave())
    actions_.push_back(CallLease{std::move(*call)});
}

void DiscoveryEngine::ReportStoreReachability() {
  if (follower_.is_store_reachable() == was_store_reachable_)
    return;
  was_store_reachable_ = follower_.is_store_reachable();
  actions_.push_back(
      StoreReachabilityChanged{was_store_reachable_, follower_.position()});
}

void DiscoveryEngine::ReportStoreEra(Time now) {
  registrar_.OnEra(follower_.era(), now);
}

void DiscoveryEngine::ApplyUpdate(StoreUpdate update, Time now) {
  if (update.restored_from) {
    evacuations_.OnStoreRestored(now);
    actions_.push_back(
        StoreRestored{*update.restored_from, follower_.position()});
  }
  if (update.after_outage) {
    directory_.OnStoreRecovered(now);
    instances_.OnStoreRecovered(now);
  }
  const bool is_first = in_force_.routes == nullptr;
  if (update.whole) {
    ApplyListing(std::move(update.items), now);
  } else {
    for (const auto& item : update.items)
      ApplyChange(item, now);
    log_.Advance(follower_.position());
  }
  // After a restore from an older copy, known servers are kept until they have
  // written their entries again.
  const bool lapsed = update.after_outage && !update.restored_from;
  if (lapsed || (is_first && HasServiceWithoutServer()))
    follower_.CatchUp(now + ServerDirectory::kRecoveryGrace, now);
  registrar_.OnListed(instances_.IsListed(settings_.own.name),
                      follower_.position(), now);
}

bool DiscoveryEngine::HasServiceWithoutServer() const {
  if (!in_force_.routes)
    return false;
  std::set<std::string> services_with_server;
  for (const auto& entry : directory_.Entries())
    services_with_server.insert(entry.service);
  const auto has_no_server =
      [&services_with_server](const std::string& service) {
        return services_with_server.count(service) == 0;
      };
  for (const Route& route : in_force_.routes->routes()) {
    if (std::any_of(route.shards.begin(), route.shards.end(), has_no_server))
      return true;
    for (const auto& backend : route.backends) {
      if (has_no_server(backend.service))
        return true;
    }
  }
  return false;
}

void DiscoveryEngine::ApplyListing(std::vector<RawItem> items, Time now) {
  std::vector<RawItem> live_items;
  std::vector<ServerEntry> servers;
  std::vector<InstanceEntry> instances;
  std::set<std::string> evacuations;
  std::optional<StoredRoutes> stored;
  for (auto& item : items) {
    auto decoded = settings_.decode(item);
    if (!decoded)
      continue;
    if (auto* routes =
            std::get_if<std::shared_ptr<const RouteTable>>(&*decoded)) {
      stored = StoredRoutes{std::move(*routes), std::move(item)};
      continue;
    }
    auto* server = std::get_if<ServerEntry>(&*decoded);
    // Other instances don't get heartbeats and couldn't tell that the server
    // has left.
    if (server != nullptr && directory_.IsFromRemovedServer(*server))
      continue;
    if (server != nullptr)
      servers.push_back(std::move(*server));
    else if (auto* instance = std::get_if<InstanceEntry>(&*decoded))
      instances.push_back(std::move(*instance));
    else if (auto* started = std::get_if<EvacuationStarted>(&*decoded))
      evacuations.insert(std::move(started->data_centre));
    live_items.push_back(std::move(item));
  }
  log_.Reset(std::move(live_items), follower_.position());
  directory_.OnListing(servers, now);
  instances_.OnListing(instances, now);
  evacuations_.OnListing(evacuations, now);
  if (stored)
    ApplyRoutes(std::move(*stored), now);
}

void DiscoveryEngine::ApplyChange(const RawItem& item, Time now) {
  const std::string* before = log_.Find(item.key);
  if (before != nullptr && item.value && *before == *item.value)
    return;
  auto decoded = settings_.decode(item);
  if (!decoded)
    return;
  bool changed = true;
  if (auto* routes = std::get_if<std::shared_ptr<const RouteTable>>(&*decoded))
    return ApplyRoutes({std::move(*routes), item}, now);
  if (const auto* server = std::get_if<ServerEntry>(&*decoded))
    changed = directory_.OnEntry(*server);
  else if (const auto* removed_server = std::get_if<ServerRemoved>(&*decoded))
    directory_.OnRemoved(removed_server->id, now);
  else if (const auto* instance = std::get_if<InstanceEntry>(&*decoded))
    instances_.OnEntry(*instance);
  else if (const auto* removed_instance =
               std::get_if<InstanceRemoved>(&*decoded))
    instances_.OnRemoved(removed_instance->name, now);
  else if (const auto* started = std::get_if<EvacuationStarted>(&*decoded))
    evacuations_.OnStarted(started->data_centre);
  else if (const auto* ended = std::get_if<EvacuationEnded>(&*decoded))
    evacuations_.OnEnded(ended->data_centre);
  log_.Add(item, changed);
}

// The version in force never decreases. The first routes that an instance reads
// may come from a store that was restored from an older copy. The entries of
// other instances show whether they may have newer routes; if so, these are
// requested first.
void DiscoveryEngine::ApplyRoutes(StoredRoutes stored, Time now) {
  if (routes_version() >= stored.routes->version())
    return;
  if (!in_force_.routes && !held_routes_) {
    const auto candidates = FindNewerRoutesCandidates(stored.routes->version());
    if (!candidates.empty())
      return HoldFirstRoutes(std::move(stored), candidates, now);
  }
  if (held_routes_ &&
      stored.routes->version() <= held_routes_->routes->version())
    return;
  held_routes_.reset();
  SetRoutesInForce(std::move(stored));
}

void DiscoveryEngine::SetRoutesInForce(StoredRoutes stored) {
  in_force_ = std::move(stored);
  actions_.push_back(RoutesUpdated{in_force_.routes});
}

void DiscoveryEngine::ConfirmRoutes() {
  const Time at = follower_.last_response();
  if (!settings_.confirms_routes || !in_force_.routes ||
      follower_.is_listing() || at <= routes_confirmed_at_) {
    return;
  }
  routes_confirmed_at_ = at;
  actions_.push_back(RoutesConfirmed{at});
}

std::vector<InstanceEntry> DiscoveryEngine::FindNewerRoutesCandidates(
    std::uint64_t version) const {
  std::vector<InstanceEntry> candidates;
  for (const auto& instance : instances_.Entries()) {
    const bool is_older_than_store =
        instance.store_era < follower_.position().era;
    if (instance.name != settings_.own.name &&
        (instance.routes_version > version || is_older_than_store)) {
      candidates.push_back(instance);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const InstanceEntry& a, const InstanceEntry& b) {
                     return a.routes_version > b.routes_version;
                   });
  candidates.resize(std::min(candidates.size(), kMaxFirstRoutesRequests));
  return candidates;
}

void DiscoveryEngine::HoldFirstRoutes(
    StoredRoutes stored,
    const std::vector<InstanceEntry>& candidates,
    Time now) {
  held_routes_ = std::move(stored);
  held_until_ = now + kFirstRoutesWait;
  actions_.push_back(
      FirstRoutesHeld{held_routes_->routes->version(), candidates.size()});
  for (const auto& instance : candidates) {
    ++first_routes_requests_;
    SendFeedRequest(instance, FeedRequestReason::kFirstRoutes);
  }
}

void DiscoveryEngine::ReleaseFirstRoutes() {
  if (!held_routes_)
    return;
  StoredRoutes stored = std::move(*held_routes_);
  held_routes_.reset();
  SetRoutesInForce(std::move(stored));
}

void DiscoveryEngine::PublishDirectories() {
  // Before the servers, so that a starting instance sends them nothing.
  if (auto evacuations = evacuations_.TakeChange()) {
    actions_.push_back(
        EvacuationsUpdated{std::move(*evacuations), follower_.position()});
  }
  if (auto instances = instances_.TakeChange()) {
    source_selector_.Update(*instances);
    actions_.push_back(
        InstancesUpdated{std::move(*instances), source_selector_.is_reader()});
  }
  DirectoryChange change = directory_.TakeChange();
  if (!change.empty()) {
    actions_.push_back(ServersUpdated{std::move(change), follower_.position()});
  }
}

bool DiscoveryEngine::HasRoutesFor(const FeedRequest& request) const {
  if (!in_force_.routes)
    return false;
  // Without a version in the request, the item's revision decides.
  if (!request.routes_version)
    return in_force_.item.revision > request.after.revision;
  return in_force_.routes->version() > *request.routes_version;
}

bool DiscoveryEngine::HasChangesFor(const FeedRequest& request) const {
  return HasRoutesFor(request) || log_.HasChangesSince(request.after);
}

FeedReply DiscoveryEngine::MakeFeedResponse(const FeedRequest& request,
                                            Time now) const {
  FeedReply reply = log_.Since(request.after);
  if (HasRoutesFor(request))
    reply.items.push_back(in_force_.item);
  reply.age = follower_.last_response() == Time::min()
                  ? FeedSourceSelector::kMaxStaleness * 2
                  : now - follower_.last_response();
  return reply;
}

void DiscoveryEngine::SendDueFeedResponses(Time now, Time* next) {
  std::erase_if(waiting_requests_, [&](const WaitingRequest& waiting) {
    if (now < waiting.until && !HasChangesFor(waiting.request)) {
      *next = std::min(*next, waiting.until);
      return false;
    }
    actions_.push_back(SendFeedResponse{waiting.id, waiting.request});
    return true;
  });
}

void DiscoveryEngine::ReadStoreIfDue(Time now, Time* next) {
  const Time last_response = follower_.last_response();
  if (!source_selector_.ShouldReadStore(last_response, now)) {
    *next = std::min(*next,
                     source_selector_.NextStoreRead(last_response) + Millis(1));
    return;
  }
  Time due = kNever;
  if (auto call = follower_.NextCall(now, &due)) {
    source_selector_.OnStoreRead(now);
    actions_.push_back(CallStore{std::move(*call)});
  }
  *next = std::min(*next, due);
}

void DiscoveryEngine::RequestFeedIfDue(Time now, Time* next) {
  Time due = kNever;
  const auto instance = source_selector_.StartRequest(
      follower_.last_response(), follower_.is_store_reachable(), now, &due);
  *next = std::min(*next, due);
  if (instance)
    SendFeedRequest(*instance, FeedRequestReason::kFollow);
}

void DiscoveryEngine::SendFeedRequest(const InstanceEntry& instance,
                                      FeedRequestReason reason) {
  const FeedRequest request{follower_.position(), routes_version(),
                            reason != FeedRequestReason::kFollow};
  actions_.push_back(RequestFeed{instance, request, reason});
}

Time DiscoveryEngine::Tick(Time now) {
  Time next = std::min(
      {directory_.Tick(now), instances_.Tick(now), evacuations_.Tick(now)});
  if (held_routes_) {
    if (now >= held_until_)
      ReleaseFirstRoutes();
    else
      next = std::min(next, held_until_);
  }
  ConfirmRoutes();
  PublishDirectories();
  ReadStoreIfDue(now, &next);
  RequestFeedIfDue(now, &next);
  SendDueFeedResponses(now, &next);
  Time next_lease = kNever;
  if (auto call = registrar_.NextCall(now, &next_lease)) {
    if (auto* write = std::get_if<WriteInstance>(&*call))
      write->entry.routes_version = routes_version();
    actions_.push_back(CallLease{std::move(*call)});
  }
  return std::min(next, next_lease);
}

std::vector<DiscoveryAction> DiscoveryEngine::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace limpetrudder
