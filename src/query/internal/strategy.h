#ifndef QUERY_INTERNAL_STRATEGY_H_
#define QUERY_INTERNAL_STRATEGY_H_

#include <concepts>
#include <optional>
#include <vector>

#include "query/internal/shard_state.h"
#include "query/query_types.h"

namespace limpetrudder::detail {

// The server to use for a sub-query. If `server` is null and `wait` is false,
// no server can take it.
struct ServerChoice {
  std::shared_ptr<ServerState> server;  // Has room now.
  bool wait = false;                    // Queue until a server has room.

  bool IsPossible() const { return server != nullptr || wait; }
};

// The inputs to the choice of a server.
struct ChoiceInput {
  ShardState* shard = nullptr;
  Snapshot snapshot;
  Time deadline{};
  const std::vector<const ServerState*>* excluded = nullptr;
  std::size_t ahead = 0;            // Sub-queries queued before this one.
  bool include_unreported = false;  // Allow servers that may have advanced.
};

struct Admission {
  ResultCode code = ResultCode::kOk;
  Duration retry_after{0};
};

// The decisions that differ between the strategies for serving a collection. A
// strategy reads no clock and does no I/O.
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

// Returns whether `server` may be sent a sub-query for `input`, regardless of
// its free capacity.
bool IsEligible(const ServerState& server, const ChoiceInput& input, Time now);

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_STRATEGY_H_
