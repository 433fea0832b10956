#ifndef DISPATCH_INTERNAL_WEIGHTED_SPLIT_H_
#define DISPATCH_INTERNAL_WEIGHTED_SPLIT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routing/route_table.h"

namespace limpetrudder::detail {

// Distributes the requests of a route over its backends in proportion to their
// weights, by smooth weighted round robin: over any sequence of requests, each
// backend's count is within one of its share. Not thread safe.
class WeightedSplit {
 public:
  // Returns the index of the backend that gets the next request of `route`.
  // Precondition: `route` has backends.
  std::size_t Next(const Route& route);

  // Discards the state of routes that `table` doesn't contain.
  void RetainOnly(const RouteTable& table);

 private:
  // The current weight of each backend, by route name.
  std::map<std::string, std::vector<std::int64_t>> credits_;
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_WEIGHTED_SPLIT_H_
