#ifndef DISPATCH_INTERNAL_RATE_LIMITER_H_
#define DISPATCH_INTERNAL_RATE_LIMITER_H_

#include <cstdint>
#include <optional>

#include "dispatch/dispatch_types.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// Keeps the rate limit that a server process names in its answers. Not thread
// safe.
class RateLimiter {
 public:
  // Applies what an answer to a request sent at `sent` says. Returns whether
  // the limit changed.
  bool OnAnswer(const RateLimitNotice& notice, Time sent, Time now);

  void OnSent() { ++sent_; }

  // Requests per second from all instances together; not set: any number.
  std::optional<double> limit() const { return limit_; }

  // Returns the number of requests sent since the last call.
  std::uint64_t TakeSentCount();

 private:
  std::optional<double> limit_;
  Time named_at_ = Time::min();  // When the limit was named last.
  std::uint64_t sent_ = 0;
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_RATE_LIMITER_H_
