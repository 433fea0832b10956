#ifndef MEMBERSHIP_REVISION_GUARD_H_
#define MEMBERSHIP_REVISION_GUARD_H_

#include "framework/time.h"

namespace limpetrudder {

// Notices that the instance was frozen and holds back new work until a peer has
// confirmed that the revision in force here is the latest, or until no peer
// answers, as in a data centre that is cut off. Not thread safe.
class RevisionGuard {
 public:
  // Call before each piece of new work, and at least every kLongestTurn.
  // Returns true if a freeze was noticed now.
  bool OnTurn(Time now);

  // A peer confirmed the revision in an answer to a question asked at `asked`.
  void OnConfirmed(Time asked);

  bool MayTakeWork(Time now) const;

  static constexpr Duration kLongestTurn = Seconds(1);
  static constexpr Duration kFreeze = Seconds(3);
  static constexpr Duration kLongestCheck = Seconds(2);

 private:
  Time last_turn_{};
  Time thawed_at_{};
  bool started_ = false;
  bool checking_ = false;
};

}  // namespace limpetrudder

#endif  // MEMBERSHIP_REVISION_GUARD_H_
