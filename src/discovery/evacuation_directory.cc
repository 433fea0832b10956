#include "discovery/evacuation_directory.h"

#include <algorithm>
#include <utility>

namespace limpetrudder {

void EvacuationDirectory::OnStarted(const std::string& data_centre) {
  const auto [row, is_new] = grace_until_.try_emplace(data_centre, kNever);
  row->second = kNever;
  changed_ = changed_ || is_new;
}

void EvacuationDirectory::OnEnded(const std::string& data_centre) {
  changed_ = grace_until_.erase(data_centre) > 0 || changed_;
}

void EvacuationDirectory::OnListing(const std::set<std::string>& data_centres,
                                    Time now) {
  const bool in_grace =
      restored_at_ != Time::min() && now < restored_at_ + kRestoreGrace;
  for (auto& [data_centre, grace_until] : grace_until_) {
    if (data_centres.count(data_centre) == 0 && grace_until == kNever)
      grace_until = in_grace ? restored_at_ + kRestoreGrace : now;
  }
  for (const auto& data_centre : data_centres)
    OnStarted(data_centre);
  Tick(now);
}

Time EvacuationDirectory::Tick(Time now) {
  Time next = kNever;
  const std::size_t erased = std::erase_if(grace_until_, [&](const auto& row) {
    if (row.second > now)
      next = std::min(next, row.second);
    return row.second <= now;
  });
  changed_ = changed_ || erased > 0;
  return next;
}

std::optional<std::set<std::string>> EvacuationDirectory::TakeChange() {
  if (!std::exchange(changed_, false))
    return std::nullopt;
  std::set<std::string> data_centres;
  for (const auto& [data_centre, until] : grace_until_)
    data_centres.insert(data_centre);
  return data_centres;
}

}  // namespace limpetrudder
