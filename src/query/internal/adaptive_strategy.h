#ifndef QUERY_INTERNAL_ADAPTIVE_STRATEGY_H_
#define QUERY_INTERNAL_ADAPTIVE_STRATEGY_H_

#include <optional>

#include "limits/token_budget.h"
#include "query/internal/strategy.h"
#include "routing/latency_window.h"

namespace limpetrudder::detail {

// Chooses servers by the latencies that this instance observes, queues
// sub-queries on this instance rather than at the servers, refuses queries
// early if they can't meet their deadline, and hedges stragglers within a
// budget. Not thread safe.
class AdaptiveStrategy {
 public:
  explicit AdaptiveStrategy(const Collection& collection);

  void Reconfigure(const Collection& collection);

  Admission Admit(const ShardPlan& plan,
                  const SearchRequest& request,
                  Time now);
  ServerChoice Choose(const ChoiceInput& input, Time now, Random* random);

  // Returns another server with free capacity that is likely to answer before a
  // straggler does, or null. Also returns null while sub-queries are queued for
  // the shard: the delay is then caused by load, and a hedge would add to it.
  std::shared_ptr<ServerState> ChooseHedge(const ChoiceInput& input,
                                           Time now,
                                           Random* random);

  std::optional<Duration> HedgeDelay() const;
  Duration SilenceTimeout(const ServerState& server, Duration time_left) const;
  std::optional<Duration> TailCutDelay() const;
  bool TrySpendHedge() { return hedges_.TrySpend(); }
  bool TrySpendRetry() { return retries_.TrySpend(); }
  bool MayRetry(std::uint32_t attempts) const;
  // Returns whether optional requests are sent to servers that have been unused
  // for long, to measure their latency.
  bool Explores() const { return extra_load_ > 0; }
  void OnFirstAttempt();
  void OnAnswer(Duration latency);
  void OnQueryDone(Duration took);

 private:
  Duration TypicalLatency() const;
  Duration EstimateWait(const ShardState& shard,
                        CallerClass caller_class,
                        Time now) const;

  double extra_load_;
  CoveragePolicy policy_;
  TokenBudget hedges_;
  TokenBudget retries_;
  LatencyWindow sub_query_latency_;
  LatencyWindow query_latency_;
};

static_assert(QueryStrategy<AdaptiveStrategy>);

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_ADAPTIVE_STRATEGY_H_
