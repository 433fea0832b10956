#include "membership/internal/update_queue.h"

#include <algorithm>
#include <bit>

namespace limpetrudder::detail {
namespace {

constexpr std::size_t kSendsPerDoubling = 3;

}  // namespace

void UpdateQueue::Push(const MemberUpdate& update) {
  entries_.remove_if(
      [&](const Entry& entry) { return entry.update.name == update.name; });
  entries_.push_front({update, 0});
}

std::vector<MemberUpdate> UpdateQueue::Take(std::size_t count,
                                            std::size_t members) {
  const std::size_t max_sends =
      kSendsPerDoubling * static_cast<std::size_t>(std::bit_width(members + 1));
  std::vector<MemberUpdate> taken;
  std::list<Entry> sent;
  while (taken.size() < count && !entries_.empty()) {
    taken.push_back(entries_.front().update);
    ++entries_.front().sent;
    sent.splice(sent.end(), entries_, entries_.begin());
  }
  for (auto entry = sent.begin(); entry != sent.end();) {
    const auto current = entry++;
    if (current->sent >= max_sends)
      continue;
    const auto place = std::find_if(
        entries_.begin(), entries_.end(),
        [&](const Entry& other) { return other.sent > current->sent; });
    entries_.splice(place, sent, current);
  }
  return taken;
}

}  // namespace limpetrudder::detail
