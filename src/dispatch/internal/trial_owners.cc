#include "dispatch/internal/trial_owners.h"

#include <algorithm>
#include <string_view>

#include "framework/hash.h"

namespace limpetrudder::detail {

void TrialOwners::SetInstances(const std::vector<InstanceEntry>& instances) {
  instances_ = {own_name_};
  for (const InstanceEntry& instance : instances) {
    if (instance.name != own_name_)
      instances_.push_back(instance.name);
  }
}

std::vector<std::string> TrialOwners::OwnersOf(
    const std::string& digest,
    std::uint32_t failed_trials) const {
  const std::uint64_t seed = Hash64(digest);
  std::vector<std::pair<std::uint64_t, std::string_view>> scores;
  scores.reserve(instances_.size());
  for (const std::string& name : instances_)
    scores.emplace_back(Hash64(name, seed), name);
  const std::size_t count =
      std::min(scores.size(), failed_trials >= kSingleOwnerAfter ? 1 : kOwners);
  std::partial_sort(scores.begin(),
                    scores.begin() + static_cast<std::ptrdiff_t>(count),
                    scores.end());
  std::vector<std::string> owners;
  for (std::size_t i = 0; i < count; ++i)
    owners.emplace_back(scores[i].second);
  return owners;
}

}  // namespace limpetrudder::detail
