#ifndef DISPATCH_INTERNAL_SERVER_DIRECTIVES_H_
#define DISPATCH_INTERNAL_SERVER_DIRECTIVES_H_

#include "framework/time.h"

namespace limpetrudder::detail {

// What one incarnation of a server has asked of its callers in its answers: to
// send nothing more, since it is leaving, or nothing for a while. Answers the
// load of servers that are emptied and of servers that shed load. Not thread
// safe.
class ServerDirectives {
 public:
  // Each returns whether the server asked for something new.
  bool OnLeaving();
  bool OnBackoff(Duration backoff, Time now);

  bool leaving() const { return leaving_; }
  // When the server may be asked again; in the past if it doesn't mind.
  Time backoff_until() const { return backoff_until_; }
  bool IsBackingOff(Time now) const { return now < backoff_until_; }

 private:
  bool leaving_ = false;
  Time backoff_until_ = Time::min();
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_DIRECTIVES_H_
