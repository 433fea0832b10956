#ifndef DISPATCH_INTERNAL_COORDINATOR_SET_H_
#define DISPATCH_INTERNAL_COORDINATOR_SET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "discovery/discovery_types.h"
#include "dispatch/internal/route_profiles.h"
#include "dispatch/internal/server_load.h"
#include "dispatch/internal/server_table.h"
#include "dispatch/internal/topology.h"
#include "framework/random.h"

namespace limpetrudder::detail {

// Decides which instance gathers the parts of a query: this one, or a home that
// is nearer to the servers or has more of a processor and a wider link, so that
// parts stay local and only the merged answer travels. Watches the homes that
// have work of this instance, so that one which froze or was cut off is given
// up within a fraction of a query's time. Answers the load of data centres
// without servers, and of fleets of small and large instances. Not thread safe.
class CoordinatorSet {
 public:
  CoordinatorSet(InstanceEntry own, const Topology* topology, Random* random)
      : own_(std::move(own)), topology_(topology), random_(random) {}

  // Takes the live instances, this one among them or not.
  void Update(const std::vector<InstanceEntry>& instances);

  // Servers changed: what is near to what is computed anew.
  void ClearDistances() { distances_.clear(); }

  // Returns the home that gathers `route`, or null if this instance does.
  std::shared_ptr<ServerLoad> Choose(const Route& route,
                                     const PartSizes& sizes,
                                     ServerTable* servers,
                                     Time now);

  // Returns the instance of `data_centre` that gathers `parts` parts there, or
  // null if none is fit.
  std::shared_ptr<ServerLoad> ChooseIn(const std::string& data_centre,
                                       std::size_t parts,
                                       const PartSizes& sizes,
                                       Time now);

  // Whether some instance of `data_centre` is fit to gather parts.
  bool HasAvailable(const std::string& data_centre, Time now) const;

  // Returns the data centres of the nearest servers of `group`; none if one is
  // in this data centre.
  std::vector<std::string> NearestRemoteDataCentres(
      const ServerGroup& group) const;

  std::shared_ptr<ServerLoad> Find(const std::string& name) const;

  // Homes to ping now, and homes that are given up. `next` is when to ask
  // again.
  struct HealthActions {
    std::vector<std::shared_ptr<ServerLoad>> pings;
    std::vector<std::shared_ptr<ServerLoad>> unresponsive;
  };
  HealthActions CheckHealth(Time now, Time* next);

  // A home answered a ping, or didn't in time.
  void OnPing(const std::string& name, bool answered, Time now);

 private:
  struct Coordinator {
    InstanceEntry instance;
    std::shared_ptr<ServerLoad> load;
    bool ping_pending = false;  // Without an answer so far.
    Time pinged_at{};
  };

  // How far the parts of a route are from a data centre, as ratios.
  struct Distances {
    double other_region = 0;
    double same_region = 0;
  };

  // Whether a home can take a request now.
  static bool IsAvailable(const ServerLoad& load, Time now);

  double CoordinationMillis(const InstanceEntry& instance,
                            const Route& route,
                            const PartSizes& sizes,
                            ServerTable* servers);
  const Distances& DistancesFrom(const std::string& data_centre,
                                 const Route& route,
                                 ServerTable* servers);

  const InstanceEntry own_;
  const Topology* const topology_;
  Random* const random_;
  std::map<std::string, Coordinator> coordinators_;
  std::map<std::pair<std::string, std::string>, Distances> distances_;
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_COORDINATOR_SET_H_
