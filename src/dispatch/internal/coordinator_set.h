#ifndef DISPATCH_INTERNAL_COORDINATOR_SET_H_
#define DISPATCH_INTERNAL_COORDINATOR_SET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "discovery/discovery_types.h"
#include "dispatch/internal/region_filter.h"
#include "dispatch/internal/route_profiles.h"
#include "dispatch/internal/server_load.h"
#include "dispatch/internal/server_table.h"
#include "dispatch/internal/topology.h"
#include "framework/random.h"

namespace limpetrudder::detail {

// Selects the coordinator of a query, the instance that fans out to the shards
// and merges their parts: this instance, or another one that is nearer to the
// servers or has more CPU and link capacity. Parts then stay local and only the
// merged answer crosses the network. Applies when a data centre has no servers,
// and in fleets of small and large instances.
//
// Monitors the coordinators that have requests of this instance in flight, so
// that one that froze or became unreachable is given up within a fraction of a
// query's time.
//
// Instances of one data centre that fall silent together are taken as the loss
// of all of it: otherwise each of them would cost a query. One of its other
// instances is then pinged at growing intervals, and a single answer from there
// ends the belief. Not thread safe.
class CoordinatorSet {
 public:
  CoordinatorSet(InstanceEntry own, const Topology* topology, Random* random)
      : own_(std::move(own)), topology_(topology), random_(random) {}

  // Replaces the known instances by the live ones. `instances` may include this
  // instance.
  void Update(const std::vector<InstanceEntry>& instances);

  // Discards the cached distances. To be called when servers or routes change,
  // and when a server becomes usable or ceases to be.
  void ClearDistances() { distances_.clear(); }

  // Returns the coordinator for a query of `route`, or null if this instance
  // is to coordinate it.
  // Precondition: `filter` is of `route`.
  std::shared_ptr<ServerLoad> Choose(const Route& route,
                                     const RegionFilter& filter,
                                     const PartSizes& sizes,
                                     ServerTable* servers,
                                     Time now);

  // Returns the coordinator for a batch of `parts` sub-queries in
  // `data_centre`, or null if no instance there is available.
  std::shared_ptr<ServerLoad> ChooseIn(const std::string& data_centre,
                                       std::size_t parts,
                                       const PartSizes& sizes,
                                       Time now);

  // Returns an instance that may serve a call for which this one reaches too
  // few servers, or null. It is in none of the data centres `avoided`, whose
  // instances may have lost the servers as well, unless only these are left,
  // and none of the instances `refused_by`.
  std::shared_ptr<ServerLoad> ChooseSubstitute(
      const RegionFilter& filter,
      const std::vector<std::string>& avoided,
      const std::vector<std::string>& refused_by,
      Time now);

  // The instance refused a call since it reaches too few servers itself. It is
  // no substitute for a while, though it is alive.
  void OnServersUnreachable(const std::string& name, Time now);

  // The instance refused a call for another reason, for instance since it stops
  // before the call's timeout ends. It is asked last for a while.
  void OnRefused(const std::string& name, Time now);

  // Whether the coordinator has responded to anything lately. Any other one may
  // be gone.
  static bool WasHeardLately(const ServerLoad& load, Time now);

  // Whether any instance of `data_centre` can coordinate a batch now.
  bool HasAvailable(const std::string& data_centre, Time now) const;

  // Returns the data centres of the nearest usable servers of `group` that
  // `filter` allows; empty if any of them is in this data centre.
  std::vector<std::string> NearestRemoteDataCentres(
      const ServerGroup& group,
      const RegionFilter& filter) const;

  std::shared_ptr<ServerLoad> Find(const std::string& name) const;

  // What CheckHealth() wants done: coordinators to ping, coordinators that
  // answered no ping in time and are given up, and data centres to report that
  // became silent or have been heard again.
  struct HealthActions {
    std::vector<std::shared_ptr<ServerLoad>> pings;
    std::vector<std::shared_ptr<ServerLoad>> unresponsive;
    std::vector<std::string> silent;
    std::vector<std::string> heard_again;
  };
  // Lowers `*next` to the time of the next check, if that is earlier.
  HealthActions CheckHealth(Time now, Time* next);

  // Records whether the coordinator answered a ping in time.
  void OnPing(const std::string& name, bool answered, Time now);

 private:
  struct Coordinator {
    InstanceEntry instance;
    std::shared_ptr<ServerLoad> load;
    bool ping_pending = false;
    Time pinged_at{};
    Time lacks_servers_until{};
    Duration lacks_servers_for{0};
    Time refuses_until{};
  };

  // The share of a route's shards whose nearest usable server is in another
  // region, or in another data centre of the same region, as seen from one data
  // centre. From 0 to 1.
  struct Distances {
    double other_region = 0;
    double same_region = 0;
  };

  // The next ping to a data centre that is silent.
  struct Trial {
    Time next{};
    Duration interval{0};
  };

  // Returns the data centres of which several instances are down and none of
  // the others has been heard lately.
  std::set<std::string> SilentDataCentres(Time now) const;

  // Adds pings of one instance of each silent data centre to `actions`.
  void PingSilentDataCentres(Time now, HealthActions* actions, Time* next);

  // Returns any instance of `data_centre` that isn't down, or null.
  std::shared_ptr<ServerLoad> RandomUpIn(const std::string& data_centre);

  // Whether a coordinator can take a request now.
  static bool IsAvailable(const ServerLoad& load, Time now);

  // Returns the cost in milliseconds of coordinating a query of `route` at
  // `instance`: CPU time, link time, and the traffic to remote shards.
  double CoordinationMillis(const InstanceEntry& instance,
                            const Route& route,
                            const RegionFilter& filter,
                            const PartSizes& sizes,
                            ServerTable* servers);
  // Returns the cached distances, computed on first use.
  const Distances& DistancesFrom(const std::string& data_centre,
                                 const Route& route,
                                 const RegionFilter& filter,
                                 ServerTable* servers);

  const InstanceEntry own_;
  const Topology* const topology_;
  Random* const random_;
  std::map<std::string, Coordinator> coordinators_;  // By instance name.
  std::map<std::string, Trial> trials_;              // By data centre.
  // By data centre and route name.
  std::map<std::pair<std::string, std::string>, Distances> distances_;
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_COORDINATOR_SET_H_
