#include "query/internal/decision_trail.h"

namespace limpetrudder::detail {
namespace {

constexpr std::size_t kMaxTrails = 512;

}  // namespace

void TrailArchive::Keep(const std::string& request_id,
                        std::vector<Decision> decisions) {
  entries_.push_back({request_id, std::move(decisions)});
  if (entries_.size() > kMaxTrails)
    entries_.pop_front();
}

const std::vector<Decision>* TrailArchive::Find(
    std::string_view request_id) const {
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (entry->request_id == request_id)
      return &entry->decisions;
  }
  return nullptr;
}

}  // namespace limpetrudder::detail
