#ifndef DISPATCH_INTERNAL_ROUTE_PROFILES_H_
#define DISPATCH_INTERNAL_ROUTE_PROFILES_H_

#include <cstddef>
#include <map>
#include <string>

#include "framework/time.h"
#include "routing/latency_window.h"
#include "routing/route_table.h"

namespace limpetrudder::detail {

// How long servers work on the requests of one route, round trips left out,
// pooled over all servers.
struct WorkTimes {
  Duration median{0};
  Duration high{0};  // The 95% quantile.
};

// How large the answers of servers are, heads included, as a running mean.
struct PartSizes {
  double bytes = 700;
};

// Learns the work times and sizes of each route. Not thread safe.
class RouteProfiles {
 public:
  // Returns the work times of `route`; before enough answers a part of its
  // latency target.
  const WorkTimes& TimesOf(const Route& route);

  const PartSizes& SizesOf(const Route& route) {
    return ProfileOf(route).sizes;
  }

  void Record(const Route& route, Duration work, std::size_t body_bytes);

  // Forgets routes that are gone.
  void RetainOnly(const RouteTable& table);

 private:
  struct Profile {
    LatencyWindow window{kWindow};
    WorkTimes times;
    PartSizes sizes;
    std::uint32_t new_samples = 0;  // Samples since `times` was computed.
  };

  static constexpr std::uint32_t kWindow = 1024;
  static constexpr std::uint32_t kUpdateInterval = 32;

  Profile& ProfileOf(const Route& route);
  static void UpdateTimes(const Route& route, Profile* profile);

  std::map<std::string, Profile> profiles_;  // By name of the route.
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_ROUTE_PROFILES_H_
