#include "discovery/instance_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace limpetrudder {

void InstanceDirectory::OnEntry(const InstanceEntry& entry) {
  Row& row = rows_[entry.name];
  row.grace_until = kNever;
  changed_ = changed_ || !(row.entry == entry);
  row.entry = entry;
}

void InstanceDirectory::OnRemoved(const std::string& name, Time now) {
  const auto found = rows_.find(name);
  if (found == rows_.end())
    return;
  if (store_recovered_at_ != Time::min() &&
      now < store_recovered_at_ + kRecoveryGrace) {
    found->second.grace_until = store_recovered_at_ + kRecoveryGrace;
    return;
  }
  rows_.erase(found);
  changed_ = true;
}

void InstanceDirectory::OnListing(const std::vector<InstanceEntry>& entries,
                                  Time now) {
  std::set<std::string> listed;
  for (const auto& entry : entries) {
    listed.insert(entry.name);
    OnEntry(entry);
  }
  std::vector<std::string> missing;
  for (const auto& [name, row] : rows_) {
    if (listed.count(name) == 0)
      missing.push_back(name);
  }
  for (const auto& name : missing)
    OnRemoved(name, now);
}

Time InstanceDirectory::Tick(Time now) {
  Time next = kNever;
  const std::size_t erased = std::erase_if(rows_, [&](const auto& entry) {
    const Time until = entry.second.grace_until;
    if (until > now)
      next = std::min(next, until);
    return until <= now;
  });
  changed_ = changed_ || erased > 0;
  return next;
}

std::optional<std::vector<InstanceEntry>> InstanceDirectory::TakeChange() {
  if (!std::exchange(changed_, false))
    return std::nullopt;
  return Entries();
}

bool InstanceDirectory::IsListed(const std::string& name) const {
  const auto found = rows_.find(name);
  return found != rows_.end() && found->second.grace_until == kNever;
}

std::vector<InstanceEntry> InstanceDirectory::Entries() const {
  std::vector<InstanceEntry> entries;
  entries.reserve(rows_.size());
  for (const auto& [name, row] : rows_)
    entries.push_back(row.entry);
  return entries;
}

}  // namespace limpetrudder
