#include "discovery/tests/simulated_store.h"

#include <vector>

#include "discovery/registrar.h"

namespace limpetrudder {
namespace {

constexpr std::size_t kMaxCopies = 60;
constexpr std::size_t kItemsPerPage = 100;

}  // namespace

std::string EncodeInstanceEntry(const InstanceEntry& entry) {
  return entry.data_centre + " " + std::to_string(entry.store_era) + " " +
         std::to_string(entry.routes_version);
}

void SimulatedStore::Put(const std::string& key,
                         const std::string& value,
                         std::uint64_t lease) {
  ++state_.revision;
  state_.items[key] = {value, state_.revision, lease};
  history_.push_back({key, value, state_.revision});
}

void SimulatedStore::Erase(const std::string& key) {
  if (state_.items.erase(key) == 0)
    return;
  ++state_.revision;
  history_.push_back({key, std::nullopt, state_.revision});
}

FeedReply SimulatedStore::Answer(const FeedCall& call) const {
  FeedReply reply;
  if (const auto* page = std::get_if<ListPage>(&call))
    reply = List(*page);
  else
    reply = Changes(std::get<ReadChanges>(call).after.revision);
  if (sends_era)
    reply.era = era_;
  return reply;
}

FeedReply SimulatedStore::List(const ListPage& page) const {
  FeedReply reply;
  reply.status = FeedStatus::kOk;
  reply.revision = state_.revision;
  auto item = state_.items.upper_bound(page.after_key);
  for (; item != state_.items.end() && reply.items.size() < kItemsPerPage;
       ++item)
    reply.items.push_back(
        {item->first, item->second.value, item->second.revision});
  reply.has_more = item != state_.items.end();
  return reply;
}

FeedReply SimulatedStore::Changes(std::uint64_t after) const {
  FeedReply reply;
  if (after < floor_ || after > state_.revision) {
    reply.status = FeedStatus::kHistoryLost;
    return reply;
  }
  reply.status = FeedStatus::kOk;
  reply.revision = state_.revision;
  for (const auto& change : history_) {
    if (change.revision > after)
      reply.items.push_back({change.key, change.value, change.revision});
  }
  return reply;
}

LeaseReply SimulatedStore::Answer(const LeaseCall& call, Time now) {
  LeaseReply reply;
  reply.status = LeaseStatus::kOk;
  if (const auto* grant = std::get_if<GrantLease>(&call)) {
    reply.lease = state_.next_lease++;
    state_.leases[reply.lease] = now + grant->lease;
  } else if (const auto* write = std::get_if<WriteInstance>(&call)) {
    if (state_.leases.count(write->lease) == 0)
      reply.status = LeaseStatus::kNoLease;
    else
      Put(kInstanceKeyPrefix + write->entry.name,
          EncodeInstanceEntry(write->entry), write->lease);
    reply.revision = state_.revision;
  } else if (const auto* renew = std::get_if<RenewLease>(&call)) {
    const auto found = state_.leases.find(renew->lease);
    if (found == state_.leases.end())
      reply.status = LeaseStatus::kNoLease;
    else
      found->second = now + Registrar::kLease;
  } else {
    const auto& remove = std::get<RemoveInstance>(call);
    const auto found = state_.items.find(kInstanceKeyPrefix + remove.name);
    if (found != state_.items.end() &&
        found->second.revision == remove.revision) {
      Erase(kInstanceKeyPrefix + remove.name);
    }
  }
  if (sends_era)
    reply.era = era_;
  return reply;
}

void SimulatedStore::ExpireLeases(Time now) {
  std::vector<std::string> ended;
  for (const auto& [key, item] : state_.items) {
    if (item.lease != 0 && state_.leases.count(item.lease) > 0 &&
        state_.leases[item.lease] <= now) {
      ended.push_back(key);
    }
  }
  for (const auto& key : ended)
    Erase(key);
  std::erase_if(state_.leases,
                [now](const auto& lease) { return lease.second <= now; });
}

void SimulatedStore::SaveCopy(Time now) {
  copies_.push_back({now, state_});
  if (copies_.size() > kMaxCopies)
    copies_.pop_front();
}

void SimulatedStore::Restore(Duration age, Time now) {
  while (copies_.size() > 1 && copies_.back().at > now - age)
    copies_.pop_back();
  state_ = copies_.back().state;
  history_.clear();
  floor_ = state_.revision;
  ++era_;
}

}  // namespace limpetrudder
