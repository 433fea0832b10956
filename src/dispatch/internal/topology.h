#ifndef DISPATCH_INTERNAL_TOPOLOGY_H_
#define DISPATCH_INTERNAL_TOPOLOGY_H_

#include <map>
#include <string>

#include "framework/time.h"

namespace limpetrudder::detail {

// How far a data centre is from this one.
enum class Distance { kSameDataCentre, kSameRegion, kOtherRegion };

// The data centres, their regions and the round trips to them. Not thread safe.
class Topology {
 public:
  // `regions` gives the region of each data centre.
  Topology(std::string data_centre, std::map<std::string, std::string> regions);

  Distance DistanceTo(const std::string& data_centre) const {
    return Between(data_centre_, data_centre);
  }
  Distance Between(const std::string& from, const std::string& to) const;

  // The time to a server there and back; before the first measurement a guess
  // by distance.
  Duration RoundTrip(const std::string& data_centre) const;

  // A connection to a server there took `connect_time` to open.
  void OnConnected(const std::string& data_centre, Duration connect_time);

 private:
  const std::string data_centre_;
  const std::map<std::string, std::string> regions_;
  std::map<std::string, Duration> round_trips_;
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_TOPOLOGY_H_
