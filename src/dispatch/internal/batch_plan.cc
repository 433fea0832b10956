#include "dispatch/internal/batch_plan.h"

#include <algorithm>
#include <map>
#include <utility>

namespace limpetrudder::detail {
namespace {

// A batch costs a hop and two message heads. A part that is fetched alone costs
// its own head and more records than are left of it after a merge.
constexpr std::size_t kMinBatchSize = 2;

// Returns the data centre with servers for the most sub-queries; a random one
// if several have as many.
std::string BestDataCentre(const std::vector<RemoteSubQuery>& remote,
                           Random* random) {
  std::map<std::string, std::size_t> counts;
  for (const RemoteSubQuery& sub_query : remote) {
    for (const auto& data_centre : sub_query.data_centres)
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

bool Serves(const std::string& data_centre, const RemoteSubQuery& sub_query) {
  return std::find(sub_query.data_centres.begin(), sub_query.data_centres.end(),
                   data_centre) != sub_query.data_centres.end();
}

}  // namespace

std::vector<PlannedBatch> PlanBatches(std::vector<RemoteSubQuery> remote,
                                      Random* random) {
  std::vector<PlannedBatch> batches;
  std::erase_if(remote, [](const RemoteSubQuery& sub_query) {
    return sub_query.data_centres.empty();
  });
  while (!remote.empty()) {
    PlannedBatch batch{BestDataCentre(remote, random), {}};
    std::erase_if(remote, [&batch](const RemoteSubQuery& sub_query) {
      const bool serves = Serves(batch.data_centre, sub_query);
      if (serves)
        batch.sub_queries.push_back(sub_query.sub_query);
      return serves;
    });
    if (batch.sub_queries.size() < kMinBatchSize)
      break;
    batches.push_back(std::move(batch));
  }
  return batches;
}

}  // namespace limpetrudder::detail
