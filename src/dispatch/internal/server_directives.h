#ifndef DISPATCH_INTERNAL_SERVER_DIRECTIVES_H_
#define DISPATCH_INTERNAL_SERVER_DIRECTIVES_H_

#include "framework/time.h"

namespace limpetrudder::detail {

// What one process of a server has requested of its callers in its answers: to
// send nothing more because it is leaving, or to back off for a while. Used by
// servers that are being drained and by servers that shed load. Not thread
// safe.
class ServerDirectives {
 public:
  // Each returns whether the state changed: the server wasn't known to be
  // leaving, or wasn't backing off.
  bool OnLeaving();
  bool OnBackoff(Duration backoff, Time now);

  bool leaving() const { return leaving_; }
  // When requests may be sent again; in the past if no backoff is active.
  Time backoff_until() const { return backoff_until_; }
  bool IsBackingOff(Time now) const { return now < backoff_until_; }

 private:
  bool leaving_ = false;
  Time backoff_until_ = Time::min();
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_DIRECTIVES_H_
