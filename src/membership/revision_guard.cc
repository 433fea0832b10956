#include "membership/revision_guard.h"

namespace limpetrudder {

bool RevisionGuard::OnTurn(Time now) {
  const bool frozen = started_ && now - last_turn_ >= kFreeze;
  started_ = true;
  last_turn_ = now;
  if (frozen)
    check_until_ = now + kLongestCheck;
  return frozen;
}

void RevisionGuard::OnPeerRevision(std::uint64_t peer_revision,
                                   std::uint64_t own_revision) {
  if (peer_revision <= own_revision)
    check_until_ = Time();
}

bool RevisionGuard::MayTakeWork(Time now) const {
  return now >= check_until_;
}

}  // namespace limpetrudder
