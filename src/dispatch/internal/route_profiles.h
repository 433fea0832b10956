#ifndef DISPATCH_INTERNAL_ROUTE_PROFILES_H_
#define DISPATCH_INTERNAL_ROUTE_PROFILES_H_

#include <cstddef>
#include <map>
#include <string>

#include "framework/time.h"
#include "routing/latency_window.h"
#include "routing/route_table.h"

namespace limpetrudder::detail {

// How long servers work on a request of one route, without the round trip, over
// all servers.
struct WorkTimes {
  Duration median{0};
  Duration high{0};  // The 95% quantile.
};

// Size of a server's answer, headers included, as a moving average.
struct PartSizes {
  double bytes = 700;
};

// Estimates the work times and answer sizes of each route from recent answers.
// Not thread safe.
class RouteProfiles {
 public:
  // Returns the work times of `route`; fixed fractions of its latency target
  // until there are enough answers. Valid until the next RetainOnly().
  const WorkTimes& TimesOf(const Route& route);

  const PartSizes& SizesOf(const Route& route) {
    return ProfileOf(route).sizes;
  }

  // Records an answer: the server's work time and the size of its body.
  void Record(const Route& route, Duration work, std::size_t body_bytes);

  // Discards the profiles of routes that `table` doesn't contain.
  void RetainOnly(const RouteTable& table);

 private:
  struct Profile {
    LatencyWindow window{kWindow};
    WorkTimes times;
    PartSizes sizes;
    std::uint32_t new_samples = 0;  // Since `times` was computed.
  };

  // Samples at which the weights of the latency window are halved.
  static constexpr std::uint32_t kWindow = 1024;
  // Samples after which the work times are computed again.
  static constexpr std::uint32_t kUpdateInterval = 32;

  Profile& ProfileOf(const Route& route);
  static void UpdateTimes(const Route& route, Profile* profile);

  std::map<std::string, Profile> profiles_;  // By route name.
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_ROUTE_PROFILES_H_
