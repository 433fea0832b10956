#include "limits/wait_queue.h"

#include <algorithm>

namespace limpetrudder {

WaitTicket WaitQueue::Push(CallerClass caller_class,
                           Time deadline,
                           WaitingSubQuery item) {
  const WaitTicket ticket{caller_class, deadline, next_sequence_++};
  auto& queue = classes_[static_cast<std::size_t>(caller_class)];
  queue.emplace(Key{deadline, ticket.sequence}, item);
  ++size_;
  return ticket;
}

std::optional<WaitingSubQuery> WaitQueue::Pop() {
  if (empty())
    return std::nullopt;
  const auto has_entries = [](const ClassQueue& queue) {
    return !queue.empty();
  };
  ++pops_;
  if (pops_ % kLeastUrgentInterval == 0) {
    return PopFrom(
        &*std::find_if(classes_.rbegin(), classes_.rend(), has_entries));
  }
  return PopFrom(&*std::find_if(classes_.begin(), classes_.end(), has_entries));
}

WaitingSubQuery WaitQueue::PopFrom(ClassQueue* queue) {
  const WaitingSubQuery item = queue->begin()->second;
  queue->erase(queue->begin());
  --size_;
  return item;
}

void WaitQueue::Remove(const WaitTicket& ticket) {
  auto& queue = classes_[static_cast<std::size_t>(ticket.caller_class)];
  size_ -= queue.erase(Key{ticket.deadline, ticket.sequence});
}

std::size_t WaitQueue::AheadOf(CallerClass caller_class) const {
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(caller_class); ++i)
    ahead += classes_[i].size();
  return ahead;
}

}  // namespace limpetrudder
