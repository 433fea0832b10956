#include "dispatch/internal/route_profiles.h"

#include <algorithm>
#include <set>

namespace limpetrudder::detail {
namespace {

// What a route that says nothing yet is taken to need, as parts of its latency
// target: operators set targets at several times the usual work.
constexpr int kDefaultMedianDivisor = 8;
constexpr int kDefaultHighDivisor = 4;

// Slow servers among the pool don't stretch what counts as usual beyond this
// many medians.
constexpr int kMaxHighToMedian = 3;

// Head of an answer, and of its request, which shares the link.
constexpr double kHeaderBytes = 350;
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
