#ifndef QUERY_INTERNAL_STRATEGY_H_
#define QUERY_INTERNAL_STRATEGY_H_

#include <concepts>
#include <optional>
#include <vector>

#include "query/internal/shard_state.h"
#include "query/query_types.h"

namespace limpetrudder::detail {

// Where a sub-query goes next.
struct ServerChoice {
  std::shared_ptr<ServerState> server;  // Send to it now.
  bool wait = false;                    // A server will have room later.

  bool IsPossible() const { return server != nullptr || wait; }
};

// What a choice depends on.
struct ChoiceInput {
  ShardState* shard = nullptr;
  Snapshot snapshot;
  Time deadline{};
  const std::vector<const ServerState*>* excluded = nullptr;
  std::size_t ahead = 0;            // Sub-queries that wait before this one.
  bool include_unreported = false;  // Also ask servers that may have advanced.
};

struct Admission {
  ResultCode code = ResultCode::kOk;
  Duration retry_after{0};
};

// The decisions in which ways of serving a collection differ. A strategy holds
// no clock and does no I/O.
template <typename S>
concept QueryStrategy = requires(S strategy,
                                 const S& reader,
                                 const ChoiceInput& input,
                                 const ShardPlan& plan,
                                 const SearchRequest& request,
                                 const ServerState& server,
                                 Random* random,
                                 Time now,
                                 Duration duration) {
  { strategy.Admit(plan, request, now) } -> std::same_as<Admission>;
  { strategy.Choose(input, now, random) } -> std::same_as<ServerChoice>;
  {
    strategy.ChooseHedge(input, now, random)
    } -> std::same_as<std::shared_ptr<ServerState>>;
  { reader.HedgeDelay() } -> std::same_as<std::optional<Duration>>;
  { reader.SilenceTimeout(server, duration) } -> std::same_as<Duration>;
  { reader.TailCutDelay() } -> std::same_as<std::optional<Duration>>;
  { strategy.TrySpendHedge() } -> std::same_as<bool>;
  { strategy.TrySpendRetry() } -> std::same_as<bool>;
  { reader.MayRetry(std::uint32_t{}) } -> std::same_as<bool>;
  { reader.Explores() } -> std::same_as<bool>;
  strategy.OnFirstAttempt();
  strategy.OnAnswer(duration);
  strategy.OnQueryDone(duration);
};

// Whether `server` may be sent a sub-query for `input`, room aside.
bool IsEligible(const ServerState& server, const ChoiceInput& input, Time now);

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_STRATEGY_H_
