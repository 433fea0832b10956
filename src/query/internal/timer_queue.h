#ifndef QUERY_INTERNAL_TIMER_QUEUE_H_
#define QUERY_INTERNAL_TIMER_QUEUE_H_

#include <cstdint>
#include <queue>
#include <vector>

#include "framework/time.h"

namespace limpetrudder::detail {

enum class TimerKind { kQueryEnd, kTailCut, kHedge, kSilence };

struct Timer {
  Time due{};
  TimerKind kind = TimerKind::kQueryEnd;
  std::uint64_t id = 0;  // A query id or an attempt id, depending on `kind`.
};

// Timers ordered by due time, and by insertion if due at the same time. Timers
// are never removed early: the caller of Take() must ignore a timer whose query
// or attempt no longer exists. Not thread safe.
class TimerQueue {
 public:
  void Add(Timer timer) { timers_.push({timer, next_sequence_++}); }

  Time next() const {
    return timers_.empty() ? kNever : timers_.top().timer.due;
  }

  // Removes and returns the first timer. Precondition: next() is not kNever.
  Timer Take() {
    const Timer timer = timers_.top().timer;
    timers_.pop();
    return timer;
  }

 private:
  struct Entry {
    Timer timer;
    std::uint64_t sequence = 0;

    bool operator<(const Entry& other) const {
      if (timer.due != other.timer.due)
        return timer.due > other.timer.due;
      return sequence > other.sequence;
    }
  };

  std::priority_queue<Entry> timers_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_TIMER_QUEUE_H_
