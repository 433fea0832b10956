#ifndef DISPATCH_INTERNAL_WARMUP_LIMITER_H_
#define DISPATCH_INTERNAL_WARMUP_LIMITER_H_

#include <algorithm>
#include <optional>

#include "framework/time.h"

namespace limpetrudder::detail {

// Spaces out the requests of this instance to one server while the server is
// cold. Applies after a server has started, and after all servers of a data
// centre came back at once. Not thread safe.
class WarmupLimiter {
 public:
  // Sets how many requests per second this instance may send while the server
  // is cold; not set: any number.
  void SetRate(std::optional<double> rate) { rate_ = rate; }
  std::optional<double> rate() const { return rate_; }

  // The server has announced that it is cold until `until`.
  void OnCold(Time until) { cold_until_ = std::max(cold_until_, until); }
  // The server's entry says that it is warm.
  void OnWarm() { cold_until_ = Time::min(); }
  // The server may have become cold, and will announce it before `until`.
  void OnDoubt(Time until) { doubt_until_ = std::max(doubt_until_, until); }
  // The server itself has just answered that it is warm.
  void OnProvedWarm() { cold_until_ = doubt_until_ = Time::min(); }

  bool InDoubt(Time now) const { return now < doubt_until_; }

  // Whether the server has to be treated as cold.
  bool IsCold(Time now) const {
    return now < std::max(cold_until_, doubt_until_);
  }

  // Returns when the next request may be sent; `now` if one may be sent now.
  Time NextSend(Time now) const {
    if (!rate_ || !IsCold(now))
      return now;
    const Time warm_at = std::max(cold_until_, doubt_until_);
    return *rate_ > 0 ? std::min(warm_at, std::max(now, next_send_)) : warm_at;
  }

  bool Allows(Time now) const { return NextSend(now) <= now; }

  void OnSent(Time now) {
    if (rate_ && *rate_ > 0 && IsCold(now))
      next_send_ = now + Scaled(Seconds(1), 1 / *rate_);
  }

 private:
  std::optional<double> rate_;
  Time cold_until_ = Time::min();
  Time doubt_until_ = Time::min();
  Time next_send_ = Time::min();
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_WARMUP_LIMITER_H_
