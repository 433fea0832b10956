#include "query/internal/decision_log.h"

namespace limpetrudder::detail {
namespace {

constexpr std::size_t kMaxArchivedRequests = 512;

}  // namespace

void DecisionArchive::Add(const std::string& request_id,
                          std::vector<Decision> decisions) {
  entries_.push_back({request_id, std::move(decisions)});
  if (entries_.size() > kMaxArchivedRequests)
    entries_.pop_front();
}

const std::vector<Decision>* DecisionArchive::Find(
    std::string_view request_id) const {
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (entry->request_id == request_id)
      return &entry->decisions;
  }
  return nullptr;
}

}  // namespace limpetrudder::detail
