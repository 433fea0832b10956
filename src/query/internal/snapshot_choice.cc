#include "query/internal/snapshot_choice.h"

#include <algorithm>
#include <map>

namespace limpetrudder::detail {
namespace {

struct VersionSupport {
  std::uint32_t shards = 0;   // Shards with at least one server that holds it.
  std::uint32_t servers = 0;  // Servers that hold it.
};

struct Support {
  std::map<std::uint64_t, VersionSupport> versions;
  std::uint32_t servers = 0;  // Servers in service whose versions are known.
};

// Adds one shard's servers to the count.
void Count(const ShardPlan& plan,
           const ShardState& shard,
           Time now,
           Support* support) {
  std::map<std::uint64_t, std::uint32_t> here;
  for (const auto& server : shard.servers) {
    if (!server->has_report() || !server->MayTakeWork(now))
      continue;
    ++support->servers;
    for (const Snapshot& held : server->report().held) {
      if (held.map_epoch == plan.map_epoch)
        ++here[held.version];
    }
  }
  if (here.empty()) {
    for (const Snapshot& held : shard.remote_held) {
      if (held.map_epoch == plan.map_epoch)
        here.emplace(held.version, 0);
    }
  }
  for (const auto& [version, servers] : here) {
    ++support->versions[version].shards;
    support->versions[version].servers += servers;
  }
}

}  // namespace

std::uint64_t ChooseVersion(const ShardPlan& plan, Time now) {
  Support support;
  for (const auto& shard : plan.shards)
    Count(plan, *shard, now, &support);
  std::uint64_t best = 0;
  std::uint32_t best_shards = 0;
  bool best_everywhere = false;
  for (const auto& [version, found] : support.versions) {
    const bool everywhere =
        found.shards == plan.shards.size() && found.servers == support.servers;
    if (best_everywhere && !everywhere)
      continue;
    if (everywhere || found.shards >= best_shards) {
      best = version;
      best_shards = found.shards;
      best_everywhere = everywhere;
    }
  }
  return best;
}

}  // namespace limpetrudder::detail
