#ifndef DISPATCH_INTERNAL_BATCH_PLAN_H_
#define DISPATCH_INTERNAL_BATCH_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

#include "framework/random.h"

namespace limpetrudder::detail {

// A part of a query whose servers are all elsewhere.
struct RemoteSubQuery {
  std::size_t sub_query = 0;
  std::vector<std::string> data_centres;  // The nearest ones with a server.
};

// Parts that are asked for together, of an instance in their data centre.
struct PlannedBatch {
  std::string data_centre;
  std::vector<std::size_t> sub_queries;
};

// Puts far parts into as few batches as their data centres allow: each batch
// crosses once, merged, where a part alone brings all its records and a head of
// its own. Data centres that serve as well take turns at random. Parts that
// would make a batch too small to be worth a hop are left out. Answers the cost
// of bytes between regions.
std::vector<PlannedBatch> PlanBatches(std::vector<RemoteSubQuery> remote,
                                      Random* random);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_BATCH_PLAN_H_
