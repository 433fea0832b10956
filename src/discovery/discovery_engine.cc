#include "discovery/discovery_engine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace limpetrudder {
namespace {

// Questions that wait; beyond them an instance is answered at once.
constexpr std::size_t kMostWaiting = 512;

// Instances that are asked for newer routes than the store's.
constexpr std::size_t kFirstRoutesQuestions = 3;

}  // namespace

DiscoveryEngine::DiscoveryEngine(DiscoverySettings settings)
    : settings_(std::move(settings)),
      follower_(settings_.follower),
      registrar_(settings_.own, settings_.follower.seed),
      source_(settings_.own, settings_.regions, settings_.follower.seed) {}

void DiscoveryEngine::OnStoreReply(FeedReply reply, Time now) {
  auto batch = follower_.OnReply(std::move(reply), now);
  NoteContact();
  NoteEra(now);
  if (batch)
    OnBatch(std::move(*batch), now);
}

void DiscoveryEngine::OnLeaseReply(const LeaseReply& reply, Time now) {
  registrar_.OnReply(reply, now);
}

void DiscoveryEngine::OnFeedResponse(const std::string& from,
                                     FeedRequestReason reason,
                                     FeedReply reply,
                                     Time now) {
  // NOTE An instance that hasn't heard of the store's return yet follows the
  // store of before; it is no source until it has.
  const bool answered = reply.status == FeedStatus::kOk;
  const bool useful = answered && !follower_.IsOutdated(reply);
  switch (reason) {
    case FeedRequestReason::kFollow:
      if (useful)
        source_.OnAnswer(from, reply.age, now);
      else
        source_.OnFailure(from, now);
      break;
    case FeedRequestReason::kNewerRoutes:
      source_.OnAheadEnded();
      break;
    case FeedRequestReason::kFirstRoutes:
      --first_questions_;
      break;
  }
  if (answered && !useful) {
    actions_.push_back(SourceOutdated{
        from, {reply.era.value_or(0), reply.revision}, follower_.position()});
  }
  // NOTE Routes go by their version, whatever else the answer is good for.
  if (answered && !follower_.IsNews(reply))
    OfferRoutesOf(reply, now);
  auto batch = follower_.OnFeedResponse(std::move(reply), now);
  NoteEra(now);
  if (batch)
    OnBatch(std::move(*batch), now);
  if (reason == FeedRequestReason::kFirstRoutes &&
      (answered || first_questions_ == 0)) {
    ReleaseFirstRoutes();
  }
}

void DiscoveryEngine::OfferRoutesOf(const FeedReply& reply, Time now) {
  for (const auto& item : reply.items) {
    if (!item.value)
      continue;
    auto decoded = settings_.decode(item);
    if (!decoded)
      continue;
    if (auto* routes =
            std::get_if<std::shared_ptr<const RouteTable>>(&*decoded))
      OfferRoutes({std::move(*routes), item}, now);
  }
}

void DiscoveryEngine::OnNewerRoutes(const std::string& instance,
                                    std::uint64_t version,
                                    Time now) {
  if (routes_version() >= version)
    return;
  if (const auto found = source_.AskAhead(instance, now))
    Ask(*found, FeedRequestReason::kNewerRoutes);
}

void DiscoveryEngine::OnFeedRequest(std::uint64_t id,
                                    FeedQuestion request,
                                    Time now) {
  if (request.at_once || HasNewsFor(request) ||
      waiting_.size() >= kMostWaiting) {
    actions_.push_back(SendFeedResponse{id, request});
    return;
  }
  waiting_.push_back({id, request, now + kFeedWait});
}

void DiscoveryEngine::Leave() {
  if (auto call = registrar_.Leave())
    actions_.push_back(CallLease{std::move(*call)});
}

void DiscoveryEngine::NoteContact() {
  if (follower_.is_store_reachable() == was_in_contact_)
    return;
  was_in_contact_ = follower_.is_store_reachable();
  actions_.push_back(
      StoreReachabilityChanged{was_in_contact_, follower_.position()});
}

void DiscoveryEngine::NoteEra(Time now) {
  registrar_.OnEra(follower_.era(), now);
}

void DiscoveryEngine::OnBatch(FeedBatch batch, Time now) {
  if (batch.restored_from) {
    actions_.push_back(
        StoreRestored{*batch.restored_from, follower_.position()});
  }
  if (batch.store_back) {
    directory_.OnStoreBack(now);
    instances_.OnStoreBack(now);
  }
  const bool is_first = in_force_.routes == nullptr;
  if (batch.whole) {
    OnListing(std::move(batch.items), now);
  } else {
    for (const auto& item : batch.items)
      OnChange(item, now);
    log_.Advance(follower_.position());
  }
  // NOTE After a return from an older copy servers are kept until they are
  // back.
  const bool lapsed = batch.store_back && !batch.restored_from;
  if (lapsed || (is_first && LacksServers()))
    follower_.CatchUp(now + ServerDirectory::kReturnGrace, now);
  registrar_.OnListed(instances_.IsListed(settings_.own.name),
                      follower_.position(), now);
}

bool DiscoveryEngine::LacksServers() const {
  if (!in_force_.routes)
    return false;
  std::set<std::string> served;
  for (const auto& entry : directory_.Entries())
    served.insert(entry.service);
  const auto lacks = [&served](const std::string& service) {
    return served.count(service) == 0;
  };
  for (const Route& route : in_force_.routes->routes()) {
    if (std::any_of(route.shards.begin(), route.shards.end(), lacks))
      return true;
    for (const auto& backend : route.backends) {
      if (lacks(backend.service))
        return true;
    }
  }
  return false;
}

void DiscoveryEngine::OnListing(std::vector<RawItem> items, Time now) {
  std::vector<RawItem> kept;
  std::vector<ServerEntry> servers;
  std::vector<InstanceEntry> instances;
  std::optional<Offer> offer;
  for (auto& item : items) {
    auto decoded = settings_.decode(item);
    if (!decoded)
      continue;
    if (auto* routes =
            std::get_if<std::shared_ptr<const RouteTable>>(&*decoded)) {
      offer = Offer{std::move(*routes), std::move(item)};
      continue;
    }
    auto* server = std::get_if<ServerEntry>(&*decoded);
    // NOTE Others, who hear no heartbeats, couldn't tell that it has left.
    if (server != nullptr && directory_.HasDeparted(*server))
      continue;
    if (server != nullptr)
      servers.push_back(std::move(*server));
    else if (auto* instance = std::get_if<InstanceEntry>(&*decoded))
      instances.push_back(std::move(*instance));
    kept.push_back(std::move(item));
  }
  log_.Reset(std::move(kept), follower_.position());
  directory_.OnListing(servers, now);
  instances_.OnListing(instances, now);
  if (offer)
    OfferRoutes(std::move(*offer), now);
}

void DiscoveryEngine::OnChange(const RawItem& item, Time now) {
  const std::string* before = log_.Find(item.key);
  if (before != nullptr && item.value && *before == *item.value)
    return;
  auto decoded = settings_.decode(item);
  if (!decoded)
    return;
  bool changed = true;
  if (auto* routes = std::get_if<std::shared_ptr<const RouteTable>>(&*decoded))
    return OfferRoutes({std::move(*routes), item}, now);
  if (const auto* server = std::get_if<ServerEntry>(&*decoded))
    changed = directory_.OnEntry(*server);
  else if (const auto* gone = std::get_if<ServerRemoved>(&*decoded))
    directory_.OnRemoved(gone->id, now);
  else if (const auto* instance = std::get_if<InstanceEntry>(&*decoded))
    instances_.OnEntry(*instance);
  else if (const auto* left = std::get_if<InstanceRemoved>(&*decoded))
    instances_.OnRemoved(left->name, now);
  log_.Add(item, changed);
}

// A version that was in force never goes back. The first one that an instance
// learns may come from a store that was restored from a copy; entries that
// other instances wrote tell whether that is so, and these are asked first.
void DiscoveryEngine::OfferRoutes(Offer offer, Time now) {
  if (routes_version() >= offer.routes->version())
    return;
  if (!in_force_.routes && !held_) {
    const auto candidates = MayHaveNewerRoutes(offer.routes->version());
    if (!candidates.empty())
      return HoldFirstRoutes(std::move(offer), candidates, now);
  }
  if (held_ && offer.routes->version() <= held_->routes->version())
    return;
  held_.reset();
  BringIntoForce(std::move(offer));
}

void DiscoveryEngine::BringIntoForce(Offer offer) {
  in_force_ = std::move(offer);
  actions_.push_back(RoutesUpdated{in_force_.routes});
}

std::vector<InstanceEntry> DiscoveryEngine::MayHaveNewerRoutes(
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
  candidates.resize(std::min(candidates.size(), kFirstRoutesQuestions));
  return candidates;
}

void DiscoveryEngine::HoldFirstRoutes(
    Offer offer,
    const std::vector<InstanceEntry>& candidates,
    Time now) {
  held_ = std::move(offer);
  held_until_ = now + kFirstRoutesWait;
  actions_.push_back(
      FirstRoutesHeld{held_->routes->version(), candidates.size()});
  for (const auto& instance : candidates) {
    ++first_questions_;
    Ask(instance, FeedRequestReason::kFirstRoutes);
  }
}

void DiscoveryEngine::ReleaseFirstRoutes() {
  if (!held_)
    return;
  Offer offer = std::move(*held_);
  held_.reset();
  BringIntoForce(std::move(offer));
}

void DiscoveryEngine::PublishDirectories() {
  if (auto instances = instances_.TakeChange()) {
    source_.Update(*instances);
    actions_.push_back(
        InstancesUpdated{std::move(*instances), source_.is_reader()});
  }
  DirectoryChange change = directory_.TakeChange();
  if (!change.empty()) {
    actions_.push_back(ServersUpdated{std::move(change), follower_.position()});
  }
}

bool DiscoveryEngine::HasRoutesFor(const FeedQuestion& request) const {
  if (!in_force_.routes)
    return false;
  // NOTE An instance that doesn't say which version it has goes by revisions.
  if (!request.routes_version)
    return in_force_.item.revision > request.after.revision;
  return in_force_.routes->version() > *request.routes_version;
}

bool DiscoveryEngine::HasNewsFor(const FeedQuestion& request) const {
  return HasRoutesFor(request) || log_.HasNewsSince(request.after);
}

FeedReply DiscoveryEngine::MakeFeedResponse(const FeedQuestion& request,
                                            Time now) const {
  FeedReply reply = log_.Since(request.after);
  if (HasRoutesFor(request))
    reply.items.push_back(in_force_.item);
  reply.age = follower_.heard() == Time::min() ? FeedSource::kFresh * 2
                                               : now - follower_.heard();
  return reply;
}

void DiscoveryEngine::SendDueFeedResponses(Time now, Time* next) {
  std::erase_if(waiting_, [&](const WaitingQuestion& waiting) {
    if (now < waiting.until && !HasNewsFor(waiting.request)) {
      *next = std::min(*next, waiting.until);
      return false;
    }
    actions_.push_back(SendFeedResponse{waiting.id, waiting.request});
    return true;
  });
}

void DiscoveryEngine::ReadStoreIfDue(Time now, Time* next) {
  const Time heard = follower_.heard();
  if (!source_.ShouldReadStore(heard, now)) {
    *next = std::min(*next, source_.NextOwnRead(heard) + Millis(1));
    return;
  }
  Time due = kNever;
  if (auto call = follower_.Turn(now, &due)) {
    source_.OnOwnRead(now);
    actions_.push_back(CallStore{std::move(*call)});
  }
  *next = std::min(*next, due);
}

void DiscoveryEngine::Follow(Time now, Time* next) {
  Time due = kNever;
  const auto instance =
      source_.Ask(follower_.heard(), follower_.is_store_reachable(), now, &due);
  *next = std::min(*next, due);
  if (instance)
    Ask(*instance, FeedRequestReason::kFollow);
}

void DiscoveryEngine::Ask(const InstanceEntry& instance,
                          FeedRequestReason reason) {
  const FeedQuestion request{follower_.position(), routes_version(),
                             reason != FeedRequestReason::kFollow};
  actions_.push_back(RequestFeed{instance, request, reason});
}

Time DiscoveryEngine::Turn(Time now) {
  Time next = std::min(directory_.Turn(now), instances_.Turn(now));
  if (held_) {
    if (now >= held_until_)
      ReleaseFirstRoutes();
    else
      next = std::min(next, held_until_);
  }
  PublishDirectories();
  ReadStoreIfDue(now, &next);
  Follow(now, &next);
  SendDueFeedResponses(now, &next);
  Time next_lease = kNever;
  if (auto call = registrar_.Turn(now, &next_lease)) {
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
