#ifndef DISPATCH_INTERNAL_QUERY_ADMISSION_H_
#define DISPATCH_INTERNAL_QUERY_ADMISSION_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/dispatch_types.h"
#include "framework/random.h"
#include "framework/time.h"
#include "limits/admission_rate.h"
#include "routing/route_table.h"

namespace limpetrudder::detail {

// The delays of one sub-query, as far as they are known.
struct PartDelay {
  Duration local_wait{0};   // In this instance's queue for a connection.
  Duration server_time{0};  // From request to answer, without network time.
  LoadReport load;          // Reported by the server with its answer.
  bool refused = false;     // The server didn't run the request.
};

// Admission control for queries: decides before anything is sent whether all
// parts of a query can be expected within the latency target. Queries are
// admitted or refused as a whole, since a query that fails by its last part has
// used the slots of all others for nothing. Routes over the same shards are
// admitted together. Applies when more queries arrive than the servers can
// handle. Not thread safe.
class QueryAdmission {
 public:
  // Removes the state of shard sets that no route of `table` uses.
  void RetainOnly(const RouteTable& table);

  // Records that a server answered or refused a sub-query of `route`.
  void OnPart(const Route& route, const PartDelay& delay, Time now);

  // Records the queue pressure that a coordinator reported with `parts` parts
  // of `route`.
  void OnPressure(const Route& route,
                  double pressure,
                  std::size_t parts,
                  Time now);

  // Records that a query of `route` which was admitted here was served in time.
  void OnServed(const Route& route, Time now);

  // Whether to admit a query of `route` with this priority.
  bool Admit(const Route& route, std::uint32_t priority, Time now);

  // Returns the queue delay at the route's servers divided by a query's slack
  // time.
  double PressureOf(const Route& route, Time now) const;

  // Whether the queues at most servers are so long that parts are late.
  bool IsOverloaded(const Route& route, Time now) const {
    return PressureOf(route, now) > AdmissionRate::kPressureSetpoint;
  }

  // Whether queues are forming. Requests that can be left out only add to them,
  // so this is true before queries are refused.
  bool AreQueuesForming(const Route& route, Time now) const {
    return PressureOf(route, now) > AdmissionRate::kPressureSetpoint / 2;
  }

  // Returns the shard sets for which limiting has begun or ended since the last
  // call.
  std::vector<AdmissionChange> TakeChanges(Time now);

  // Returns how long a refused caller should wait before it retries. All
  // queries are admitted by then if no more arrive than can be served. The
  // delays are spread, so that callers don't retry together.
  Duration RetryAfter(const Route& route, Random* random) const;

 private:
  struct ShardSet {
    AdmissionRate rate;
    Duration work{0};  // Of one part on an idle server; 0: still unknown.
    // The lowest number that a query of its routes may have.
    std::uint32_t highest_priority = 0;
    bool limited = false;  // As last returned by TakeChanges().
  };

  ShardSet* Find(const Route& route);
  const ShardSet* Find(const Route& route) const;

  std::unordered_map<std::string, ShardSet> sets_;  // Keyed by the first shard.
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_QUERY_ADMISSION_H_
