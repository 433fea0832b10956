#ifndef MEMBERSHIP_INTERNAL_UPDATE_QUEUE_H_
#define MEMBERSHIP_INTERNAL_UPDATE_QUEUE_H_

#include <cstddef>
#include <list>
#include <vector>

#include "membership/membership_types.h"

namespace limpetrudder::detail {

// Updates that are piggybacked on messages. Each is sent a number of times that
// grows with the logarithm of the number of members, the least sent first. Not
// thread safe.
class UpdateQueue {
 public:
  // Queues `update` and drops older updates about the same instance.
  void Push(const MemberUpdate& update);

  // Returns up to `count` updates to send to one of `members` instances.
  std::vector<MemberUpdate> Take(std::size_t count, std::size_t members);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    MemberUpdate update;
    std::size_t sent = 0;
  };
  std::list<Entry> entries_;  // In the order of `sent`.
};

}  // namespace limpetrudder::detail

#endif  // MEMBERSHIP_INTERNAL_UPDATE_QUEUE_H_
