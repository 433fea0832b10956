#include "dispatch/internal/route_profiles.h"

#include <algorithm>
#include <set>

namespace limpetrudder::detail {
namespace {

// Assumed work times of a route without samples: its latency target divided by
// these. Operators set targets at several times the usual work time.
constexpr int kDefaultMedianDivisor = 8;
constexpr int kDefaultHighDivisor = 4;

// The high work time is at most this many medians, so that a few slow servers
// don't change what counts as usual.
constexpr int kMaxHighToMedian = 3;

// Size of the headers of an answer and of its request, which uses the same
// link.
constexpr double kHeaderBytes = 350;

// Weight of one sample in the moving average of sizes.
constexpr double kSizeWeight = 0.02;

constexpr double kHighQuantile = 0.95;
constexpr double kMedianQuantile = 0.5;

}  // namespace

RouteProfiles::Profile& RouteProfiles::ProfileOf(const Route& route) {
  auto [profile, is_new] = profiles_.try_emplace(route.name);
  if (is_new)
    UpdateTimes(route, &profile->second);
  return profile->second;
}

void RouteProfiles::UpdateTimes(const Route& route, Profile* profile) {
  profile->new_samples = 0;
  profile->times.median = profile->window.Quantile(
      kMedianQuantile, route.latency_target / kDefaultMedianDivisor);
  const Duration median = profile->times.median;
  profile->times.high =
      std::clamp(profile->window.Quantile(
                     kHighQuantile, route.latency_target / kDefaultHighDivisor),
                 median, median * kMaxHighToMedian);
}

const WorkTimes& RouteProfiles::TimesOf(const Route& route) {
  return ProfileOf(route).times;
}

void RouteProfiles::Record(const Route& route,
                           Duration work,
                           std::size_t body_bytes) {
  Profile& profile = ProfileOf(route);
  const double bytes = static_cast<double>(body_bytes) + kHeaderBytes;
  profile.sizes.bytes += kSizeWeight * (bytes - profile.sizes.bytes);
  profile.window.Record(std::max(work, Duration(0)));
  if (++profile.new_samples >= kUpdateInterval)
    UpdateTimes(route, &profile);
}

void RouteProfiles::RetainOnly(const RouteTable& table) {
  std::set<std::string> names;
  for (const Route& route : table.routes())
    names.insert(route.name);
  std::erase_if(profiles_, [&names](const auto& entry) {
    return names.count(entry.first) == 0;
  });
}

}  // namespace limpetrudder::detail
