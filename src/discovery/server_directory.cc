#include "discovery/server_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace limpetrudder {
namespace {

EntryAge AgeOf(const ServerEntry& entry) {
  return {entry.started_ms, entry.sequence};
}

// Whether routing has to know; a heartbeat alone changes nothing.
bool SaysTheSame(const ServerEntry& a, const ServerEntry& b) {
  return a.service == b.service && a.address == b.address &&
         a.data_centre == b.data_centre && a.slots == b.slots &&
         a.draining == b.draining && a.started_ms == b.started_ms &&
         (a.warmup_left == Duration::zero()) ==
             (b.warmup_left == Duration::zero());
}

}  // namespace

bool ServerDirectory::OnEntry(const ServerEntry& entry) {
  if (HasDeparted(entry))
    return false;
  auto& row = rows_[entry.id];
  const bool is_new = row.entry.id.empty();
  if (!is_new && AgeOf(entry) < AgeOf(row.entry))
    return false;
  const bool same =
      !is_new && SaysTheSame(entry, row.entry) && row.missing_until == kNever;
  row.entry = entry;
  row.missing_until = kNever;
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
  if (row.missing_until != kNever)
    return;
  const bool may_return = store_back_ != Time::min() &&
                          now < store_back_ + kReturnGrace &&
                          !row.entry.draining;
  if (may_return)
    row.missing_until = store_back_ + kReturnGrace;
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

Time ServerDirectory::Turn(Time now) {
  Time next = kNever;
  std::vector<std::string> gone;
  for (const auto& [id, row] : rows_) {
    if (row.missing_until <= now)
      gone.push_back(id);
    else
      next = std::min(next, row.missing_until);
  }
  for (const auto& id : gone)
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

bool ServerDirectory::HasDeparted(const ServerEntry& entry) const {
  const auto found = departed_.find(entry.id);
  if (found == departed_.end())
    return false;
  // NOTE A process that doesn't say when it started can't be told from a later
  // one under its id.
  return entry.started_ms != 0 && AgeOf(entry) <= found->second;
}

void ServerDirectory::Drop(const std::string& id) {
  if (departed_.count(id) == 0)
    departed_order_.push_back(id);
  departed_[id] = AgeOf(rows_.at(id).entry);
  if (departed_order_.size() > kMostDeparted) {
    departed_.erase(departed_order_.front());
    departed_order_.pop_front();
  }
  rows_.erase(id);
  std::erase_if(change_.updated,
                [&id](const ServerEntry& entry) { return entry.id == id; });
  change_.removed.push_back(id);
}

}  // namespace limpetrudder
