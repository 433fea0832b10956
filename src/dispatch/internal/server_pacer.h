#ifndef DISPATCH_INTERNAL_SERVER_PACER_H_
#define DISPATCH_INTERNAL_SERVER_PACER_H_

#include <cstdint>

#include "dispatch/internal/sustained_lateness.h"
#include "framework/time.h"

namespace limpetrudder::detail {

enum class PacerTransition { kNone, kStarted, kEnded };

// Paces one instance's requests to a server that answers all of them late.
// Starts when answers have been late for longer than a pause explains, at the
// rate of answers seen. While the server can answer in time, late answers lower
// the rate and timely ones raise it; if even its fastest answers are late, it
// gets one request after the other, so that it stays busy and its queue short.
// Answers the load of a service whose arrivals exceed what its servers can do.
// Not thread safe.
class ServerPacer {
 public:
  // A request sent at `sent` has no answer and its latency target has passed.
  PacerTransition OnLate(Time sent, Time now);

  // The answer of a request for which OnLate() was called.
  void OnLateAnswer() { ++late_answered_; }

  // The answer of any other request; `target` is its latency target.
  PacerTransition OnAnswer(Duration target, Time sent, Time now);

  // Another instance found the server late. Allows one request at once, which
  // shows whether it still is.
  PacerTransition OnReportedLate(Time now);

  // Whether the rate is bounded. Ends when nothing was held back for a while.
  bool active(Time now) const;

  // Whether a request sent now keeps to the rate and is likely answered within
  // `target`, with `in_flight` requests of this instance there already. Of a
  // server that is never timely: whether the request, `needed` even if late,
  // finds none before it.
  bool Allows(std::uint32_t in_flight,
              Duration target,
              bool needed,
              Time now) const;

  // A request is sent within the rate, or isn't sent because of it.
  void OnRequestSent(Time now);
  void OnHeldBack(Time now) { last_held_back_ = now; }

  // Requests that may be sent now, perhaps a fraction.
  double tokens(Time now) const;

  // Requests a second; meaningful while active.
  double rate() const { return rate_; }

 private:
  PacerTransition OnTimelyAnswer(bool quick, Time now);
  void Start(double rate, Time now);
  void ScaleRate(double factor, Time now);
  // Whether even the fastest of the last answers were late.
  bool never_timely() const { return timely_credit_ == 0; }

  SustainedLateness lateness_;
  std::uint32_t late_answered_ = 0;  // In the streak; others got none.
  double rate_ = 0;                  // 0: not bounded.
  double tokens_ = 0;
  Time tokens_updated_at_{};
  Time last_sent_{};
  Time rate_lowered_at_{};
  std::uint32_t timely_credit_ =
      0;  // Since the start; late ones count it down.
  std::uint32_t consecutive_quick_ = 0;  // In a row.
  Time last_held_back_{};
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_SERVER_PACER_H_
