#ifndef DISPATCH_INTERNAL_REGION_FILTER_H_
#define DISPATCH_INTERNAL_REGION_FILTER_H_

#include <string>
#include <utility>

#include "dispatch/internal/topology.h"
#include "routing/allowed_regions.h"

namespace limpetrudder::detail {

// Decides where a call may run: to the servers and instances of which data
// centres it may be sent. Applies to routes that name their allowed regions. A
// data centre whose region isn't known is allowed only if all regions are.
// Concurrent calls of const methods are safe.
class RegionFilter {
 public:
  // Allows all data centres.
  RegionFilter() = default;
  // `topology` must outlive the filter.
  RegionFilter(const Topology* topology, AllowedRegions regions)
      : topology_(topology), regions_(std::move(regions)) {}

  bool Allows(const std::string& data_centre) const {
    if (regions_.any())
      return true;
    const std::string* region = topology_->RegionOf(data_centre);
    return region != nullptr && regions_.Allows(*region);
  }

  // Allows from now on only what `regions` allow as well.
  void Narrow(const AllowedRegions& regions) {
    regions_ = regions_.Intersect(regions);
  }

  const AllowedRegions& regions() const { return regions_; }

 private:
  const Topology* topology_ = nullptr;
  AllowedRegions regions_;
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_REGION_FILTER_H_
