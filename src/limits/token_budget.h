#ifndef LIMITS_TOKEN_BUDGET_H_
#define LIMITS_TOKEN_BUDGET_H_

#include <algorithm>

namespace limpetrudder {

// Bounds extra work as a ratio of ordinary work. Each ordinary request earns
// `ratio` of a token, each extra one spends a whole token; `burst` is the
// largest number of saved tokens. Not thread safe.
class TokenBudget {
 public:
  // Preconditions: `ratio` >= 0, `burst` >= 1.
  TokenBudget(double ratio, double burst)
      : ratio_(ratio), burst_(burst), tokens_(ratio > 0 ? 1.0 : 0.0) {}

  void OnOrdinaryRequest() { tokens_ = std::min(tokens_ + ratio_, burst_); }

  // Spends a token, or returns false if there is none.
  bool TrySpend() {
    if (tokens_ < 1.0)
      return false;
    tokens_ -= 1.0;
    return true;
  }

  // Gives back a token whose extra request was not made.
  void Refund() { tokens_ = std::min(tokens_ + 1.0, burst_); }

  void set_ratio(double ratio) { ratio_ = ratio; }

  // Tokens beyond the new burst are lost.
  void set_burst(double burst) {
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

  double tokens() const { return tokens_; }

 private:
  double ratio_;
  double burst_;
  double tokens_;
};

}  // namespace limpetrudder

#endif  // LIMITS_TOKEN_BUDGET_H_
