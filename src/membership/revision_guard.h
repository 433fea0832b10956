#ifndef MEMBERSHIP_REVISION_GUARD_H_
#define MEMBERSHIP_REVISION_GUARD_H_

#include "framework/time.h"

namespace limpetrudder {

// Detects that the process was frozen and holds back new work until a peer has
// confirmed that this instance's revision of the configuration is the latest.
// If no peer responds, as in a data centre that is cut off, new work is allowed
// again after kMaxCheckTime. Not thread safe.
class RevisionGuard {
 public:
  // Call it before each piece of new work, and at least every kMaxTickInterval.
  // Returns true if it detects a freeze.
  bool OnTick(Time now);

  // A peer confirmed the revision in the response to a request that was sent at
  // `requested_at`.
  void OnConfirmed(Time requested_at);

  bool MayTakeWork(Time now) const;

  static constexpr Duration kMaxTickInterval = Seconds(1);
  static constexpr Duration kFreezeThreshold = Seconds(3);
  static constexpr Duration kMaxCheckTime = Seconds(2);

 private:
  Time last_turn_{};
  Time resumed_at_{};
  bool started_ = false;
  bool checking_ = false;
};

}  // namespace limpetrudder

#endif  // MEMBERSHIP_REVISION_GUARD_H_
