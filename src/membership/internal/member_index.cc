#include "membership/internal/member_index.h"

#include "framework/hash.h"
#include "routing/coordinator_plan.h"

namespace limpetrudder::detail {
namespace {

constexpr std::size_t kRelays = 2;
constexpr char kRelayKey[] = "relay";

}  // namespace

void MemberIndex::Add(const MemberUpdate& member) {
  if (!CountsAsLive(member.state))
    return;
  DataCentre& entry = data_centres_[member.data_centre];
  entry.live.push_back(member.name);
  // NOTE The sum doesn't depend on the order of members.
  entry.hash +=
      Hash64(member.name,
             member.incarnation * 4 + static_cast<std::uint64_t>(member.state));
}

void MemberIndex::Finish() {
  for (auto& [name, entry] : data_centres_)
    entry.relays = HighestScores(kRelayKey, entry.live, kRelays);
}

const MemberIndex::DataCentre& MemberIndex::Find(
    std::string_view data_centre) const {
  static const DataCentre empty;
  const auto found = data_centres_.find(data_centre);
  return found == data_centres_.end() ? empty : found->second;
}

}  // namespace limpetrudder::detail
