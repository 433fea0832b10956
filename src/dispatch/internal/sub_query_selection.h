#ifndef DISPATCH_INTERNAL_SUB_QUERY_SELECTION_H_
#define DISPATCH_INTERNAL_SUB_QUERY_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "dispatch/internal/active_call.h"
#include "dispatch/internal/server_table.h"
#include "framework/result_code.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// A part that is not asked for, and why.
struct OmittedSubQuery {
  std::size_t sub_query = 0;
  ResultCode reason = ResultCode::kOk;
};

// A part that is asked of a server that answers late, and has room.
struct ReservedSubQuery {
  std::size_t sub_query = 0;
  std::shared_ptr<ServerLoad> server;
};

struct SubQuerySelection {
  std::vector<OmittedSubQuery> omitted;
  std::vector<ReservedSubQuery> reserved;
};

// Whether all servers of a shard that take work answer late.
bool IsLate(const ServerGroup& group, Time now);

// Decides before anything is sent which parts a query does without: those that
// no server takes, and those of shards whose servers all answer late, as far as
// they have no room. If it needs some of the late ones it asks those with most
// room and leaves the rest to others. What is left may be too little for an
// answer, so the query is refused without a send.
// Answers the load of a few shards that are short of servers, where every query
// would queue at each of them though the coverage floor spares some.
//
// `groups` are the query's shards; `fewest` of them make an answer; `target` is
// the time left. Sends to reserved servers are counted as made.
SubQuerySelection SelectSubQueries(const std::vector<ServerGroup*>& groups,
                                   std::uint32_t min_parts,
                                   Duration target,
                                   Time now);

// Returns the parts of a call that wait at shards whose servers all answer late
// and that its answer can do without. Which ones they are differs from call to
// call, so that the others share the shards evenly.
std::vector<std::size_t> OptionalSubQueries(const ActiveCall& call, Time now);

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SUB_QUERY_SELECTION_H_
