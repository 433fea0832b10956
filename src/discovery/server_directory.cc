#include "discovery/server_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace limpetrudder {
namespace {

EntryVersion VersionOf(const ServerEntry& entry) {
  return {entry.started_ms, entry.sequence};
}

// Returns whether routing can ignore the difference between two entries, as
// that between two heartbeats.
bool IsEquivalent(const ServerEntry& a, const ServerEntry& b) {
  return a.service == b.service && a.address == b.address &&
         a.data_centre == b.data_centre && a.slots == b.slots &&
         a.draining == b.draining && a.started_ms == b.started_ms &&
         (a.warmup_left == Duration::zero()) ==
             (b.warmup_left == Duration::zero());
}

}  // namespace

bool ServerDirectory::OnEntry(const ServerEntry& entry) {
  if (IsFromRemovedServer(entry))
    return false;
  auto& row = rows_[entry.id];
  const bool is_new = row.entry.id.empty();
  if (!is_new && VersionOf(entry) < VersionOf(row.entry))
    return false;
  const bool same =
      !is_new && IsEquivalent(entry, row.entry) && row.grace_until == kNever;
  row.entry = entry;
  row.grace_until = kNever;
  if (same)
    return false;
  std::erase(change_.removed, entry.id);
  change_.updated.push_back(entry);
  return true;
}

void ServerDirectory::OnRemoved(const std::string& id, Time now) {
  const auto found = rows_.find(id);
  if (found == rows_.end())
    return;
  Row& row = found->second;
  if (row.grace_until != kNever)
    return;
  const bool may_reappear = store_recovered_at_ != Time::min() &&
                            now < store_recovered_at_ + kRecoveryGrace &&
                            !row.entry.draining;
  if (may_reappear)
    row.grace_until = store_recovered_at_ + kRecoveryGrace;
  else
    Drop(id);
}

void ServerDirectory::OnListing(const std::vector<ServerEntry>& entries,
                                Time now) {
  std::set<std::string> listed;
  for (const auto& entry : entries) {
    listed.insert(entry.id);
    OnEntry(entry);
  }
  std::vector<std::string> missing;
  for (const auto& [id, row] : rows_) {
    if (listed.count(id) == 0)
      missing.push_back(id);
  }
  for (const auto& id : missing)
    OnRemoved(id, now);
}

Time ServerDirectory::Tick(Time now) {
  Time next = kNever;
  std::vector<std::string> expired;
  for (const auto& [id, row] : rows_) {
    if (row.grace_until <= now)
      expired.push_back(id);
    else
      next = std::min(next, row.grace_until);
  }
  for (const auto& id : expired)
    Drop(id);
  return next;
}

DirectoryChange ServerDirectory::TakeChange() {
  return std::exchange(change_, DirectoryChange{});
}

std::vector<ServerEntry> ServerDirectory::Entries() const {
  std::vector<ServerEntry> entries;
  entries.reserve(rows_.size());
  for (const auto& [id, row] : rows_)
    entries.push_back(row.entry);
  return entries;
}

bool ServerDirectory::IsFromRemovedServer(const ServerEntry& entry) const {
  const auto found = removed_versions_.find(entry.id);
  if (found == removed_versions_.end())
    return false;
  // Without a start time, a process can't be told from a later one with the
  // same id.
  return entry.started_ms != 0 && VersionOf(entry) <= found->second;
}

void ServerDirectory::Drop(const std::string& id) {
  if (removed_versions_.count(id) == 0)
    removal_order_.push_back(id);
  removed_versions_[id] = VersionOf(rows_.at(id).entry);
  if (removal_order_.size() > kMaxRemovedVersions) {
    removed_versions_.erase(removal_order_.front());
    removal_order_.pop_front();
  }
  rows_.erase(id);
  std::erase_if(change_.updated,
                [&id](const ServerEntry& entry) { return entry.id == id; });
  change_.removed.push_back(id);
}

}  // namespace limpetrudder
