#ifndef MEMBERSHIP_REVISION_GUARD_H_
#define MEMBERSHIP_REVISION_GUARD_H_

#include <cstdint>

#include "framework/time.h"

namespace limpetrudder {

// Notices that the instance was frozen and holds back new work until a peer has
// said which revision is in force, or until no peer answers, as in a data
// centre that is cut off. Not thread safe.
class RevisionGuard {
 public:
  // Call at least every kLongestTurn. Returns true if a freeze was noticed now.
  bool OnTurn(Time now);

  // A peer said that `peer_revision` is in force there, while `own_revision` is
  // in force here.
  void OnPeerRevision(std::uint64_t peer_revision,
                      std::uint64_t own_revision);

  bool MayTakeWork(Time now) const;

  static constexpr Duration kLongestTurn = Seconds(1);
  static constexpr Duration kFreeze = Seconds(3);
  static constexpr Duration kLongestCheck = Seconds(2);

 private:
  Time last_turn_{};
  Time check_until_{};
  bool started_ = false;
};

}  // namespace limpetrudder

#endif  // MEMBERSHIP_REVISION_GUARD_H_
