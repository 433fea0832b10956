#ifndef QUERY_INTERNAL_BASELINE_STRATEGY_H_
#define QUERY_INTERNAL_BASELINE_STRATEGY_H_

#include <optional>

#include "query/internal/strategy.h"

namespace limpetrudder::detail {

// A simple strategy that serves as the reference in benchmarks: round robin, a
// fixed time-out, one retry, no hedges and no limits. Not thread safe.
class BaselineStrategy {
 public:
  explicit BaselineStrategy(const Collection&) {}

  void Reconfigure(const Collection&) {}

  Admission Admit(const ShardPlan&, const SearchRequest&, Time) { return {}; }
  ServerChoice Choose(const ChoiceInput& input, Time now, Random* random);
  std::shared_ptr<ServerState> ChooseHedge(const ChoiceInput&, Time, Random*) {
    return nullptr;
  }
  std::optional<Duration> HedgeDelay() const { return std::nullopt; }
  Duration SilenceTimeout(const ServerState&, Duration time_left) const {
    return time_left;
  }
  std::optional<Duration> TailCutDelay() const { return std::nullopt; }
  bool TrySpendHedge() { return false; }
  bool TrySpendRetry() { return true; }
  bool MayRetry(std::uint32_t attempts) const { return attempts < 2; }
  bool Explores() const { return false; }
  void OnFirstAttempt() {}
  void OnAnswer(Duration) {}
  void OnQueryDone(Duration) {}
};

static_assert(QueryStrategy<BaselineStrategy>);

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_BASELINE_STRATEGY_H_
