#ifndef DISPATCH_INTERNAL_TOPOLOGY_H_
#define DISPATCH_INTERNAL_TOPOLOGY_H_

#include <map>
#include <string>

#include "framework/time.h"

namespace limpetrudder::detail {

// How far two data centres are from each other.
enum class Distance { kSameDataCentre, kSameRegion, kOtherRegion };

// The data centres, their regions and the round trip times to them. Not thread
// safe.
class Topology {
 public:
  // `data_centre` is this instance's; `regions` gives the region of each data
  // centre.
  Topology(std::string data_centre, std::map<std::string, std::string> regions);

  Distance DistanceTo(const std::string& data_centre) const {
    return Between(data_centre_, data_centre);
  }
  // Different data centres count as kOtherRegion if the region of either isn't
  // known.
  Distance Between(const std::string& from, const std::string& to) const;

  // Returns the region of `data_centre`, or null if it isn't known.
  const std::string* RegionOf(const std::string& data_centre) const;

  // Returns the round trip time to `data_centre`; a default by distance until
  // the first connection is measured.
  Duration RoundTrip(const std::string& data_centre) const;

  // Records that a connection to `data_centre` took `connect_time` to open.
  void OnConnected(const std::string& data_centre, Duration connect_time);

 private:
  const std::string data_centre_;
  const std::map<std::string, std::string> regions_;
  std::map<std::string, Duration> round_trips_;
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_TOPOLOGY_H_
