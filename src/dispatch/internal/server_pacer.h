#ifndef DISPATCH_INTERNAL_SERVER_PACER_H_
#define DISPATCH_INTERNAL_SERVER_PACER_H_

#include <cstdint>

#include "dispatch/internal/sustained_lateness.h"
#include "framework/time.h"

namespace limpetrudder::detail {

enum class PacerTransition { kNone, kStarted, kEnded };

// Limits the rate of one instance's requests to a server that answers all of
// them late. Pacing starts when answers have been late for longer than a pause
// explains, at the rate of answers seen. While the server can answer in time,
// late answers lower the rate and timely ones raise it; if even its fastest
// answers are late, it gets one request at a time, so that it stays busy and
// its queue short. Protects servers from more arrivals than they can serve. Not
// thread safe.
class ServerPacer {
 public:
  // The latency target of a request sent at `sent` has passed without an
  // answer.
  PacerTransition OnLate(Time sent, Time now);

  // A request for which OnLate() was called has been answered.
  void OnLateAnswer() { ++late_answered_; }

  // Any other request, sent at `sent` with latency target `target`, has been
  // answered.
  PacerTransition OnAnswer(Duration target, Time sent, Time now);

  // Another instance found the server late. Allows one request immediately,
  // which shows whether the server still is.
  PacerTransition OnReportedLate(Time now);

  // Whether the rate is limited. Becomes false when no request was held back
  // for a while.
  bool active(Time now) const;

  // Whether a request may be sent now, with `in_flight` requests of this
  // instance at the server already. The request must keep to the rate and must
  // be likely to be answered within `target`. If the server is never timely,
  // the request must be the only one in flight, and either `needed` even if its
  // answer is late or due as the periodic check for recovery.
  bool Allows(std::uint32_t in_flight,
              Duration target,
              bool needed,
              Time now) const;

  // A request was sent within the rate, or was held back because of it.
  void OnRequestSent(Time now);
  void OnHeldBack(Time now) { last_held_back_ = now; }

  // Requests that may be sent now; may be fractional, and negative when more
  // were sent than the rate allows.
  double tokens(Time now) const;

  // Requests per second; meaningful while active.
  double rate() const { return rate_; }

 private:
  // A request was answered within its target; `quick` if in half of it.
  PacerTransition OnTimelyAnswer(bool quick, Time now);
  void Start(double rate, Time now);
  void ScaleRate(double factor, Time now);
  // Whether even the fastest of the last answers were late.
  bool never_timely() const { return timely_credit_ == 0; }

  SustainedLateness lateness_;
  // Late requests that were answered since the last timely answer. The other
  // late ones have had no answer.
  std::uint32_t late_answered_ = 0;
  double rate_ = 0;  // Requests per second; 0: not limited.
  double tokens_ = 0;
  Time tokens_updated_at_{};
  Time last_sent_{};
  Time rate_lowered_at_{};
  // Set by a timely answer, and lowered by one for each late request.
  std::uint32_t timely_credit_ = 0;
  std::uint32_t consecutive_quick_ = 0;
  Time last_held_back_{};
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_PACER_H_
