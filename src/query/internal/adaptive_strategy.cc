#include "query/internal/adaptive_strategy.h"

#include <algorithm>

namespace limpetrudder::detail {
namespace {

constexpr Duration kTypicalBeforeSamples = Millis(10);
constexpr std::uint32_t kSubQueryWindow = 4096;
constexpr std::uint32_t kQueryWindow = 512;
constexpr double kHedgeBurst = 10;
constexpr double kRetryRatio = 0.1;
constexpr double kRetryBurst = 50;
constexpr std::uint32_t kMaxAttemptsPerShard = 6;

// Servers whose expected latencies are this close share the load at random.
constexpr std::int64_t kAlikePercent = 80;

// Share of the time left within which a sub-query must be expected back.
constexpr std::int64_t kAdmissionPercent = 90;
constexpr double kStragglerQuantile = 0.99;
constexpr double kLateShardShare = 0.1;
constexpr std::size_t kMaxWaiting = 2000;
constexpr Duration kShortestRetryAfter = Millis(50);

constexpr std::int64_t kSilenceFactor = 3;
constexpr Duration kShortestSilence = Millis(30);

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

Duration AdaptiveStrategy::Typical() const {
  return sub_query_latency_.Quantile(0.5, kTypicalBeforeSamples);
}

Duration AdaptiveStrategy::EstimateWait(const ShardState& shard,
                                        CallerClass caller_class,
                                        Time now) const {
  const Duration typical = Typical();
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
  // NOTE Room is left for a straggler, since under load none is hedged. Where
  // stragglers take most of the deadline, only half of it is kept for them.
  const Duration straggler =
      std::min(sub_query_latency_.Quantile(kStragglerQuantile, Typical()),
               time_left / 2);
  const Duration longest_wait = time_left * kAdmissionPercent / 100 - straggler;
  std::size_t late = 0;
  Duration longest{0};
  for (const auto& shard : plan.shards) {
    if (shard->queue.size() >= kMaxWaiting)
      return {ResultCode::kQueueFull, Seconds(1)};
    const Duration wait = EstimateWait(*shard, request.caller_class, now);
    if (wait > longest_wait)
      ++late;
    longest = std::max(longest, wait);
  }
  const bool whole = NeedsWholeAnswer(request.caller_class) ||
                     policy_ == CoveragePolicy::kWhole;
  const double tolerated =
      whole ? 0 : kLateShardShare * static_cast<double>(plan.shards.size());
  if (static_cast<double>(late) <= tolerated)
    return {};
  return {ResultCode::kOverloaded, std::max(longest, kShortestRetryAfter)};
}

ServerChoice AdaptiveStrategy::Choose(const ChoiceInput& input,
                                      Time now,
                                      Random* random) {
  const Duration typical = Typical();
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
  // NOTE Waiting for a fast server beats a slow one that is free.
  if (best == Duration::max() || best_wait < best)
    return choice;
  std::uint64_t alike = 0;
  for (const auto& server : input.shard->servers) {
    const bool as_good =
        IsEligible(*server, input, now) && server->HasCapacity(now) &&
        server->ExpectedLatency(typical) * kAlikePercent / 100 <= best;
    if (as_good && random->Below(++alike) == 0)
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
  const Duration expected = choice.server->ExpectedLatency(Typical());
  const auto straggler = HedgeAfter();
  if (!straggler || expected > *straggler)
    return nullptr;
  return choice.server;
}

std::optional<Duration> AdaptiveStrategy::HedgeAfter() const {
  if (extra_load_ <= 0 ||
      sub_query_latency_.samples() < LatencyWindow::kMinSamples) {
    return std::nullopt;
  }
  return sub_query_latency_.Quantile(1.0 - extra_load_, Duration(0));
}

Duration AdaptiveStrategy::SilenceAfter(const ServerState&,
                                        Duration time_left) const {
  const Duration half = time_left / 2;
  const Duration slowest =
      sub_query_latency_.Quantile(kStragglerQuantile, half / kSilenceFactor);
  // NOTE Half of the time is kept for another attempt, unless answers that
  // take longer than that are usual.
  const Duration latest = std::max(half, slowest * 3 / 2);
  return std::max(std::min(slowest * kSilenceFactor, latest), kShortestSilence);
}

std::optional<Duration> AdaptiveStrategy::TailCutAfter() const {
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

void AdaptiveStrategy::OnFirstSend() {
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
