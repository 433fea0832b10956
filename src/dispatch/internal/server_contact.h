#ifndef DISPATCH_INTERNAL_SERVER_CONTACT_H_
#define DISPATCH_INTERNAL_SERVER_CONTACT_H_

#include <string>
#include <vector>

#include "framework/time.h"

namespace limpetrudder::detail {

// Detects that this instance has lost contact with all servers: requests went
// to several of them, and none has responded for a while. Any response restores
// contact. Applies when an instance is partitioned from the servers while
// callers and other instances still reach it, whether its connections hang, are
// reset or are refused. Servers that crash or are slow don't look like that as
// long as any other one responds. Holds no clock and does no I/O. Not thread
// safe.
class ServerContact {
 public:
  // A request was sent to `server`, over an open connection or a new one.
  void OnSent(const std::string& server, Time now);

  // A server responded, whatever it said. Returns whether contact was lost.
  bool OnResponse(Time now);

  // Returns whether contact is found to be lost now and wasn't before.
  bool Check(Time now);

  // While contact is lost, returns whether to probe a server now, at most once
  // per interval.
  bool TakeProbe(Time now);

  // Returns when Check() or TakeProbe() may return something else.
  Time NextCheck() const;

  bool lost() const { return lost_; }
  Time last_response() const { return last_response_; }

 private:
  bool lost_ = false;
  Time last_response_{};
  // The servers to which requests were sent since the last response, until
  // there are enough of them, and when the last one of these got its first.
  std::vector<std::string> unresponsive_;
  Time unresponsive_since_{};
  Time next_probe_{};
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_CONTACT_H_
