#include "membership/revision_guard.h"

namespace limpetrudder {

bool RevisionGuard::OnTurn(Time now) {
  const bool frozen = started_ && now - last_turn_ >= kFreeze;
  started_ = true;
  last_turn_ = now;
  if (frozen) {
    checking_ = true;
    thawed_at_ = now;
  }
  return frozen;
}

void RevisionGuard::OnConfirmed(Time asked) {
  if (asked >= thawed_at_)
    checking_ = false;
}

bool RevisionGuard::MayTakeWork(Time now) const {
  return !checking_ || now - thawed_at_ >= kLongestCheck;
}

}  // namespace limpetrudder
