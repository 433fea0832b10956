#include "discovery/refused_items.h"

#include <algorithm>

namespace limpetrudder {

bool RefusedItems::Add(const std::string& key, std::uint64_t digest, Time now) {
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    if (rows_.size() >= max_items_ && !EvictOldest(now))
      return false;
    rows_[key] = {digest, now};
    return true;
  }
  Row& row = found->second;
  if (row.digest == digest || now - row.reported < kReportInterval)
    return false;
  row = {digest, now};
  return true;
}

bool RefusedItems::EvictOldest(Time now) {
  const auto oldest = std::min_element(
      rows_.begin(), rows_.end(), [](const auto& a, const auto& b) {
        return a.second.reported < b.second.reported;
      });
  if (oldest == rows_.end() || now - oldest->second.reported < kReportInterval)
    return false;
  rows_.erase(oldest);
  return true;
}

}  // namespace limpetrudder
