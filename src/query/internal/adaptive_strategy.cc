#include "query/internal/adaptive_strategy.h"

#include <algorithm>

namespace limpetrudder::detail {
namespace {

constexpr Duration kDefaultTypicalLatency = Millis(10);
constexpr std::uint32_t kSubQueryWindow = 4096;
constexpr std::uint32_t kQueryWindow = 512;
constexpr double kHedgeBurst = 10;
constexpr double kRetryRatio = 0.1;
constexpr double kRetryBurst = 50;
constexpr std::uint32_t kMaxAttemptsPerShard = 6;

// A server is chosen at random among those whose expected latency, reduced to
// this percentage, is no higher than the lowest one.
constexpr std::int64_t kSimilarLatencyPercent = 80;

// The percentage of the time left within which a sub-query must be expected to
// complete for its query to be admitted.
constexpr std::int64_t kMaxExpectedTimePercent = 90;
constexpr double kStragglerQuantile = 0.99;
constexpr double kMaxLateShardRatio = 0.1;
constexpr std::size_t kMaxQueuedPerShard = 2000;
constexpr Duration kMinRetryAfter = Millis(50);

constexpr std::int64_t kSilenceFactor = 3;
constexpr Duration kMinSilenceTimeout = Millis(30);

constexpr double kTailCutQuantile = 0.95;
constexpr double kTailCutFactor = 1.5;

}  // namespace

AdaptiveStrategy::AdaptiveStrategy(const Collection& collection)
    : extra_load_(collection.extra_load),
      policy_(collection.coverage_policy),
      hedges_(collection.extra_load, kHedgeBurst),
      retries_(kRetryRatio, kRetryBurst),
      sub_query_latency_(kSubQueryWindow),
      query_latency_(kQueryWindow) {}

void AdaptiveStrategy::Reconfigure(const Collection& collection) {
  extra_load_ = collection.extra_load;
  policy_ = collection.coverage_policy;
  hedges_.set_ratio(extra_load_);
}

Duration AdaptiveStrategy::TypicalLatency() const {
  return sub_query_latency_.Quantile(0.5, kDefaultTypicalLatency);
}

Duration AdaptiveStrategy::EstimateWait(const ShardState& shard,
                                        CallerClass caller_class,
                                        Time now) const {
  const Duration typical = TypicalLatency();
  double rate = 0;
  for (const auto& server : shard.servers) {
    if (server->MayTakeWork(now))
      rate += server->ServiceRate(typical);
  }
  const std::size_t ahead = shard.queue.AheadOf(caller_class);
  if (ahead == 0 || rate <= 0)
    return Duration(0);
  return Duration(static_cast<std::int64_t>(static_cast<double>(ahead) / rate));
}

Admission AdaptiveStrategy::Admit(const ShardPlan& plan,
                                  const SearchRequest& request,
                                  Time now) {
  const Duration time_left = request.deadline - now;
  // NOTE Time is reserved for a straggler because stragglers aren't hedged
  // under load. At most half of the time left is reserved.
  const Duration straggler = std::min(
      sub_query_latency_.Quantile(kStragglerQuantile, TypicalLatency()),
      time_left / 2);
  const Duration max_wait =
      time_left * kMaxExpectedTimePercent / 100 - straggler;
  std::size_t late_shards = 0;
  Duration longest_wait{0};
  for (const auto& shard : plan.shards) {
    if (shard->queue.size() >= kMaxQueuedPerShard)
      return {ResultCode::kQueueFull, Seconds(1)};
    const Duration wait = EstimateWait(*shard, request.caller_class, now);
    if (wait > max_wait)
      ++late_shards;
    longest_wait = std::max(longest_wait, wait);
  }
  const bool whole_needed = NeedsWholeAnswer(request.caller_class) ||
                            policy_ == CoveragePolicy::kWhole;
  const double max_late =
      whole_needed
          ? 0
          : kMaxLateShardRatio * static_cast<double>(plan.shards.size());
  if (static_cast<double>(late_shards) <= max_late)
    return {};
  return {ResultCode::kOverloaded, std::max(longest_wait, kMinRetryAfter)};
}

ServerChoice AdaptiveStrategy::Choose(const ChoiceInput& input,
                                      Time now,
                                      Random* random) {
  const Duration typical = TypicalLatency();
  ServerChoice choice;
  Duration best = Duration::max();
  Duration best_wait = Duration::max();
  for (const auto& server : input.shard->servers) {
    if (!IsEligible(*server, input, now)) {
      choice.wait |= server->availability() == ServerAvailability::kSuspect &&
                     server->paused_until() > now &&
                     server->paused_until() < input.deadline;
    } else if (server->HasCapacity(now)) {
      best = std::min(best, server->ExpectedLatency(typical));
    } else {
      choice.wait = true;
      best_wait = std::min(
          best_wait, server->ExpectedLatencyAfterWait(typical, input.ahead));
    }
  }
  // NOTE Waiting for a fast server can take less time than using a slow server
  // that is free.
  if (best == Duration::max() || best_wait < best)
    return choice;
  std::uint64_t similar = 0;
  for (const auto& server : input.shard->servers) {
    const bool is_similar =
        IsEligible(*server, input, now) && server->HasCapacity(now) &&
        server->ExpectedLatency(typical) * kSimilarLatencyPercent / 100 <= best;
    if (is_similar && random->Below(++similar) == 0)
      choice.server = server;
  }
  return choice;
}

std::shared_ptr<ServerState> AdaptiveStrategy::ChooseHedge(
    const ChoiceInput& input,
    Time now,
    Random* random) {
  if (!input.shard->queue.empty())
    return nullptr;
  ServerChoice choice = Choose(input, now, random);
  if (!choice.server)
    return nullptr;
  const Duration expected = choice.server->ExpectedLatency(TypicalLatency());
  const auto straggler = HedgeDelay();
  if (!straggler || expected > *straggler)
    return nullptr;
  return choice.server;
}

std::optional<Duration> AdaptiveStrategy::HedgeDelay() const {
  if (extra_load_ <= 0 ||
      sub_query_latency_.samples() < LatencyWindow::kMinSamples) {
    return std::nullopt;
  }
  return sub_query_latency_.Quantile(1.0 - extra_load_, Duration(0));
}

Duration AdaptiveStrategy::SilenceTimeout(const ServerState&,
                                          Duration time_left) const {
  const Duration half_time_left = time_left / 2;
  const Duration slowest = sub_query_latency_.Quantile(
      kStragglerQuantile, half_time_left / kSilenceFactor);
  // NOTE Half of the time left is reserved for another attempt, unless the
  // slowest usual answers take longer than the other half.
  const Duration max_timeout = std::max(half_time_left, slowest * 3 / 2);
  return std::max(std::min(slowest * kSilenceFactor, max_timeout),
                  kMinSilenceTimeout);
}

std::optional<Duration> AdaptiveStrategy::TailCutDelay() const {
  if (policy_ != CoveragePolicy::kTailFirst ||
      query_latency_.samples() < LatencyWindow::kMinSamples) {
    return std::nullopt;
  }
  const Duration usual = query_latency_.Quantile(kTailCutQuantile, Duration(0));
  return Scaled(usual, kTailCutFactor);
}

bool AdaptiveStrategy::MayRetry(std::uint32_t attempts) const {
  return attempts < kMaxAttemptsPerShard;
}

void AdaptiveStrategy::OnFirstAttempt() {
  hedges_.OnOrdinaryRequest();
  retries_.OnOrdinaryRequest();
}

void AdaptiveStrategy::OnAnswer(Duration latency) {
  sub_query_latency_.Record(latency);
}

void AdaptiveStrategy::OnQueryDone(Duration took) {
  query_latency_.Record(took);
}

}  // namespace limpetrudder::detail
