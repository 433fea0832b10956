#ifndef DISPATCH_INTERNAL_SUB_QUERY_SELECTION_H_
#define DISPATCH_INTERNAL_SUB_QUERY_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "dispatch/internal/active_call.h"
#include "dispatch/internal/region_filter.h"
#include "dispatch/internal/server_table.h"
#include "framework/result_code.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// A sub-query that isn't sent, and the reason.
struct OmittedSubQuery {
  std::size_t sub_query = 0;
  ResultCode reason = ResultCode::kOk;
};

// A sub-query to a shard that answers late, and the server selected for it.
struct ReservedSubQuery {
  std::size_t sub_query = 0;
  std::shared_ptr<ServerLoad> server;
};

struct SubQuerySelection {
  std::vector<OmittedSubQuery> omitted;
  std::vector<ReservedSubQuery> reserved;
};

// Whether all usable servers of a shard that `filter` allows answer late, so
// that they are paced.
bool IsLate(const ServerGroup& group, const RegionFilter& filter, Time now);

// Selects the sub-queries of a query before anything is sent. Omits those to
// shards without a server that accepts requests, and those to late shards whose
// servers have no room. If the answer needs some of the late shards, takes
// those with the most room and leaves the others to other queries. What is left
// may not suffice for an answer, in which case the query is refused without an
// attempt.
//
// Applies when a few shards are short of servers: without it every query would
// queue at each of them, although the coverage floor lets an answer lack some.
//
// `groups` are the query's shards, `min_parts` of which make an answer;
// `filter` tells which of their servers the query may use; `target` is the time
// left until the latency target. Attempts at reserved servers are recorded in
// their pacers as sent.
SubQuerySelection SelectSubQueries(const std::vector<ServerGroup*>& groups,
                                   const RegionFilter& filter,
                                   std::uint32_t min_parts,
                                   Duration target,
                                   Time now);

// Returns the open sub-queries of a call that its answer can do without, among
// those to late shards. The choice differs from call to call, so that the calls
// spread evenly over these shards.
std::vector<std::size_t> OptionalSubQueries(const ActiveCall& call, Time now);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SUB_QUERY_SELECTION_H_
