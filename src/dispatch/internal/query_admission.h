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

// How long the request for one part waited, as far as it is known.
struct PartDelay {
  Duration waited_here{0};  // For a connection of this instance.
  Duration took{0};         // From the send to the answer, the way left out.
  LoadReport load;          // Of the server, beside the answer.
  bool refused = false;     // It didn't run.
};

// Decides for whole queries, before anything is sent, whether their parts can
// be expected within the latency target. A query whose last part fails has used
// the slots of all others, so queries are taken or refused as a whole. Routes
// that share their shards are admitted together. Answers the load of arrivals
// beyond what servers can do. Not thread safe.
class QueryAdmission {
 public:
  // Forgets shards that no route names any more.
  void Keep(const RouteTable& table);

  // A server answered or refused a part of `route`.
  void OnPart(const Route& route, const PartDelay& delay, Time now);

  // An instance that gathered parts of `route` told its pressure.
  void OnPressure(const Route& route,
                  double pressure,
                  std::size_t parts,
                  Time now);

  // Whether a query of `route` is taken.
  bool Admit(const Route& route, Time now);

  // The queue delay at the servers against the time to spare.
  double PressureOf(const Route& route, Time now) const;

  // Whether most servers have queues that make parts late.
  bool IsCrowded(const Route& route, Time now) const {
    return PressureOf(route, now) > AdmissionRate::kPressureSetpoint;
  }

  // Returns the shard sets whose queries came to be limited or ceased to be.
  std::vector<AdmissionBelief> TakeChanges(Time now);

  // Returns when a caller that was refused may come back: all queries are taken
  // by then if no more arrive than can be served. Spread, so that callers don't
  // return together.
  Duration ReturnTime(const Route& route, Random* random) const;

 private:
  struct ShardSet {
    AdmissionRate rate;
    Duration work{0};  // Of one part on an idle server; 0: not known yet.
    std::uint32_t most_urgent = 0;
    bool limited = false;  // As told by TakeChanges().
  };

  ShardSet* Find(const Route& route);
  const ShardSet* Find(const Route& route) const;

  std::unordered_map<std::string, ShardSet> sets_;  // By the first shard.
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_QUERY_ADMISSION_H_
