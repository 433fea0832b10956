#include "dispatch/internal/weighted_split.h"

#include <algorithm>
#include <set>

namespace limpetrudder::detail {

std::size_t WeightedSplit::Next(const Route& route) {
  if (route.backends.size() == 1)
    return 0;
  auto& credits = credits_[route.name];
  if (credits.size() != route.backends.size())
    credits.assign(route.backends.size(), 0);
  std::int64_t total = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    const auto weight = static_cast<std::int64_t>(route.backends[i].weight);
    credits[i] += weight;
    total += weight;
  }
  const auto best = std::max_element(credits.begin(), credits.end());
  *best -= total;
  return static_cast<std::size_t>(best - credits.begin());
}

void WeightedSplit::RetainOnly(const RouteTable& table) {
  std::set<std::string> names;
  for (const Route& route : table.routes())
    names.insert(route.name);
  std::erase_if(credits_, [&names](const auto& entry) {
    return names.count(entry.first) == 0;
  });
}

}  // namespace limpetrudder::detail
