#include "discovery/discovery_engine.h"

#include <algorithm>
#include <set>
#include <utility>

#include "framework/hash.h"

namespace limpetrudder {
namespace {

// Maximum number of feed requests that wait for changes; further ones are
// answered at once.
constexpr std::size_t kMaxWaitingRequests = 512;

// Maximum number of instances that are asked for newer routes than the store's.
constexpr std::size_t kMaxFirstRoutesRequests = 3;

Error TooManyEntries(std::size_t bytes) {
  return {ResultCode::kFieldOutOfRange, "",
          "too many entries: " + std::to_string(bytes) + " bytes are kept"};
}

}  // namespace

DiscoveryEngine::DiscoveryEngine(DiscoverySettings settings)
    : settings_(std::move(settings)),
      follower_(settings_.follower),
      registrar_(settings_.own, settings_.follower.seed),
      source_selector_(settings_.own,
                       settings_.regions,
                       settings_.follower.seed),
      log_(settings_.limits.max_change_bytes),
      refused_items_(settings_.limits.max_refused_items) {}

void DiscoveryEngine::OnStoreReply(FeedReply reply, Time now) {
  if (follower_.is_listing())
    ReducePage(&reply.items, now);
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
    RawItem copy = item;
    auto decoded = Decode(&copy, now);
    if (!decoded)
      continue;
    if (auto* routes =
            std::get_if<std::shared_ptr<const RouteTable>>(&*decoded))
      ApplyRoutes({std::move(*routes), std::move(copy)}, now);
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

void DiscoveryEngine::BeginStop(Time now) {
  registrar_.MarkStopping(now);
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
    for (auto& item : update.items)
      ApplyChange(std::move(item), now);
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
  std::size_t bytes = 0;
  for (auto& item : items) {
    auto decoded = Decode(&item, now);
    if (!decoded || !item.value)
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
    if (!HasRoomFor(*decoded, item, bytes, /*is_new=*/true)) {
      RefuseItem(&item, TooManyEntries(bytes), now);
      continue;
    }
    bytes += FeedLog::MemoryOf(item);
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

std::optional<FeedItem> DiscoveryEngine::Decode(RawItem* item, Time now) {
  if (item->key.size() > settings_.limits.max_key_bytes) {
    if (item->value) {
      RefuseItem(
          item, {ResultCode::kFieldOutOfRange, "", "the key is too long"}, now);
    }
    return std::nullopt;
  }
  DecodedItem decoded = settings_.decode(*item);
  if (decoded.fault) {
    RefuseItem(item, std::move(*decoded.fault), now);
    return std::move(decoded.item);
  }
  refused_items_.Remove(item->key);
  if (!decoded.item)
    return std::nullopt;
  const bool is_routes =
      std::holds_alternative<std::shared_ptr<const RouteTable>>(*decoded.item);
  if (is_routes && item->value->size() > settings_.limits.max_routes_bytes) {
    RefuseItem(
        item,
        {ResultCode::kFieldOutOfRange, "", "the configuration is too long"},
        now);
    return std::nullopt;
  }
  if (decoded.short_value)
    item->value = std::move(decoded.short_value);
  return std::move(decoded.item);
}

void DiscoveryEngine::RefuseItem(RawItem* item, Error fault, Time now) {
  const std::string value = std::exchange(item->value, {}).value_or("");
  std::string key = item->key.substr(0, settings_.limits.max_key_bytes);
  if (!refused_items_.Add(key, Hash64(value), now))
    return;
  actions_.push_back(ItemRefused{std::move(key), item->revision, value.size(),
                                 std::move(fault), refused_items_.size()});
}

void DiscoveryEngine::ReducePage(std::vector<RawItem>* items, Time now) {
  const DiscoveryLimits& limits = settings_.limits;
  std::size_t bytes = follower_.listing_bytes();
  for (RawItem& item : *items) {
    // Short values are decoded once, when the listing is complete, unless there
    // are many of them.
    const std::size_t value_bytes = item.value ? item.value->size() : 0;
    if (value_bytes > kMaxEntryValueBytes ||
        item.key.size() > limits.max_key_bytes ||
        bytes > limits.max_entry_bytes / 2) {
      const auto decoded = Decode(&item, now);
      if (!decoded)
        item.value.reset();
      else if (item.value && !HasRoomFor(*decoded, item, bytes, true))
        RefuseItem(&item, TooManyEntries(bytes), now);
    }
    if (item.value)
      bytes += FeedLog::MemoryOf(item);
  }
}

bool DiscoveryEngine::HasRoomFor(const FeedItem& decoded,
                                 const RawItem& item,
                                 std::size_t bytes,
                                 bool is_new) const {
  const DiscoveryLimits& limits = settings_.limits;
  if (std::holds_alternative<std::shared_ptr<const RouteTable>>(decoded))
    return true;
  const auto* instance = std::get_if<InstanceEntry>(&decoded);
  if (instance != nullptr && instance->name == settings_.own.name)
    return true;
  const bool is_new_server =
      is_new && std::holds_alternative<ServerEntry>(decoded);
  return bytes + FeedLog::MemoryOf(item) <=
         (is_new_server ? limits.max_server_bytes : limits.max_entry_bytes);
}

void DiscoveryEngine::ApplyChange(RawItem item, Time now) {
  const auto is_known = [this, &item] {
    const std::string* before = log_.Find(item.key);
    return before != nullptr && item.value && *before == *item.value;
  };
  if (is_known())
    return;
  const bool has_value = item.value.has_value();
  auto decoded = Decode(&item, now);
  if (!decoded || is_known())
    return;
  const bool is_new = log_.Find(item.key) == nullptr;
  // A value that can't be used removes its entry; if there is none, nothing
  // changes.
  if (has_value && !item.value && is_new)
    return;
  const std::size_t others = log_.item_bytes() - log_.BytesOf(item.key);
  if (item.value && !HasRoomFor(*decoded, item, others, is_new)) {
    RefuseItem(&item, TooManyEntries(others), now);
    if (is_new)
      return;
    decoded = settings_.decode(item).item;
  }
  bool changed = true;
  if (auto* routes = std::get_if<std::shared_ptr<const RouteTable>>(&*decoded))
    return ApplyRoutes({std::move(*routes), std::move(item)}, now);
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
    // The store is read and passed on by instances that stay.
    std::vector<InstanceEntry> staying = *instances;
    std::erase_if(staying,
                  [](const InstanceEntry& entry) { return entry.stopping; });
    source_selector_.Update(staying);
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
