#ifndef DISPATCH_INTERNAL_RATE_LIMITER_H_
#define DISPATCH_INTERNAL_RATE_LIMITER_H_

#include <cstdint>
#include <optional>

#include "dispatch/dispatch_types.h"
#include "dispatch/internal/rate_limit_share.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// Keeps this instance's requests to one server process within its share of the
// rate limit that the server names in its answers. Applies when a server in
// trouble asks for fewer requests. Not thread safe.
class RateLimiter {
 public:
  // Applies what an answer to a request sent at `sent` says. Returns whether
  // the limit changed; the share has to be set anew if so.
  bool OnAnswer(const RateLimitNotice& notice, Time sent, Time now);

  void SetShare(const RateLimitShare& share, Time now);

  void OnSent(Time now);

  // Returns when the next request may be sent; `now` if one may be sent now.
  Time NextSend(Time now) const;
  bool Allows(Time now) const { return !limit_ || NextSend(now) <= now; }

  // Requests per second from all instances together; not set: any number.
  std::optional<double> limit() const { return limit_; }

  // Returns this instance's rate in requests per second. Meaningful while there
  // is a limit.
  double rate() const { return share_.rate; }

  // Returns the number of requests sent since the last call.
  std::uint64_t TakeSentCount();

 private:
  double Tokens(Time now) const;
  double MaxTokens() const;
  Time NextTrial(Time now) const;

  std::optional<double> limit_;
  Time named_at_ = Time::min();  // When the limit was named last.
  RateLimitShare share_;
  double tokens_ = 0;  // Requests that a sender may send at once.
  Time tokens_at_{};
  Time first_trial_{};
  Time last_sent_ = Time::min();
  std::uint64_t sent_ = 0;
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_RATE_LIMITER_H_
