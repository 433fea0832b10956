#include "dispatch/internal/coordinator_set.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace limpetrudder::detail {
namespace {

// CPU time of one part on one full core, from sending its request to merging
// its answer.
constexpr double kPartCoreMillis = 0.06;

// CPU time of forwarding a query to a coordinator, at each end, on one full
// core.
constexpr double kHopCoreMillis = 0.15;

// Cost of a byte from another region or data centre, as a fraction of the
// latency target, where the whole target stands for the full value of a query.
// Derived from traffic prices: a query of 90 parts of 1,300 bytes loses a fifth
// of its value if all of them cross data centres, and over half if they cross
// regions.
constexpr double kOtherRegionByteCost = 4.5e-6;
constexpr double kSameRegionByteCost = 1.7e-6;

// The fraction of the bytes of remote parts that remains after an instance near
// their servers has merged them.
constexpr double kMergedShare = 0.1;

// A coordinator must be better than this instance by this fraction of the
// latency target, because each hop adds a process that can fail.
constexpr double kMinAdvantage = 0.05;

// Random spread of costs, so that coordinators of about the same cost share the
// work.
constexpr double kJitter = 0.15;

// Maximum requests of this instance in flight at one coordinator.
constexpr std::uint32_t kMaxInFlight = 24;

// A coordinator with requests in flight is pinged after a silence of
// kPingAfter, and given up if no answer comes within kPingTimeout plus the
// round trip. A small instance that reads a large configuration is busy for
// about 100 ms.
constexpr Duration kPingAfter = Millis(60);
constexpr Duration kPingTimeout = Millis(200);

// A coordinator that has been silent for this long gets no further requests
// until it responds.
constexpr Duration kSuspectAfter = Millis(110);

// A coordinator that hasn't been heard for longer than this may be gone.
constexpr Duration kHeardLately = Millis(500);

// A data centre is silent if at least this many of its instances are down and
// no other one has been heard lately.
constexpr int kMinDownInstances = 2;

// An instance that reaches too few servers isn't asked again for a time that
// doubles while it still doesn't.
constexpr Duration kMinLacksServersTime = Millis(500);
constexpr Duration kMaxLacksServersTime = Seconds(2);

// Cost of a call at an instance that stops, relative to another one: while few
// others are left, it takes its part.
constexpr double kStoppingCost = 2;

// How long an instance that refused a call is asked last.
constexpr Duration kRefusalTime = Millis(500);

// The interval between pings to a silent data centre doubles with each.
constexpr Duration kMinTrialInterval = Millis(300);
constexpr Duration kMaxTrialInterval = Millis(2400);

ServerEntry EntryOf(const InstanceEntry& instance) {
  ServerEntry entry;
  entry.id = instance.name;
  entry.address = instance.peer_address;
  entry.data_centre = instance.data_centre;
  entry.slots = kMaxInFlight;
  return entry;
}

}  // namespace

void CoordinatorSet::Update(const std::vector<InstanceEntry>& instances) {
  std::set<std::string> names;
  for (const auto& instance : instances) {
    if (instance.name == own_.name)
      continue;
    names.insert(instance.name);
    Coordinator& coordinator = coordinators_[instance.name];
    coordinator.instance = instance;
    if (coordinator.load)
      coordinator.load->Update(EntryOf(instance));
    else
      coordinator.load = std::make_shared<ServerLoad>(EntryOf(instance));
  }
  for (auto coordinator = coordinators_.begin();
       coordinator != coordinators_.end();) {
    if (names.count(coordinator->first) > 0) {
      ++coordinator;
      continue;
    }
    coordinator->second.load->MarkGone();
    coordinator = coordinators_.erase(coordinator);
  }
}

std::shared_ptr<ServerLoad> CoordinatorSet::Find(
    const std::string& name) const {
  const auto found = coordinators_.find(name);
  return found == coordinators_.end() ? nullptr : found->second.load;
}

const CoordinatorSet::Distances& CoordinatorSet::DistancesFrom(
    const std::string& data_centre,
    const Route& route,
    const RegionFilter& filter,
    ServerTable* servers) {
  const auto [cached, is_new] =
      distances_.try_emplace({data_centre, route.name}, Distances{});
  Distances& distances = cached->second;
  if (!is_new)
    return distances;
  for (const auto& shard : route.shards) {
    Distance nearest = Distance::kOtherRegion;
    for (const auto& server : servers->Group(shard)->servers) {
      if (server->usable() && filter.Allows(server->entry().data_centre)) {
        nearest = std::min(
            nearest,
            topology_->Between(data_centre, server->entry().data_centre));
      }
    }
    distances.other_region += nearest == Distance::kOtherRegion ? 1 : 0;
    distances.same_region += nearest == Distance::kSameRegion ? 1 : 0;
  }
  const auto shards = static_cast<double>(route.shards.size());
  distances.other_region /= shards;
  distances.same_region /= shards;
  return distances;
}

double CoordinatorSet::CoordinationMillis(const InstanceEntry& instance,
                                          const Route& route,
                                          const RegionFilter& filter,
                                          const PartSizes& sizes,
                                          ServerTable* servers) {
  const auto parts = static_cast<double>(route.shards.size());
  const Distances& distances =
      DistancesFrom(instance.data_centre, route, filter, servers);
  const double bytes = parts * sizes.bytes;
  const double link_millis = bytes * 8 / (instance.link_mbps * 1000);
  return parts * kPartCoreMillis / instance.cores + link_millis +
         ToMillis(route.latency_target) * bytes * kMergedShare *
             (distances.other_region * kOtherRegionByteCost +
              distances.same_region * kSameRegionByteCost);
}

std::shared_ptr<ServerLoad> CoordinatorSet::Choose(const Route& route,
                                                   const RegionFilter& filter,
                                                   const PartSizes& sizes,
                                                   ServerTable* servers,
                                                   Time now) {
  double min_cost = CoordinationMillis(own_, route, filter, sizes, servers) -
                    kMinAdvantage * ToMillis(route.latency_target);
  const std::set<std::string> silent = SilentDataCentres(now);
  std::shared_ptr<ServerLoad> best;
  for (const auto& [name, coordinator] : coordinators_) {
    const ServerLoad& load = *coordinator.load;
    if (!IsAvailable(load, now) || coordinator.instance.stopping ||
        !filter.Allows(coordinator.instance.data_centre) ||
        silent.count(coordinator.instance.data_centre) > 0) {
      continue;
    }
    const double hop =
        ToMillis(topology_->RoundTrip(coordinator.instance.data_centre)) +
        kHopCoreMillis / coordinator.instance.cores +
        kHopCoreMillis / own_.cores;
    const double coordination =
        CoordinationMillis(coordinator.instance, route, filter, sizes, servers);
    // NOTE Each request of this instance that is in flight at the coordinator
    // makes the next one wait for its CPU.
    const double queue = static_cast<double>(load.in_flight()) *
                         static_cast<double>(route.shards.size()) *
                         kPartCoreMillis / coordinator.instance.cores;
    const double cost =
        (hop + coordination + queue) * (1 + kJitter * random_->Unit()) +
        load.FailureRatio(now) * ToMillis(route.latency_target);
    if (cost < min_cost) {
      min_cost = cost;
      best = coordinator.load;
    }
  }
  return best;
}

bool CoordinatorSet::IsAvailable(const ServerLoad& load, Time now) {
  return load.usable() && load.in_flight() < kMaxInFlight &&
         load.SilentFor(now) <= kSuspectAfter;
}

std::shared_ptr<ServerLoad> CoordinatorSet::ChooseIn(
    const std::string& data_centre,
    std::size_t parts,
    const PartSizes& sizes,
    Time now) {
  if (SilentDataCentres(now).count(data_centre) > 0)
    return nullptr;
  double min_cost = std::numeric_limits<double>::max();
  std::shared_ptr<ServerLoad> best;
  for (const auto& [name, coordinator] : coordinators_) {
    if (coordinator.instance.data_centre != data_centre ||
        coordinator.instance.stopping || !IsAvailable(*coordinator.load, now))
      continue;
    const double count = static_cast<double>(parts);
    const double calls = 1 + coordinator.load->in_flight();
    const double cost =
        (calls * count * kPartCoreMillis / coordinator.instance.cores +
         count * sizes.bytes * 8 / (coordinator.instance.link_mbps * 1000)) *
        (1 + kJitter * random_->Unit()) *
        (1 + coordinator.load->FailureRatio(now));
    if (cost < min_cost) {
      min_cost = cost;
      best = coordinator.load;
    }
  }
  return best;
}

std::shared_ptr<ServerLoad> CoordinatorSet::ChooseSubstitute(
    const RegionFilter& filter,
    const std::vector<std::string>& avoided,
    const std::vector<std::string>& refused_by,
    Time now) {
  const auto contains = [](const std::vector<std::string>& names,
                           const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  const std::set<std::string> silent = SilentDataCentres(now);
  std::tuple min_cost{true, true, true, std::numeric_limits<double>::max()};
  std::shared_ptr<ServerLoad> best;
  for (const auto& [name, coordinator] : coordinators_) {
    const std::string& data_centre = coordinator.instance.data_centre;
    if (!coordinator.load->usable() ||
        coordinator.load->in_flight() >= kMaxInFlight ||
        !filter.Allows(data_centre) || silent.count(data_centre) > 0 ||
        now < coordinator.lacks_servers_until || contains(refused_by, name)) {
      continue;
    }
    // NOTE An instance that is silent may be busy only; it is given up soon if
    // it isn't.
    const bool is_silent = !IsAvailable(*coordinator.load, now);
    const bool is_avoided = contains(avoided, data_centre);
    const bool is_refusing = now < coordinator.refuses_until;
    const bool is_stopping = coordinator.instance.stopping;
    const double calls = 1 + coordinator.load->in_flight();
    const double millis =
        (ToMillis(topology_->RoundTrip(data_centre)) +
         calls * kHopCoreMillis / coordinator.instance.cores) *
        (1 + kJitter * random_->Unit()) *
        (1 + coordinator.load->FailureRatio(now));
    const std::tuple cost{is_silent, is_refusing, is_avoided,
                          is_stopping ? kStoppingCost * millis : millis};
    if (cost < min_cost) {
      min_cost = cost;
      best = coordinator.load;
    }
  }
  return best;
}

void CoordinatorSet::OnServersUnreachable(const std::string& name, Time now) {
  const auto found = coordinators_.find(name);
  if (found == coordinators_.end())
    return;
  Coordinator& coordinator = found->second;
  const bool is_first =
      now - coordinator.lacks_servers_until > kMaxLacksServersTime;
  coordinator.lacks_servers_for =
      is_first
          ? kMinLacksServersTime
          : std::min(2 * coordinator.lacks_servers_for, kMaxLacksServersTime);
  coordinator.lacks_servers_until = now + coordinator.lacks_servers_for;
}

void CoordinatorSet::OnRefused(const std::string& name, Time now) {
  const auto found = coordinators_.find(name);
  if (found != coordinators_.end())
    found->second.refuses_until = now + kRefusalTime;
}

bool CoordinatorSet::WasHeardLately(const ServerLoad& load, Time now) {
  return now - load.last_response() <= kHeardLately;
}

std::set<std::string> CoordinatorSet::SilentDataCentres(Time now) const {
  std::map<std::string, int> down;  // Instances, by data centre.
  for (const auto& [name, coordinator] : coordinators_) {
    if (coordinator.load->down() && !coordinator.instance.stopping)
      ++down[coordinator.instance.data_centre];
  }
  std::set<std::string> silent;
  for (const auto& [data_centre, count] : down) {
    if (count >= kMinDownInstances)
      silent.insert(data_centre);
  }
  if (silent.empty())
    return silent;
  for (const auto& [name, coordinator] : coordinators_) {
    if (!coordinator.load->down() && WasHeardLately(*coordinator.load, now))
      silent.erase(coordinator.instance.data_centre);
  }
  return silent;
}

bool CoordinatorSet::HasAvailable(const std::string& data_centre,
                                  Time now) const {
  if (SilentDataCentres(now).count(data_centre) > 0)
    return false;
  return std::any_of(coordinators_.begin(), coordinators_.end(),
                     [&](const auto& entry) {
                       const Coordinator& coordinator = entry.second;
                       return coordinator.instance.data_centre == data_centre &&
                              !coordinator.instance.stopping &&
                              IsAvailable(*coordinator.load, now);
                     });
}

std::vector<std::string> CoordinatorSet::NearestRemoteDataCentres(
    const ServerGroup& group,
    const RegionFilter& filter) const {
  std::vector<std::string> nearest;
  Distance min_distance = Distance::kOtherRegion;
  for (const auto& server : group.servers) {
    const std::string& data_centre = server->entry().data_centre;
    if (!server->usable() || !filter.Allows(data_centre))
      continue;
    const Distance distance = topology_->Between(own_.data_centre, data_centre);
    if (distance == Distance::kSameDataCentre)
      return {};
    if (distance < min_distance)
      nearest.clear();
    min_distance = std::min(min_distance, distance);
    const bool is_listed =
        std::find(nearest.begin(), nearest.end(), data_centre) != nearest.end();
    if (distance == min_distance && !is_listed)
      nearest.push_back(data_centre);
  }
  return nearest;
}

CoordinatorSet::HealthActions CoordinatorSet::CheckHealth(Time now,
                                                          Time* next) {
  HealthActions actions;
  for (auto& [name, coordinator] : coordinators_) {
    if (coordinator.load->in_flight() == 0 || coordinator.load->down()) {
      coordinator.ping_pending = false;
      continue;
    }
    const Duration silence = coordinator.load->SilentFor(now);
    if (silence < kPingAfter) {
      coordinator.ping_pending = false;
      *next = std::min(*next, now + kPingAfter - silence);
      continue;
    }
    if (!coordinator.ping_pending) {
      coordinator.ping_pending = true;
      coordinator.pinged_at = now;
      actions.pings.push_back(coordinator.load);
    }
    const Time ping_deadline =
        coordinator.pinged_at + kPingTimeout +
        topology_->RoundTrip(coordinator.instance.data_centre);
    if (now >= ping_deadline)
      actions.unresponsive.push_back(coordinator.load);
    else
      *next = std::min(*next, ping_deadline);
  }
  PingSilentDataCentres(now, &actions, next);
  return actions;
}

void CoordinatorSet::PingSilentDataCentres(Time now,
                                           HealthActions* actions,
                                           Time* next) {
  const std::set<std::string> silent = SilentDataCentres(now);
  std::erase_if(trials_, [&](const auto& trial) {
    if (silent.count(trial.first) > 0)
      return false;
    actions->heard_again.push_back(trial.first);
    return true;
  });
  for (const auto& data_centre : silent) {
    const auto [row, is_new] =
        trials_.try_emplace(data_centre, Trial{now, kMinTrialInterval});
    if (is_new)
      actions->silent.push_back(data_centre);
    Trial& trial = row->second;
    if (now >= trial.next) {
      trial.next = now + trial.interval;
      trial.interval = std::min(trial.interval * 2, kMaxTrialInterval);
      if (auto candidate = RandomUpIn(data_centre))
        actions->pings.push_back(std::move(candidate));
    }
    *next = std::min(*next, trial.next);
  }
}

std::shared_ptr<ServerLoad> CoordinatorSet::RandomUpIn(
    const std::string& data_centre) {
  std::vector<std::shared_ptr<ServerLoad>> up;
  for (const auto& [name, coordinator] : coordinators_) {
    if (coordinator.instance.data_centre == data_centre &&
        !coordinator.load->down()) {
      up.push_back(coordinator.load);
    }
  }
  return up.empty() ? nullptr : up[random_->Below(up.size())];
}

void CoordinatorSet::OnPing(const std::string& name, bool answered, Time now) {
  const auto found = coordinators_.find(name);
  if (found == coordinators_.end() || !answered)
    return;
  found->second.ping_pending = false;
  found->second.load->OnAlive(now);
}

}  // namespace limpetrudder::detail
