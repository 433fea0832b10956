#include "query/query_engine.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "config/document.h"
#include "framework/hash.h"

namespace limpetrudder {
namespace {

// The upper bits of an attempt or batch id are the number of its runner.
constexpr int kRunnerShift = 40;
constexpr std::uint32_t kMaxForwards = 2;
constexpr Duration kRetryAfterRefusal = Millis(100);

std::string RegionOf(const Document& document, std::string_view data_centre) {
  for (const auto& entry : document.data_centres) {
    if (entry.name == data_centre)
      return entry.region;
  }
  return std::string();
}

}  // namespace

QueryEngine::QueryEngine(QueryEngineSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {}

void QueryEngine::OnConfig(std::shared_ptr<const ConfigInForce> config, Time) {
  config_ = std::move(config);
  ReconfigureRunners();
}

void QueryEngine::OnInstances(std::vector<Instance> instances, Time) {
  instances_ = std::move(instances);
  ReconfigureRunners();
}

void QueryEngine::OnListedLeaving(std::set<std::string> servers, Time) {
  listed_leaving_ = std::move(servers);
  for (auto& [number, slot] : runners_) {
    std::visit([&](auto& runner) { runner->SetListedLeaving(listed_leaving_); },
               slot.runner);
  }
}

CoordinatorList QueryEngine::CoordinatorsIn(
    const Collection& collection,
    const std::string& data_centre) const {
  std::vector<std::string> names;
  for (const auto& instance : instances_) {
    if (instance.data_centre == data_centre)
      names.push_back(instance.name);
  }
  return FindCoordinators(collection, data_centre, names);
}

bool QueryEngine::IsCoordinator(const CoordinatorList& coordinators) const {
  return std::find(coordinators.names.begin(), coordinators.names.end(),
                   settings_.instance) != coordinators.names.end();
}

CoordinatorPlan QueryEngine::PlanFor(
    const CoordinatorList& coordinators) const {
  // NOTE An instance with another list of live instances may forward a search
  // here although this instance is not a coordinator. Such searches use one of
  // the connections reserved for this case.
  if (!IsCoordinator(coordinators))
    return {std::max<std::uint32_t>(coordinators.plan.coordinators, 1), 1};
  return coordinators.plan;
}

std::vector<detail::RemoteCoordinators> QueryEngine::RemoteCoordinatorsOf(
    const Collection& collection) const {
  const std::string region = RegionOf(config_->document, settings_.data_centre);
  std::vector<detail::RemoteCoordinators> same_region;
  std::vector<detail::RemoteCoordinators> other_regions;
  for (const auto& data_centre : config_->document.data_centres) {
    if (data_centre.name == settings_.data_centre)
      continue;
    CoordinatorList coordinators = CoordinatorsIn(collection, data_centre.name);
    if (coordinators.names.empty())
      continue;
    auto& list = data_centre.region == region ? same_region : other_regions;
    list.push_back({data_centre.name, std::move(coordinators.names)});
  }
  same_region.insert(same_region.end(),
                     std::make_move_iterator(other_regions.begin()),
                     std::make_move_iterator(other_regions.end()));
  return same_region;
}

QueryEngine::Runner QueryEngine::MakeRunner(
    std::shared_ptr<const Collection> collection,
    CoordinatorPlan plan) {
  const std::uint64_t first_id = next_runner_ << kRunnerShift;
  detail::RunnerContext context{&actions_, &random_, &archive_,
                                settings_.data_centre};
  if (collection->strategy == Strategy::kBaseline) {
    return std::make_unique<detail::CollectionRunner<detail::BaselineStrategy>>(
        std::move(collection), plan, std::move(context), first_id);
  }
  return std::make_unique<detail::CollectionRunner<detail::AdaptiveStrategy>>(
      std::move(collection), plan, std::move(context), first_id);
}

QueryEngine::RunnerSlot* QueryEngine::FindOrAddRunner(const std::string& name) {
  const auto known = runner_numbers_.find(name);
  if (known != runner_numbers_.end())
    return &runners_.at(known->second);
  for (const auto& collection : config_->document.collections) {
    if (collection->name != name)
      continue;
    const CoordinatorList coordinators =
        CoordinatorsIn(*collection, settings_.data_centre);
    RunnerSlot slot;
    slot.runner = MakeRunner(collection, PlanFor(coordinators));
    slot.strategy = collection->strategy;
    slot.retired = !IsCoordinator(coordinators);
    std::visit(
        [&](auto& runner) {
          runner->SetRemoteCoordinators(RemoteCoordinatorsOf(*collection));
          runner->SetListedLeaving(listed_leaving_);
        },
        slot.runner);
    const std::uint64_t number = next_runner_++;
    runner_numbers_[name] = number;
    return &runners_.emplace(number, std::move(slot)).first->second;
  }
  return nullptr;
}

void QueryEngine::ReconfigureRunners() {
  if (!config_)
    return;
  std::set<std::string> wanted;
  for (const auto& collection : config_->document.collections) {
    const CoordinatorList coordinators =
        CoordinatorsIn(*collection, settings_.data_centre);
    const bool is_coordinator = IsCoordinator(coordinators);
    auto known = runner_numbers_.find(collection->name);
    if (known != runner_numbers_.end() &&
        runners_.at(known->second).strategy != collection->strategy) {
      runners_.at(known->second).retired = true;
      runner_numbers_.erase(known);
      known = runner_numbers_.end();
    }
    if (known == runner_numbers_.end()) {
      if (is_coordinator)
        FindOrAddRunner(collection->name);
    } else {
      std::visit(
          [&](auto& runner) {
            runner->Reconfigure(collection, PlanFor(coordinators));
            runner->SetRemoteCoordinators(RemoteCoordinatorsOf(*collection));
          },
          runners_.at(known->second).runner);
      runners_.at(known->second).retired = !is_coordinator;
    }
    wanted.insert(collection->name);
  }
  for (auto entry = runner_numbers_.begin(); entry != runner_numbers_.end();) {
    if (wanted.count(entry->first)) {
      ++entry;
      continue;
    }
    runners_.at(entry->second).retired = true;
    entry = runner_numbers_.erase(entry);
  }
}

void QueryEngine::Refuse(QueryId query,
                         const SearchRequest& request,
                         ResultCode code,
                         Execution execution) {
  SearchAnswer answer;
  answer.request_id = request.request_id;
  answer.code = code;
  answer.execution = execution;
  answer.retry_after = kRetryAfterRefusal;
  actions_.push_back(ReplySearch{query, std::move(answer)});
}

void QueryEngine::OnSearch(QueryId query,
                           SearchRequest request,
                           bool forwarded,
                           Time now) {
  if (stopping_) {
    return Refuse(query, request, ResultCode::kStopping, Execution::kNotRun);
  }
  if (!config_) {
    return Refuse(query, request, ResultCode::kNotReady, Execution::kNotRun);
  }
  const Collection* collection =
      FindCollection(config_->document, request.collection);
  if (collection == nullptr) {
    return Refuse(query, request, ResultCode::kCollectionUnknown,
                  Execution::kNotRun);
  }
  const CoordinatorList coordinators =
      CoordinatorsIn(*collection, settings_.data_centre);
  if (!forwarded && !IsCoordinator(coordinators) &&
      !coordinators.names.empty()) {
    Forward& forward = forwards_[query];
    forward.request = std::move(request);
    forward.decision_log.Begin(now);
    return ForwardNext(query, now);
  }
  RunnerSlot* slot = FindOrAddRunner(request.collection);
  query_runner_[query] = runner_numbers_.at(request.collection);
  std::visit(
      [&](auto& runner) { runner->Start(query, std::move(request), now); },
      slot->runner);
}

void QueryEngine::ForwardNext(QueryId query, Time now) {
  const auto found = forwards_.find(query);
  Forward& forward = found->second;
  const Collection* collection =
      FindCollection(config_->document, forward.request.collection);
  const CoordinatorList coordinators =
      collection == nullptr
          ? CoordinatorList()
          : CoordinatorsIn(*collection, settings_.data_centre);
  if (coordinators.names.empty() || forward.tries >= kMaxForwards ||
      forward.request.deadline <= now) {
    Refuse(query, forward.request, ResultCode::kNoHome,
           forward.may_have_run ? Execution::kUnknown : Execution::kNotRun);
    archive_.Add(forward.request.request_id, forward.decision_log.Take());
    forwards_.erase(found);
    return;
  }
  // NOTE The hash of the request id picks the first coordinator, which spreads
  // an entry instance's searches. Each retry uses the next coordinator.
  const std::size_t first = static_cast<std::size_t>(
      Hash64(forward.request.request_id) % coordinators.names.size());
  const std::size_t pick = (first + forward.tries) % coordinators.names.size();
  ++forward.tries;
  forward.decision_log.Add(now, DecisionKind::kForwarded, "",
                           coordinators.names[pick]);
  actions_.push_back(
      ForwardSearch{query, coordinators.names[pick], forward.request});
}

void QueryEngine::OnForward(QueryId query, ForwardOutcome outcome, Time now) {
  const auto found = forwards_.find(query);
  if (found == forwards_.end())
    return;
  Forward& forward = found->second;
  if (outcome == ForwardOutcome::kAnswered) {
    archive_.Add(forward.request.request_id, forward.decision_log.Take());
    forwards_.erase(found);
    return;
  }
  if (outcome == ForwardOutcome::kFailed)
    forward.may_have_run = true;
  forward.decision_log.Add(now, DecisionKind::kRefused, "", "", 0,
                           outcome == ForwardOutcome::kFailed
                               ? ResultCode::kPeerUnreachable
                               : ResultCode::kNoHome);
  ForwardNext(query, now);
}

void QueryEngine::OnCallerLeft(QueryId query, Time now) {
  forwards_.erase(query);
  const auto found = query_runner_.find(query);
  if (found == query_runner_.end())
    return;
  const auto slot = runners_.find(found->second);
  if (slot != runners_.end()) {
    std::visit([&](auto& runner) { runner->Abandon(query, now); },
               slot->second.runner);
  }
  query_runner_.erase(found);
}

QueryEngine::RunnerSlot* QueryEngine::RunnerOfId(std::uint64_t id) {
  const auto found = runners_.find(id >> kRunnerShift);
  return found == runners_.end() ? nullptr : &found->second;
}

void QueryEngine::OnAttempt(const AttemptResult& result, Time now) {
  if (RunnerSlot* slot = RunnerOfId(result.attempt)) {
    std::visit([&](auto& runner) { runner->OnAttempt(result, now); },
               slot->runner);
  }
}

void QueryEngine::OnBatch(BatchId batch,
                          std::vector<ShardAnswer> answers,
                          Time now) {
  if (RunnerSlot* slot = RunnerOfId(batch)) {
    std::visit(
        [&](auto& runner) { runner->OnBatch(batch, std::move(answers), now); },
        slot->runner);
  }
}

void QueryEngine::OnProbe(const std::string& collection,
                          const std::string& server,
                          const std::optional<ServerReport>& report,
                          Time now) {
  const auto known = runner_numbers_.find(collection);
  if (known == runner_numbers_.end())
    return;
  std::visit([&](auto& runner) { runner->OnProbe(server, report, now); },
             runners_.at(known->second).runner);
}

bool QueryEngine::idle() const {
  return forwards_.empty() && query_runner_.empty();
}

Time QueryEngine::Tick(Time now) {
  Time next = kNever;
  for (auto entry = runners_.begin(); entry != runners_.end();) {
    RunnerSlot& slot = entry->second;
    std::visit([&](auto& runner) { next = std::min(next, runner->Tick(now)); },
               slot.runner);
    const bool idle =
        std::visit([](auto& runner) { return runner->idle(); }, slot.runner);
    if (!slot.retired || !idle) {
      ++entry;
      continue;
    }
    std::erase_if(runner_numbers_, [&](const auto& known) {
      return known.second == entry->first;
    });
    entry = runners_.erase(entry);
  }
  return next;
}

std::vector<QueryAction> QueryEngine::TakeActions() {
  for (const auto& action : actions_) {
    if (const auto* reply = std::get_if<ReplySearch>(&action))
      query_runner_.erase(reply->query);
  }
  return std::exchange(actions_, {});
}

std::vector<ServerView> QueryEngine::Servers() const {
  std::vector<ServerView> views;
  for (const auto& [number, slot] : runners_) {
    std::visit(
        [&](const auto& runner) {
          for (const auto& [name, server] : runner->servers()) {
            views.push_back({runner->collection().name, name,
                             server->availability(), server->in_flight(),
                             server->limit(), server->report().held});
          }
        },
        slot.runner);
  }
  return views;
}

std::uint32_t QueryEngine::ConnectionLimit() const {
  std::uint32_t limit = std::numeric_limits<std::uint32_t>::max();
  for (const auto& [number, slot] : runners_) {
    const CoordinatorPlan plan = std::visit(
        [](const auto& runner) { return runner->coordinator_plan(); },
        slot.runner);
    if (plan.connections_per_coordinator > 0)
      limit = std::min(limit, plan.connections_per_coordinator);
  }
  return limit;
}

std::vector<std::string> QueryEngine::CoordinatorsOf(
    std::string_view name) const {
  if (!config_)
    return {};
  const Collection* collection = FindCollection(config_->document, name);
  return collection == nullptr
             ? std::vector<std::string>()
             : CoordinatorsIn(*collection, settings_.data_centre).names;
}

}  // namespace limpetrudder
