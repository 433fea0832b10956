#include "dispatch/internal/batch_plan.h"

#include <algorithm>
#include <map>
#include <utility>

namespace limpetrudder::detail {
namespace {

// A batch costs a hop and two heads; asked for alone, each part brings its own
// head, and more records than are left of it after a merge.
constexpr std::size_t kFewestInBatch = 2;

// Returns the data centre that has a server of most of the parts.
std::string MostServed(const std::vector<FarLeg>& far, Random* random) {
  std::map<std::string, std::size_t> counts;
  for (const FarLeg& leg : far) {
    for (const auto& data_centre : leg.data_centres)
      ++counts[data_centre];
  }
  std::size_t most = 0;
  for (const auto& [data_centre, count] : counts)
    most = std::max(most, count);
  std::erase_if(counts, [most](const auto& row) { return row.second < most; });
  return std::next(counts.begin(),
                   static_cast<std::ptrdiff_t>(random->Below(counts.size())))
      ->first;
}

bool Serves(const std::string& data_centre, const FarLeg& leg) {
  return std::find(leg.data_centres.begin(), leg.data_centres.end(),
                   data_centre) != leg.data_centres.end();
}

}  // namespace

std::vector<PlannedBatch> PlanBatches(std::vector<FarLeg> far, Random* random) {
  std::vector<PlannedBatch> batches;
  std::erase_if(far,
                [](const FarLeg& leg) { return leg.data_centres.empty(); });
  while (!far.empty()) {
    PlannedBatch batch{MostServed(far, random), {}};
    std::erase_if(far, [&batch](const FarLeg& leg) {
      const bool serves = Serves(batch.data_centre, leg);
      if (serves)
        batch.legs.push_back(leg.leg);
      return serves;
    });
    if (batch.legs.size() < kFewestInBatch)
      break;
    batches.push_back(std::move(batch));
  }
  return batches;
}

}  // namespace limpetrudder::detail
