#include "dispatch/internal/topology.h"

#include <algorithm>
#include <utility>

namespace limpetrudder::detail {
namespace {

// Usual round trips inside a data centre, inside a region, and between regions
// of one island or coast.
constexpr Duration kLocalRoundTrip = Millis(1);
constexpr Duration kRegionRoundTrip = Millis(4);
constexpr Duration kCrossRegionRoundTrip = Millis(20);

// A longer connect time is caused by load or a lost packet, not by distance.
constexpr Duration kMaxRoundTrip = Millis(150);

// The estimate follows the minimum of recent connect times: a longer sample
// moves it by 1 / kIncreaseDivisor of the difference.
constexpr int kIncreaseDivisor = 16;

}  // namespace

Topology::Topology(std::string data_centre,
                   std::map<std::string, std::string> regions)
    : data_centre_(std::move(data_centre)), regions_(std::move(regions)) {}

Distance Topology::Between(const std::string& from,
                           const std::string& to) const {
  if (from == to)
    return Distance::kSameDataCentre;
  const std::string* from_region = RegionOf(from);
  const std::string* to_region = RegionOf(to);
  const bool same_region = from_region != nullptr && to_region != nullptr &&
                           *from_region == *to_region;
  return same_region ? Distance::kSameRegion : Distance::kOtherRegion;
}

const std::string* Topology::RegionOf(const std::string& data_centre) const {
  const auto found = regions_.find(data_centre);
  return found == regions_.end() ? nullptr : &found->second;
}

Duration Topology::RoundTrip(const std::string& data_centre) const {
  const auto found = round_trips_.find(data_centre);
  if (found != round_trips_.end())
    return found->second;
  switch (DistanceTo(data_centre)) {
    case Distance::kSameDataCentre:
      return kLocalRoundTrip;
    case Distance::kSameRegion:
      return kRegionRoundTrip;
    case Distance::kOtherRegion:
      return kCrossRegionRoundTrip;
  }
  return kCrossRegionRoundTrip;
}

void Topology::OnConnected(const std::string& data_centre,
                           Duration connect_time) {
  const Duration sample = std::min(connect_time, kMaxRoundTrip);
  auto [entry, is_first] = round_trips_.try_emplace(data_centre, sample);
  if (is_first)
    return;
  Duration& round_trip = entry->second;
  if (sample < round_trip)
    round_trip = sample;
  else
    round_trip += (sample - round_trip) / kIncreaseDivisor;
}

}  // namespace limpetrudder::detail
