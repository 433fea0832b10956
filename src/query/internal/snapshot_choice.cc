#include "query/internal/snapshot_choice.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace limpetrudder::detail {
namespace {

struct VersionHolders {
  std::uint32_t shards = 0;   // Shards with at least one server that holds it.
  std::uint32_t servers = 0;  // Servers that hold it.
};

struct HolderCounts {
  std::map<std::uint64_t, VersionHolders> versions;
  std::uint32_t servers = 0;  // Servers in service whose versions are known.
};

bool IsInService(const ServerState& server, Time now) {
  return server.has_report() && server.MayTakeWork(now);
}

// Adds one shard and its servers to `counts`. Uses the snapshots reported from
// other data centres if no local server reported one.
void CountShard(const ShardPlan& plan,
                const ShardState& shard,
                Time now,
                HolderCounts* counts) {
  std::map<std::uint64_t, std::uint32_t> shard_versions;
  for (const auto& server : shard.servers) {
    if (!IsInService(*server, now))
      continue;
    ++counts->servers;
    for (const Snapshot& held : server->report().held) {
      if (held.map_epoch == plan.map_epoch)
        ++shard_versions[held.version];
    }
  }
  if (shard_versions.empty()) {
    for (const Snapshot& held : shard.remote_held) {
      if (held.map_epoch == plan.map_epoch)
        shard_versions.emplace(held.version, 0);
    }
  }
  for (const auto& [version, servers] : shard_versions) {
    ++counts->versions[version].shards;
    counts->versions[version].servers += servers;
  }
}

HolderCounts CountAll(const ShardPlan& plan, Time now) {
  HolderCounts counts;
  for (const auto& shard : plan.shards)
    CountShard(plan, *shard, now, &counts);
  return counts;
}

bool MayHaveAdvanced(const ShardState& shard, Snapshot snapshot, Time now) {
  return std::any_of(shard.servers.begin(), shard.servers.end(),
                     [&](const auto& server) {
                       return IsInService(*server, now) &&
                              server->MayHaveAdvancedTo(snapshot, now);
                     });
}

bool IsReported(const ShardState& shard, Snapshot snapshot, Time now) {
  const auto holds = [&](const std::vector<Snapshot>& held) {
    return std::find(held.begin(), held.end(), snapshot) != held.end();
  };
  return holds(shard.remote_held) ||
         std::any_of(shard.servers.begin(), shard.servers.end(),
                     [&](const auto& server) {
                       return IsInService(*server, now) &&
                              holds(server->report().held);
                     });
}

}  // namespace

std::uint64_t ChooseVersion(const ShardPlan& plan, Time now) {
  const HolderCounts counts = CountAll(plan, now);
  std::uint64_t best = 0;
  std::uint32_t best_shards = 0;
  bool best_held_by_all = false;
  for (const auto& [version, holders] : counts.versions) {
    const bool held_by_all = holders.shards == plan.shards.size() &&
                             holders.servers == counts.servers;
    if (best_held_by_all && !held_by_all)
      continue;
    if (held_by_all || holders.shards >= best_shards) {
      best = version;
      best_shards = holders.shards;
      best_held_by_all = held_by_all;
    }
  }
  return best;
}

VersionChoice ChooseAnotherVersion(const ShardPlan& plan,
                                   std::uint64_t failed,
                                   Time now) {
  const HolderCounts counts = CountAll(plan, now);
  std::tuple<std::uint32_t, std::uint32_t, std::uint64_t> best{0, 0, 0};
  for (const auto& [version, holders] : counts.versions) {
    if (version == failed)
      continue;
    const Snapshot snapshot{plan.map_epoch, version};
    std::uint32_t possible = 0;
    for (const auto& shard : plan.shards) {
      possible += IsReported(*shard, snapshot, now) ||
                          MayHaveAdvanced(*shard, snapshot, now)
                      ? 1
                      : 0;
    }
    best = std::max(best, std::tuple{possible, holders.shards, version});
  }
  return {std::get<2>(best), std::get<0>(best)};
}

}  // namespace limpetrudder::detail
