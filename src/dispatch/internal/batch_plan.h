#ifndef DISPATCH_INTERNAL_BATCH_PLAN_H_
#define DISPATCH_INTERNAL_BATCH_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

#include "framework/random.h"

namespace limpetrudder::detail {

// A sub-query whose servers are all in other data centres.
struct RemoteSubQuery {
  std::size_t sub_query = 0;
  std::vector<std::string> data_centres;  // The nearest ones with a server.
};

// Sub-queries that are delegated together to an instance in `data_centre`.
struct PlannedBatch {
  std::string data_centre;
  std::vector<std::size_t> sub_queries;
};

// Groups remote sub-queries into as few batches as their data centres allow.
// The parts of a batch cross the network once and merged, while a part that is
// fetched alone brings all of its records and headers of its own; this reduces
// the cost of traffic between regions. Among data centres that serve equally
// many sub-queries one is chosen at random. Sub-queries are left out if their
// batch would be too small to be worth the hop.
std::vector<PlannedBatch> PlanBatches(std::vector<RemoteSubQuery> remote,
                                      Random* random);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_BATCH_PLAN_H_
