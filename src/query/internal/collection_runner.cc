#include "query/internal/collection_runner.h"

#include <algorithm>
#include <utility>

#include "query/internal/answer_composer.h"
#include "query/internal/snapshot_choice.h"

namespace limpetrudder::detail {
namespace {

constexpr Duration kQueueCheckInterval = Millis(5);
constexpr Duration kProbeRoundInterval = Millis(100);
constexpr Duration kRetryAfterUnreachableShard = Seconds(1);
constexpr std::uint32_t kMaxRepins = 3;

// How long a silent connection has to confirm a cancellation before it is
// closed.
constexpr Duration kCancelTimeout = Millis(50);

// Timeout of an exploratory request, as a multiple of the time left of its
// query.
constexpr std::int64_t kExploreTimeoutFactor = 2;

constexpr std::uint32_t kMaxRestarts = 1;

// Minimum share of the shards that must have answered before the rest are cut
// off.
constexpr double kMinTailCutCoverage = 0.9;
constexpr Duration kTailCutRetryInterval = Millis(10);

// Whether the server returned the sub-query without running it.
bool IsRefusal(ResultCode code) {
  switch (code) {
    case ResultCode::kVersionNotHeld:
    case ResultCode::kMapNotHeld:
    case ResultCode::kServerShed:
    case ResultCode::kServerLeaving:
    case ResultCode::kConnectFailed:
      return true;
    default:
      return false;
  }
}

}  // namespace

template <QueryStrategy S>
CollectionRunner<S>::CollectionRunner(
    std::shared_ptr<const Collection> collection,
    CoordinatorPlan plan,
    RunnerContext context,
    std::uint64_t first_id)
    : collection_(std::move(collection)),
      context_(std::move(context)),
      strategy_(*collection_),
      local_servers_(context_.data_centre),
      next_id_(first_id) {
  local_servers_.Rebuild(*collection_, plan);
}

template <QueryStrategy S>
void CollectionRunner<S>::Reconfigure(
    std::shared_ptr<const Collection> collection,
    CoordinatorPlan plan) {
  collection_ = std::move(collection);
  strategy_.Reconfigure(*collection_);
  local_servers_.Rebuild(*collection_, plan);
}

template <QueryStrategy S>
ShardPlan CollectionRunner<S>::PlanFor(const SearchRequest& request) const {
  if (request.only_shards.empty())
    return local_servers_.plan();
  ShardPlan plan;
  plan.map_epoch = local_servers_.plan().map_epoch;
  for (const auto& shard : local_servers_.plan().shards) {
    if (std::find(request.only_shards.begin(), request.only_shards.end(),
                  shard->name) != request.only_shards.end()) {
      plan.shards.push_back(shard);
    }
  }
  return plan;
}

template <QueryStrategy S>
void CollectionRunner<S>::Refuse(QueryId query,
                                 const SearchRequest& request,
                                 Admission admission,
                                 std::uint32_t shards) {
  SearchAnswer answer;
  answer.request_id = request.request_id;
  answer.code = admission.code;
  answer.execution = Execution::kNotRun;
  answer.retry_after = admission.retry_after;
  answer.coverage.shards_total = shards;
  answer.decisions.push_back(
      {Duration(0), DecisionKind::kRefused, "", "", 0, admission.code});
  context_.archive->Add(request.request_id, answer.decisions);
  context_.actions->push_back(ReplySearch{query, std::move(answer)});
}

template <QueryStrategy S>
bool CollectionRunner<S>::RequiresFullCoverage(
    const SearchRequest& request) const {
  return request.only_shards.empty() &&
         (NeedsWholeAnswer(request.caller_class) ||
          collection_->coverage_policy == CoveragePolicy::kWhole);
}

template <QueryStrategy S>
bool CollectionRunner<S>::IsFullCoverageReachable(const ShardPlan& plan) const {
  const auto is_reachable = [&](const std::shared_ptr<ShardState>& shard) {
    const bool has_local_server = std::any_of(
        shard->servers.begin(), shard->servers.end(), [](const auto& server) {
          return server->availability() == ServerAvailability::kServing ||
                 server->availability() == ServerAvailability::kSuspect;
        });
    return has_local_server || remote_.IsReachable(shard->remote_data_centres);
  };
  return std::all_of(plan.shards.begin(), plan.shards.end(), is_reachable);
}

template <QueryStrategy S>
void CollectionRunner<S>::Start(QueryId id, SearchRequest request, Time now) {
  ShardPlan plan = PlanFor(request);
  const auto shard_count = static_cast<std::uint32_t>(plan.shards.size());
  if (request.deadline <= now) {
    return Refuse(id, request, {ResultCode::kDeadlinePassed, Duration(0)},
                  shard_count);
  }
  Admission admission = strategy_.Admit(plan, request, now);
  if (admission.code == ResultCode::kOk && RequiresFullCoverage(request) &&
      !IsFullCoverageReachable(plan)) {
    admission = {ResultCode::kNotWhole, kRetryAfterUnreachableShard};
  }
  if (admission.code != ResultCode::kOk)
    return Refuse(id, request, admission, shard_count);
  auto query =
      std::make_unique<QueryState>(id, std::move(request), std::move(plan));
  InitializeQuery(query.get(), now);
  queries_[id] = std::move(query);
  LaunchAll(id, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::InitializeQuery(QueryState* query, Time now) {
  query->started = now;
  query->open_shards = static_cast<std::uint32_t>(query->shards.size());
  query->decision_log.Begin(now);
  query->pinned = query->request.pinned;
  if (query->pinned.version == 0)
    query->pinned = {query->plan.map_epoch, ChooseVersion(query->plan, now)};
  query->decision_log.Add(now, DecisionKind::kPinned, "", "",
                          query->pinned.version);
  timers_.Add({query->request.deadline, TimerKind::kQueryEnd, query->id});
  const auto cut = strategy_.TailCutDelay();
  if (cut && !RequiresFullCoverage(query->request))
    timers_.Add({now + *cut, TimerKind::kTailCut, query->id});
}

template <QueryStrategy S>
void CollectionRunner<S>::LaunchAll(QueryId id, Time now) {
  QueryState* query = FindQuery(id);
  for (std::uint32_t shard = 0; shard < query->shards.size(); ++shard)
    Launch(query, shard, now);
  FlushBatches(query, now);
  MaybeFinish(id, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::Launch(QueryState* query,
                                 std::uint32_t shard,
                                 Time now) {
  ShardProgress& progress = query->shards[shard];
  const ServerChoice choice = ChooseServer(query, shard, now);
  if (choice.server) {
    const DecisionKind kind =
        progress.attempts == 0 ? DecisionKind::kSent : DecisionKind::kRetried;
    return Send(query, shard, choice.server, kind, now);
  }
  if (choice.wait)
    return Enqueue(query, shard, now);
  if (DelegateShard(query, shard) || !progress.in_flight.empty())
    return;
  const auto& servers = query->plan.shards[shard]->servers;
  const bool reachable =
      std::any_of(servers.begin(), servers.end(),
                  [&](const auto& server) { return server->MayTakeWork(now); });
  GiveUpShard(query, shard,
              reachable ? ResultCode::kVersionNotHeld : ResultCode::kNoServer,
              now);
}

template <QueryStrategy S>
ServerChoice CollectionRunner<S>::ChooseServer(QueryState* query,
                                               std::uint32_t shard,
                                               Time now) {
  ShardProgress& progress = query->shards[shard];
  ShardState* state = query->plan.shards[shard].get();
  ChoiceInput input;
  input.shard = state;
  input.snapshot = query->pinned;
  input.deadline = query->request.deadline;
  input.excluded = &progress.excluded;
  input.ahead = state->queue.AheadOf(query->request.caller_class);
  ServerChoice choice = strategy_.Choose(input, now, context_.random);
  if (choice.IsPossible())
    return choice;
  input.include_unreported = true;
  choice = strategy_.Choose(input, now, context_.random);
  const bool no_other_data_centre = !progress.data_centres_requested.empty() ||
                                    state->remote_data_centres.empty();
  if (choice.IsPossible() || progress.excluded.empty() || !no_other_data_centre)
    return choice;
  // NOTE Every server has failed this sub-query once. As a last resort, each
  // may be tried again.
  progress.excluded.clear();
  return strategy_.Choose(input, now, context_.random);
}

template <QueryStrategy S>
void CollectionRunner<S>::Send(QueryState* query,
                               std::uint32_t shard,
                               const std::shared_ptr<ServerState>& server,
                               DecisionKind kind,
                               Time now) {
  ShardProgress& progress = query->shards[shard];
  const AttemptId id = next_id_++;
  AttemptState attempt;
  attempt.query = query->id;
  attempt.shard = shard;
  attempt.server = server;
  attempt.shard_state = query->plan.shards[shard];
  attempt.sent = now;
  attempt.fresh_connection =
      progress.needs_fresh_connection || server->NeedsFreshConnection();
  attempt.optional = kind == DecisionKind::kExplored;
  ++query->sub_queries;
  if (kind == DecisionKind::kSent)
    strategy_.OnFirstAttempt();
  else if (!progress.refused_unrun)
    ++query->extra_sub_queries;
  progress.refused_unrun = false;
  if (!attempt.optional) {
    ++progress.attempts;
    progress.in_flight.push_back(id);
  }
  server->OnSent();
  const Duration time_left = query->request.deadline - now;
  const Duration silence_after =
      attempt.optional ? time_left * kExploreTimeoutFactor
                       : strategy_.SilenceTimeout(*server, time_left);
  timers_.Add({now + silence_after, TimerKind::kSilence, id});
  if (const auto hedge_after = strategy_.HedgeDelay();
      hedge_after && kind != DecisionKind::kHedged && !attempt.optional) {
    timers_.Add({now + *hedge_after, TimerKind::kHedge, id});
  }
  query->decision_log.Add(now, kind, attempt.shard_state->name,
                          server->info().name, id);
  context_.actions->push_back(SendAttempt{
      id, server->info().name, server->info().address,
      attempt.shard_state->name, query->request.terms, query->request.limit,
      query->pinned, query->request.deadline, attempt.fresh_connection});
  attempts_.emplace(id, std::move(attempt));
  if (kind == DecisionKind::kSent && strategy_.Explores())
    Explore(query, shard, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::Explore(QueryState* query,
                                  std::uint32_t shard,
                                  Time now) {
  ChoiceInput input;
  input.shard = query->plan.shards[shard].get();
  input.snapshot = query->pinned;
  for (const auto& server : input.shard->servers) {
    const bool needs_exploring = server->in_flight() == 0 &&
                                 server->IsLatencyStale(now) &&
                                 IsEligible(*server, input, now);
    if (needs_exploring && strategy_.TrySpendHedge())
      return Send(query, shard, server, DecisionKind::kExplored, now);
  }
}

template <QueryStrategy S>
void CollectionRunner<S>::Enqueue(QueryState* query,
                                  std::uint32_t shard,
                                  Time now) {
  const auto& state = query->plan.shards[shard];
  if (std::find(queued_shards_.begin(), queued_shards_.end(), state) ==
      queued_shards_.end())
    queued_shards_.push_back(state);
  query->shards[shard].ticket = state->queue.Push(
      query->request.caller_class, query->request.deadline, {query->id, shard});
  query->decision_log.Add(now, DecisionKind::kQueued, state->name, "");
}

template <QueryStrategy S>
void CollectionRunner<S>::DispatchQueue(
    const std::shared_ptr<ShardState>& shard,
    Time now) {
  std::size_t remaining = shard->queue.size();
  while (remaining-- > 0) {
    const bool has_capacity = std::any_of(
        shard->servers.begin(), shard->servers.end(),
        [&](const auto& server) { return server->HasCapacity(now); });
    const bool has_available_server = std::any_of(
        shard->servers.begin(), shard->servers.end(), [&](const auto& server) {
          return server->availability() == ServerAvailability::kServing ||
                 server->availability() == ServerAvailability::kSuspect;
        });
    if (!has_capacity && has_available_server)
      return;
    const auto item = shard->queue.Pop();
    if (!item)
      return;
    QueryState* query = FindQuery(item->query);
    if (query == nullptr)
      continue;
    ShardProgress& progress = query->shards[item->shard];
    progress.ticket.reset();
    if (progress.status != ShardStatus::kOpen)
      continue;
    Launch(query, item->shard, now);
    const bool queued_again = progress.ticket.has_value();
    FlushBatches(query, now);
    MaybeFinish(item->query, now);
    if (queued_again)
      return;
  }
}

template <QueryStrategy S>
void CollectionRunner<S>::DispatchQueuesOf(const ServerState& server,
                                           Time now) {
  const auto shards = queued_shards_;
  for (const auto& shard : shards) {
    const bool serves_shard =
        std::any_of(shard->servers.begin(), shard->servers.end(),
                    [&](const auto& entry) { return entry.get() == &server; });
    if (serves_shard)
      DispatchQueue(shard, now);
  }
}

template <QueryStrategy S>
bool CollectionRunner<S>::DelegateShard(QueryState* query,
                                        std::uint32_t shard) {
  if (!query->request.only_shards.empty())
    return false;
  ShardProgress& progress = query->shards[shard];
  progress.in_batch =
      remote_.AddPending(shard, query->plan.shards[shard]->remote_data_centres,
                         &progress.data_centres_requested);
  return progress.in_batch;
}

template <QueryStrategy S>
void CollectionRunner<S>::FlushBatches(QueryState* query, Time now) {
  for (auto& [data_centre, shards] : remote_.TakePending()) {
    SendBatch action;
    action.batch = next_id_++;
    action.peer = remote_.PickPeer(data_centre, context_.random);
    action.request = query->request;
    action.request.pinned = query->pinned;
    for (std::uint32_t shard : shards) {
      const std::string& name = query->plan.shards[shard]->name;
      action.request.only_shards.push_back(name);
      query->decision_log.Add(now, DecisionKind::kAskedDataCentre, name,
                              action.peer, action.batch);
      ShardProgress& progress = query->shards[shard];
      if (progress.attempts > 0 && !progress.refused_unrun)
        ++query->extra_sub_queries;
      ++progress.attempts;
      ++query->sub_queries;
    }
    remote_.AddBatch(action.batch, {query->id, data_centre, std::move(shards)});
    context_.actions->push_back(std::move(action));
  }
}

template <QueryStrategy S>
void CollectionRunner<S>::GiveUpShard(QueryState* query,
                                      std::uint32_t shard,
                                      ResultCode reason,
                                      Time now) {
  ShardProgress& progress = query->shards[shard];
  progress.status = ShardStatus::kGivenUp;
  progress.reason = reason;
  --query->open_shards;
  query->decision_log.Add(now, DecisionKind::kGaveUp,
                          query->plan.shards[shard]->name, "", 0, reason);
}

template <QueryStrategy S>
void CollectionRunner<S>::Hedge(AttemptId id, Time now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.cancelled_at)
    return;
  const AttemptState attempt = found->second;
  QueryState* query = FindQuery(attempt.query);
  if (query == nullptr)
    return;
  ShardProgress& progress = query->shards[attempt.shard];
  if (progress.status != ShardStatus::kOpen || progress.in_flight.size() != 1)
    return;
  std::vector<const ServerState*> excluded = progress.excluded;
  excluded.push_back(attempt.server.get());
  ChoiceInput input;
  input.shard = attempt.shard_state.get();
  input.snapshot = query->pinned;
  input.excluded = &excluded;
  const auto server = strategy_.ChooseHedge(input, now, context_.random);
  if (!server)
    return HedgeInOtherDataCentre(query, attempt.shard, now);
  if (!strategy_.TrySpendHedge()) {
    query->decision_log.Add(now, DecisionKind::kHedgeLeftOut,
                            attempt.shard_state->name, server->info().name, id,
                            ResultCode::kHedgeBudgetSpent);
    return;
  }
  Send(query, attempt.shard, server, DecisionKind::kHedged, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::HedgeInOtherDataCentre(QueryState* query,
                                                 std::uint32_t shard,
                                                 Time now) {
  const auto& holders = query->plan.shards[shard]->remote_data_centres;
  if (!query->request.only_shards.empty() || !remote_.IsReachable(holders) ||
      !query->shards[shard].data_centres_requested.empty() ||
      !strategy_.TrySpendHedge()) {
    return;
  }
  DelegateShard(query, shard);
  FlushBatches(query, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::RecordServerResult(const AttemptState& attempt,
                                             const AttemptResult& result,
                                             Time now) {
  ServerState& server = *attempt.server;
  server.OnSettled();
  if (result.has_report)
    server.OnReport(result.report, now);
  const Duration latency = attempt.cancelled_at.value_or(now) - attempt.sent;
  switch (result.code) {
    case ResultCode::kOk:
      server.OnAnswer(latency, now);
      if (!attempt.cancelled_at)
        strategy_.OnAnswer(latency);
      break;
    case ResultCode::kAttemptCancelled:
      server.OnUnfinished(latency, now);
      break;
    case ResultCode::kServerShed:
      server.OnShed(result.retry_after, now, context_.random);
      break;
    case ResultCode::kConnectFailed:
      server.OnUnreachable(now, context_.random);
      break;
    case ResultCode::kServerFailed:
    case ResultCode::kAnswerCrossed:
    case ResultCode::kAnswerMalformed:
    case ResultCode::kTransportFailed:
      server.OnFailure(now, context_.random);
      break;
    default:
      break;
  }
}

template <QueryStrategy S>
void CollectionRunner<S>::OnAttempt(const AttemptResult& result, Time now) {
  const auto found = attempts_.find(result.attempt);
  if (found == attempts_.end())
    return;
  const AttemptState attempt = std::move(found->second);
  attempts_.erase(found);
  RecordServerResult(attempt, result, now);
  QueryState* query = FindQuery(attempt.query);
  if (query != nullptr && query->IsForCurrentPlan(attempt) &&
      !attempt.cancelled_at) {
    ShardProgress& progress = query->shards[attempt.shard];
    std::erase(progress.in_flight, result.attempt);
    if (progress.status == ShardStatus::kOpen)
      OnOpenShardResult(query, attempt, result, now);
  }
  DispatchQueuesOf(*attempt.server, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::OnOpenShardResult(QueryState* query,
                                            const AttemptState& attempt,
                                            const AttemptResult& result,
                                            Time now) {
  const QueryId id = query->id;
  const bool answered = result.code == ResultCode::kOk;
  if (answered && query->Accepts(result.answer.snapshot)) {
    query->decision_log.Add(now, DecisionKind::kAnswered,
                            attempt.shard_state->name,
                            attempt.server->info().name, result.attempt);
    OnShardAnswered(query, attempt.shard, result.answer, now);
  } else if (!attempt.optional) {
    OnShardFailed(query, attempt.shard, attempt,
                  answered ? ResultCode::kVersionNotHeld : result.code, now);
  }
  FlushBatches(query, now);
  MaybeFinish(id, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::OnShardAnswered(QueryState* query,
                                          std::uint32_t shard,
                                          ShardAnswer answer,
                                          Time now) {
  ShardProgress& progress = query->shards[shard];
  query->answers.Add(shard, std::move(answer));
  progress.status = ShardStatus::kAnswered;
  --query->open_shards;
  CancelLiveAttempts(query, shard, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::OnShardFailed(QueryState* query,
                                        std::uint32_t shard,
                                        const AttemptState& attempt,
                                        ResultCode reason,
                                        Time now) {
  ShardProgress& progress = query->shards[shard];
  query->decision_log.Add(
      now,
      reason == ResultCode::kConnectionSilent ? DecisionKind::kSilent
                                              : DecisionKind::kRefused,
      attempt.shard_state->name, attempt.server->info().name, 0, reason);
  if (!progress.in_flight.empty() || progress.in_batch)
    return;
  if (!strategy_.MayRetry(progress.attempts))
    return GiveUpShard(query, shard, reason, now);
  progress.refused_unrun = IsRefusal(reason);
  if (!progress.refused_unrun) {
    if (!strategy_.TrySpendRetry())
      return GiveUpShard(query, shard, ResultCode::kRetryBudgetSpent, now);
    progress.excluded.push_back(attempt.server.get());
  }
  Launch(query, shard, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::OnSilenceTimeout(AttemptId id, Time now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return;
  AttemptState& attempt = found->second;
  const bool is_needed = !attempt.cancelled_at && !attempt.optional &&
                         FindQuery(attempt.query) != nullptr;
  if (is_needed && !attempt.silent)
    return RetryAfterSilence(id, &attempt, now);
  const std::shared_ptr<ServerState> server = attempt.server;
  CloseSilentConnection(id, now);
  DispatchQueuesOf(*server, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::RetryAfterSilence(AttemptId id,
                                            AttemptState* attempt,
                                            Time now) {
  QueryState* query = FindQuery(attempt->query);
  const QueryId query_id = query->id;
  const std::uint32_t shard = attempt->shard;
  ShardProgress& progress = query->shards[shard];
  attempt->silent = true;
  progress.needs_fresh_connection = true;
  attempt->server->OnConnectionStalled();
  timers_.Add({query->request.deadline, TimerKind::kSilence, id});
  query->decision_log.Add(
      now, DecisionKind::kSilent, attempt->shard_state->name,
      attempt->server->info().name, id, ResultCode::kConnectionSilent);
  // NOTE The silent attempt stays open: if the server is only slow, its answer
  // may still arrive first. The connection is closed if another attempt answers
  // and the cancellation is not confirmed, or at the deadline.
  const bool has_other_live_attempt =
      std::any_of(progress.in_flight.begin(), progress.in_flight.end(),
                  [&](AttemptId live) { return !attempts_.at(live).silent; });
  if (has_other_live_attempt || !strategy_.MayRetry(progress.attempts) ||
      !strategy_.TrySpendRetry()) {
    return;
  }
  progress.excluded.push_back(attempt->server.get());
  Launch(query, shard, now);
  FlushBatches(query, now);
  MaybeFinish(query_id, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::CloseSilentConnection(AttemptId id, Time now) {
  const auto found = attempts_.find(id);
  const AttemptState attempt = std::move(found->second);
  attempts_.erase(found);
  context_.actions->push_back(CancelAttempt{id, attempt.server->info().address,
                                            /*close_connection=*/true});
  attempt.server->OnSettled();
  attempt.server->OnUnfinished(now - attempt.sent, now);
  attempt.server->OnConnectionSilent(attempt.fresh_connection, attempt.sent,
                                     now, context_.random);
}

template <QueryStrategy S>
void CollectionRunner<S>::CancelLiveAttempts(QueryState* query,
                                             std::uint32_t shard,
                                             Time now) {
  ShardProgress& progress = query->shards[shard];
  for (AttemptId id : std::exchange(progress.in_flight, {})) {
    AttemptState& attempt = attempts_.at(id);
    query->decision_log.Add(now, DecisionKind::kCancelled,
                            attempt.shard_state->name,
                            attempt.server->info().name, id);
    attempt.cancelled_at = now;
    // NOTE A server that still receives requests confirms the cancellation. The
    // connection is closed if no confirmation arrives.
    if (attempt.silent)
      timers_.Add({now + kCancelTimeout, TimerKind::kSilence, id});
    context_.actions->push_back(
        CancelAttempt{id, attempt.server->info().address, false});
  }
  if (progress.ticket) {
    query->plan.shards[shard]->queue.Remove(*progress.ticket);
    progress.ticket.reset();
  }
}

template <QueryStrategy S>
void CollectionRunner<S>::OnBatch(BatchId id,
                                  std::vector<ShardAnswer> answers,
                                  Time now) {
  const std::optional<BatchState> found = remote_.TakeBatch(id);
  if (!found)
    return;
  const BatchState& batch = *found;
  QueryState* query = FindQuery(batch.query);
  if (query == nullptr)
    return;
  for (std::uint32_t shard : batch.shards) {
    query->shards[shard].in_batch = false;
    const std::string& name = query->plan.shards[shard]->name;
    const auto answer = std::find_if(
        answers.begin(), answers.end(),
        [&](const ShardAnswer& entry) { return entry.shard == name; });
    if (answer != answers.end())
      OnRemoteAnswer(query, shard, batch.data_centre, std::move(*answer), now);
    else
      OnRemoteRefusal(query, shard, batch.data_centre,
                      ResultCode::kPeerUnreachable, now);
  }
  FlushBatches(query, now);
  MaybeFinish(batch.query, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::OnRemoteAnswer(QueryState* query,
                                         std::uint32_t shard,
                                         const std::string& data_centre,
                                         ShardAnswer answer,
                                         Time now) {
  ShardState& state = *query->plan.shards[shard];
  if (!answer.held.empty())
    state.remote_held = answer.held;
  if (query->shards[shard].status != ShardStatus::kOpen)
    return;
  if (answer.code != ResultCode::kOk) {
    return OnRemoteRefusal(query, shard, data_centre, answer.code, now);
  }
  if (!query->Accepts(answer.snapshot)) {
    return OnRemoteRefusal(query, shard, data_centre,
                           ResultCode::kVersionNotHeld, now);
  }
  query->decision_log.Add(now, DecisionKind::kAnswered, state.name,
                          data_centre);
  OnShardAnswered(query, shard, std::move(answer), now);
}

template <QueryStrategy S>
void CollectionRunner<S>::OnRemoteRefusal(QueryState* query,
                                          std::uint32_t shard,
                                          const std::string& data_centre,
                                          ResultCode reason,
                                          Time now) {
  if (query->shards[shard].status != ShardStatus::kOpen)
    return;
  query->decision_log.Add(now, DecisionKind::kRefused,
                          query->plan.shards[shard]->name, data_centre, 0,
                          reason);
  const ShardProgress& progress = query->shards[shard];
  const bool is_pending_locally =
      !progress.in_flight.empty() || progress.ticket;
  if (!is_pending_locally && !DelegateShard(query, shard))
    GiveUpShard(query, shard, reason, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::OnProbe(const std::string& name,
                                  const std::optional<ServerReport>& report,
                                  Time now) {
  const auto found = local_servers_.servers().find(name);
  if (found == local_servers_.servers().end())
    return;
  if (report)
    found->second->OnReport(*report, now);
  else
    found->second->OnProbeFailed(now, context_.random);
  DispatchQueuesOf(*found->second, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::MaybeFinish(QueryId id, Time now) {
  QueryState* query = FindQuery(id);
  if (query == nullptr)
    return;
  const bool shard_given_up = query->CountGivenUp() > 0;
  if (query->open_shards > 0 && !shard_given_up)
    return;
  if (query->HasSnapshotConflict() &&
      (RestartOnNewMap(query, now) || Repin(query, now)))
    return;
  if (query->open_shards > 0 && !RequiresFullCoverage(query->request))
    return;
  Finish(query, ResultCode::kAnswerLate, now);
}

template <QueryStrategy S>
bool CollectionRunner<S>::RestartOnNewMap(QueryState* query, Time now) {
  if (query->plan.map_epoch == local_servers_.plan().map_epoch ||
      query->restarts >= kMaxRestarts || !query->request.only_shards.empty() ||
      query->answers.CountAt(query->answers.BestSnapshot()) ==
          query->shards.size()) {
    return false;
  }
  remote_.DropBatchesOf(query->id);
  for (std::uint32_t shard = 0; shard < query->shards.size(); ++shard)
    CancelLiveAttempts(query, shard, now);
  ++query->restarts;
  query->plan = local_servers_.plan();
  query->shards.assign(local_servers_.plan().shards.size(), ShardProgress());
  query->answers = AnswerSet(local_servers_.plan().shards.size());
  query->open_shards =
      static_cast<std::uint32_t>(local_servers_.plan().shards.size());
  query->pinned = {local_servers_.plan().map_epoch,
                   ChooseVersion(local_servers_.plan(), now)};
  query->decision_log.Add(now, DecisionKind::kRepinned, "", "",
                          query->pinned.version, ResultCode::kMapNotHeld);
  LaunchAll(query->id, now);
  return true;
}

template <QueryStrategy S>
bool CollectionRunner<S>::Repin(QueryState* query, Time now) {
  const std::uint32_t total = static_cast<std::uint32_t>(query->shards.size());
  const std::uint32_t attainable =
      query->open_shards > 0
          ? total - query->CountGivenUp()
          : query->answers.CountAt(query->answers.BestSnapshot());
  if (attainable == total || query->repins >= kMaxRepins ||
      !query->request.only_shards.empty()) {
    return false;
  }
  const VersionChoice choice =
      ChooseAnotherVersion(query->plan, query->pinned.version, now);
  if (choice.version == 0 || choice.possible_shards <= attainable)
    return false;
  const Snapshot next{query->plan.map_epoch, choice.version};
  ++query->repins;
  query->pinned = next;
  query->decision_log.Add(now, DecisionKind::kRepinned, "", "", next.version,
                          ResultCode::kVersionNotHeld);
  remote_.DropBatchesOf(query->id);
  std::vector<std::uint32_t> shards_to_launch;
  for (std::uint32_t shard = 0; shard < query->shards.size(); ++shard) {
    if (query->answers.Has(shard, next))
      continue;
    CancelLiveAttempts(query, shard, now);
    ShardProgress& progress = query->shards[shard];
    if (progress.status != ShardStatus::kOpen)
      ++query->open_shards;
    progress.status = ShardStatus::kOpen;
    progress.in_batch = false;
    progress.excluded.clear();
    progress.data_centres_requested.clear();
    shards_to_launch.push_back(shard);
  }
  for (std::uint32_t shard : shards_to_launch)
    Launch(query, shard, now);
  FlushBatches(query, now);
  MaybeFinish(query->id, now);
  return true;
}

template <QueryStrategy S>
void CollectionRunner<S>::CutTail(QueryId id, Time now) {
  QueryState* query = FindQuery(id);
  if (query == nullptr)
    return;
  const double answered = query->answers.CountAt(
      query->pinned.version ? query->pinned : query->answers.BestSnapshot());
  if (answered <
      kMinTailCutCoverage * static_cast<double>(query->shards.size())) {
    timers_.Add({now + kTailCutRetryInterval, TimerKind::kTailCut, id});
    return;
  }
  query->decision_log.Add(now, DecisionKind::kTailCut, "", "");
  Finish(query, ResultCode::kAnswerLate, now);
}

template <QueryStrategy S>
void CollectionRunner<S>::Finish(QueryState* query,
                                 ResultCode missing_reason,
                                 Time now) {
  SearchAnswer answer = ComposeAnswer(
      *query, RequiresFullCoverage(query->request), missing_reason, now);
  if (answer.code == ResultCode::kOk)
    strategy_.OnQueryDone(answer.took);
  const QueryId id = query->id;
  const bool explain = query->request.explain;
  for (std::uint32_t shard = 0; shard < query->shards.size(); ++shard)
    CancelLiveAttempts(query, shard, now);
  if (explain)
    answer.decisions = query->decision_log.decisions();
  RemoveQuery(query);
  context_.actions->push_back(ReplySearch{id, std::move(answer)});
}

template <QueryStrategy S>
void CollectionRunner<S>::RemoveQuery(QueryState* query) {
  context_.archive->Add(query->request.request_id, query->decision_log.Take());
  queries_.erase(query->id);
}

template <QueryStrategy S>
void CollectionRunner<S>::Abandon(QueryId id, Time now) {
  QueryState* query = FindQuery(id);
  if (query == nullptr)
    return;
  for (std::uint32_t shard = 0; shard < query->shards.size(); ++shard)
    CancelLiveAttempts(query, shard, now);
  query->decision_log.Add(now, DecisionKind::kGaveUp, "", "", 0,
                          ResultCode::kCallerLeft);
  RemoveQuery(query);
}

template <QueryStrategy S>
QueryState* CollectionRunner<S>::FindQuery(QueryId id) {
  const auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : found->second.get();
}

template <QueryStrategy S>
void CollectionRunner<S>::RunTimer(const Timer& timer, Time now) {
  switch (timer.kind) {
    case TimerKind::kQueryEnd:
      if (QueryState* query = FindQuery(timer.id))
        Finish(query, ResultCode::kAnswerLate, now);
      return;
    case TimerKind::kTailCut:
      return CutTail(timer.id, now);
    case TimerKind::kHedge:
      return Hedge(timer.id, now);
    case TimerKind::kSilence:
      return OnSilenceTimeout(timer.id, now);
  }
}

template <QueryStrategy S>
void CollectionRunner<S>::ProbeServers(Time now) {
  for (const auto& [name, server] : local_servers_.servers()) {
    if (!server->IsProbeDue(now))
      continue;
    server->OnProbeSent(now);
    context_.actions->push_back(
        ProbeServer{collection_->name, name, server->info().address});
  }
}

template <QueryStrategy S>
Time CollectionRunner<S>::Tick(Time now) {
  while (timers_.next() <= now)
    RunTimer(timers_.Take(), now);
  if (now >= next_probe_round_) {
    ProbeServers(now);
    next_probe_round_ = now + kProbeRoundInterval;
  }
  const auto waiting = queued_shards_;
  for (const auto& shard : waiting)
    DispatchQueue(shard, now);
  std::erase_if(queued_shards_,
                [](const auto& shard) { return shard->queue.empty(); });
  Time next = std::min(timers_.next(), next_probe_round_);
  if (!queued_shards_.empty())
    next = std::min(next, now + kQueueCheckInterval);
  return next;
}

template class CollectionRunner<AdaptiveStrategy>;
template class CollectionRunner<BaselineStrategy>;

}  // namespace limpetrudder::detail
