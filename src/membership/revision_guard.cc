#include "membership/revision_guard.h"

namespace limpetrudder {

bool RevisionGuard::OnTick(Time now) {
  const bool frozen = started_ && now - last_turn_ >= kFreezeThreshold;
  started_ = true;
  last_turn_ = now;
  if (frozen) {
    checking_ = true;
    resumed_at_ = now;
  }
  return frozen;
}

void RevisionGuard::OnConfirmed(Time requested_at) {
  if (requested_at >= resumed_at_)
    checking_ = false;
}

bool RevisionGuard::MayTakeWork(Time now) const {
  return !checking_ || now - resumed_at_ >= kMaxCheckTime;
}

}  // namespace limpetrudder
