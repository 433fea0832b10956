#include "quota/quota_owners.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include "framework/hash.h"

namespace limpetrudder {
namespace {

// Of a data centre. More would only cost memory and hashing.
constexpr std::size_t kMaxCandidates = 8;

// A killed instance leaves the list of members within a few seconds; one that
// has become slow stays.
constexpr Duration kMinSilence = Seconds(1);
constexpr Duration kMaxSilence = Seconds(8);

// Keeps kMaxCandidates of them, the same ones in the same order at all
// instances.
void KeepCandidates(std::vector<QuotaMember>* members) {
  const auto order = [](const QuotaMember& member) {
    return std::make_pair(Hash64(member.name), std::string_view(member.name));
  };
  std::sort(members->begin(), members->end(),
            [&](const QuotaMember& a, const QuotaMember& b) {
              return order(a) < order(b);
            });
  if (members->size() <= kMaxCandidates)
    return;
  members->resize(kMaxCandidates);
  members->shrink_to_fit();
}

}  // namespace

QuotaOwners::QuotaOwners(QuotaMember own,
                         std::map<std::string, std::string> regions)
    : own_(std::move(own)), data_centres_{own_.data_centre} {
  const std::string region = regions[own_.data_centre];
  for (const bool same_region : {true, false}) {
    for (const auto& [data_centre, of] : regions) {
      if (data_centre != own_.data_centre && (of == region) == same_region)
        data_centres_.push_back(data_centre);
    }
  }
}

void QuotaOwners::SetMembers(const std::vector<QuotaMember>& members,
                             Time now) {
  std::map<std::string, std::vector<QuotaMember>> candidates;
  const auto add = [&candidates](const QuotaMember& member) {
    auto& list = candidates[member.data_centre];
    if (!list.empty() && list.front().cores < member.cores)
      list.clear();
    if (list.empty() || list.front().cores == member.cores)
      list.push_back(member);
  };
  has_others_ = false;
  bool is_listed = false;
  for (const QuotaMember& member : candidates_[own_.data_centre]) {
    if (member.name != own_.name)
      former_.push_back(member);
  }
  for (const QuotaMember& member : members) {
    add(member);
    ForgetFormer(member.name);
    (member.name == own_.name ? is_listed : has_others_) = true;
  }
  if (!has_others_ && !is_listed)
    add(own_);
  for (auto& [data_centre, list] : candidates)
    KeepCandidates(&list);
  const auto& own_list = candidates[own_.data_centre];
  if (epoch_ == 0 || candidates_[own_.data_centre] != own_list) {
    if (++epoch_ == 1) {
      began_at_ = now;
      continues_ = is_listed && has_others_;
    }
    changed_at_ = now;
  }
  if (std::none_of(own_list.begin(), own_list.end(),
                   [this](const QuotaMember& m) { return is_own(m); })) {
    former_.clear();
  }
  candidates_ = std::move(candidates);
}

const QuotaMember* QuotaOwners::OwnerIn(const std::string& data_centre,
                                        const std::string& account) const {
  const auto found = candidates_.find(data_centre);
  if (found == candidates_.end() || found->second.empty())
    return nullptr;
  const std::uint64_t seed = Hash64(account);
  const auto score = [seed](const QuotaMember& member) {
    return Hash64(member.name, seed);
  };
  return &*std::max_element(found->second.begin(), found->second.end(),
                            [&](const QuotaMember& a, const QuotaMember& b) {
                              return std::make_tuple(score(a), a.name) <
                                     std::make_tuple(score(b), b.name);
                            });
}

std::vector<const QuotaMember*> QuotaOwners::Owners(
    const std::string& account) const {
  std::vector<const QuotaMember*> owners;
  for (const std::string& data_centre : data_centres_) {
    if (const QuotaMember* owner = OwnerIn(data_centre, account))
      owners.push_back(owner);
  }
  return owners;
}

void QuotaOwners::ForgetFormer(const std::string& name) {
  std::erase_if(former_, [&name](const QuotaMember& member) {
    return member.name == name;
  });
}

void QuotaOwners::OnSilent(const std::string& name, Time now) {
  std::erase_if(silences_, [now](const auto& entry) {
    return now - entry.second.until > kMaxSilence;
  });
  Silence& silence = silences_[name];
  if (now < silence.until)
    return;
  silence.time = std::clamp(2 * silence.time, kMinSilence, kMaxSilence);
  silence.until = now + silence.time;
}

bool QuotaOwners::IsSilent(const std::string& name, Time now) const {
  const auto found = silences_.find(name);
  return found != silences_.end() && now < found->second.until;
}

}  // namespace limpetrudder
