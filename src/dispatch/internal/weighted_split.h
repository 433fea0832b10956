#ifndef DISPATCH_INTERNAL_WEIGHTED_SPLIT_H_
#define DISPATCH_INTERNAL_WEIGHTED_SPLIT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routing/route_table.h"

namespace limpetrudder::detail {

// Divides the requests of a route over its services in proportion to their
// weights (smooth weighted round robin): any run of requests is within one of
// its share. Not thread safe.
class WeightedSplit {
 public:
  // Returns the index of the service that gets the next request of `route`.
  // Precondition: `route` has backends.
  std::size_t Next(const Route& route);

  // Forgets routes that are gone.
  void RetainOnly(const RouteTable& table);

 private:
  std::map<std::string, std::vector<std::int64_t>> credits_;  // By route.
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_WEIGHTED_SPLIT_H_
