#include "dispatch/internal/rate_limit_share.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string_view>
#include <tuple>

#include "framework/hash.h"

namespace limpetrudder::detail {
namespace {

constexpr double kSenderFraction = 0.9;

// Trials per second of all instances that aren't senders, besides a fraction of
// the limit. The constant keeps trials going at a server that accepts nothing.
constexpr double kTrialFraction = 0.1;
constexpr double kMinTrialsPerSecond = 0.2;

constexpr Duration kMinTrialInterval = Millis(1);

// At a limit below this nobody may be a whole request ahead, so all requests
// are trials.
constexpr double kMinLimit = 1;

// A sender may be a whole request ahead of its rate, so there are only so many
// of them beyond one for each request per second.
constexpr double kExtraSenders = 2;

// Instances that share the rate if this one doesn't know them yet.
constexpr double kAssumedInstances = 8;

struct Rank {
  Distance distance = Distance::kSameDataCentre;
  double cores = 0;
  std::uint64_t hash = 0;
  std::string_view name;

  auto Order() const { return std::make_tuple(distance, -cores, hash, name); }
  bool IsPeerOf(const Rank& other) const {
    return distance == other.distance && cores == other.cores;
  }
};

// Any instance may send to a server of a service without shards, so distance
// and size don't count there.
Rank RankOf(const ServerEntry& server,
            bool is_shard,
            const InstanceEntry& instance,
            const Topology& topology) {
  Rank rank;
  if (is_shard) {
    rank.distance = topology.Between(server.data_centre, instance.data_centre);
    rank.cores = instance.cores;
  }
  rank.hash = Hash64(instance.name, Hash64(server.id));
  rank.name = instance.name;
  return rank;
}

}  // namespace

RateLimitShare ShareRateLimit(const ServerEntry& server,
                              bool is_shard,
                              double limit,
                              const std::string& own_name,
                              const std::vector<InstanceEntry>& instances,
                              const Topology& topology) {
  std::vector<Rank> ranks;
  ranks.reserve(instances.size());
  for (const InstanceEntry& instance : instances)
    ranks.push_back(RankOf(server, is_shard, instance, topology));
  const auto own = std::find_if(
      ranks.begin(), ranks.end(),
      [&own_name](const Rank& rank) { return rank.name == own_name; });
  if (own == ranks.end())
    return {true, limit * kSenderFraction / kAssumedInstances, {}, 0};
  const Rank own_rank = *own;
  const auto by_order = [](const Rank& a, const Rank& b) {
    return a.Order() < b.Order();
  };
  const Rank first = *std::min_element(ranks.begin(), ranks.end(), by_order);
  const auto peers = static_cast<double>(std::count_if(
      ranks.begin(), ranks.end(),
      [&first](const Rank& rank) { return rank.IsPeerOf(first); }));
  const auto ahead = static_cast<double>(std::count_if(
      ranks.begin(), ranks.end(),
      [&](const Rank& rank) { return by_order(rank, own_rank); }));
  const double senders = std::min(peers, limit + kExtraSenders);
  const auto sender_count = limit < kMinLimit ? 0 : std::floor(senders);
  if (ahead < sender_count)
    return {true, limit * kSenderFraction / sender_count, {}, 0};
  const double others = static_cast<double>(ranks.size()) - sender_count;
  const double trials = limit * kTrialFraction + kMinTrialsPerSecond;
  RateLimitShare share;
  share.trial_interval =
      std::max(kMinTrialInterval, Scaled(Seconds(1), others / trials));
  share.trial_phase = (ahead - sender_count) / others;
  return share;
}

}  // namespace limpetrudder::detail
