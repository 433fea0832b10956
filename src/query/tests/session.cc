#include "query/tests/session.h"

#include <algorithm>
#include <utility>

#include "query/answer_json.h"

namespace limpetrudder {
namespace {

constexpr Duration kNetworkDelay = Millis(1);

std::string ShardName(int shard) {
  return "shard-" + std::to_string(shard);
}

std::string ServerName(int shard, int replica) {
  return ShardName(shard) + "-" + std::to_string(replica);
}

std::shared_ptr<Collection> MakeCollection(const SessionOptions& options) {
  auto collection = std::make_shared<Collection>();
  collection->name = "catalogue";
  collection->map_epoch = 1;
  collection->coverage_policy =
      *ValueOf(kCoveragePolicyNames, std::string_view(options.policy));
  collection->strategy =
      *ValueOf(kStrategyNames, std::string_view(options.strategy));
  collection->deadline = Millis(290);
  collection->extra_load = options.extra_load_percent / 100;
  Service service{"service", {}};
  for (int shard = 0; shard < options.shards; ++shard) {
    Shard entry{ShardName(shard), {}};
    for (int replica = 0; replica < options.servers_per_shard; ++replica) {
      const std::string name = ServerName(shard, replica);
      entry.servers.push_back({name, name, "kingston", 2, 25, false});
    }
    service.shards.push_back(std::move(entry));
  }
  collection->services.push_back(std::move(service));
  return collection;
}

}  // namespace

Session::Session(const SessionOptions& options)
    : engine_(std::make_unique<QueryEngine>(
          QueryEngineSettings{"kingston-0", "kingston", options.seed})),
      collection_(MakeCollection(options)) {
  for (int shard = 0; shard < options.shards; ++shard) {
    for (int replica = 0; replica < options.servers_per_shard; ++replica)
      servers_[ServerName(shard, replica)];
  }
  std::vector<Instance> instances;
  for (int i = 0; i < options.instances; ++i) {
    const std::string name = "kingston-" + std::to_string(i);
    instances.push_back({name, "kingston", name});
  }
  engine_->OnInstances(instances, now_);
  Reconfigure([](Collection*) {});
}

FakeServer& Session::server(int shard, int replica) {
  return servers_.at(ServerName(shard, replica));
}

void Session::Reconfigure(const std::function<void(Collection*)>& change) {
  auto collection = std::make_shared<Collection>(*collection_);
  change(collection.get());
  collection_ = collection;
  auto config = std::make_shared<ConfigInForce>();
  config->revision = ++revision_;
  config->document.data_centres = {{"kingston", "jamaica"},
                                   {"montego", "jamaica"}};
  config->document.collections = {collection_};
  engine_->OnConfig(std::move(config), now_);
  ExecuteActions();
}

QueryId Session::Search(CallerClass caller_class, Duration deadline) {
  SearchRequest request;
  request.collection = "catalogue";
  request.terms = "gold";
  request.caller_class = caller_class;
  request.deadline = now_ + deadline;
  return SearchAs(std::move(request));
}

QueryId Session::SearchAs(SearchRequest request, bool is_forwarded) {
  const QueryId query = next_query_++;
  request.request_id = "r" + std::to_string(query);
  WriteLine("search " + request.request_id + " by " +
            std::string(NameOf(kCallerClassNames, request.caller_class)));
  engine_->OnSearch(query, std::move(request), is_forwarded, now_);
  ExecuteActions();
  return query;
}

SearchAnswer Session::Ask(CallerClass caller_class, Duration deadline) {
  const QueryId query = Search(caller_class, deadline);
  Run(deadline + Millis(1));
  return answer(query);
}

void Session::WarmUp(int count, Duration interval) {
  for (int i = 0; i < count; ++i) {
    Search();
    Run(interval);
  }
  transcript_.clear();
}

void Session::Run(Duration duration) {
  const Time end = now_ + duration;
  Time next_tick = engine_->Tick(now_);
  ExecuteActions();
  while (true) {
    const Time event = events_.empty() ? kNever : events_.begin()->first;
    const Time next = std::min(next_tick, event);
    if (next > end)
      break;
    now_ = std::max(now_, next);
    if (event <= next_tick) {
      auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
      ExecuteActions();
    }
    next_tick = engine_->Tick(now_);
    ExecuteActions();
  }
  now_ = end;
}

void Session::Schedule(Duration delay, std::function<void()> action) {
  events_.emplace(now_ + delay, std::move(action));
}

void Session::ExecuteActions() {
  for (const auto& action : engine_->TakeActions())
    std::visit([&](const auto& entry) { Execute(entry); }, action);
}

AttemptResult Session::MakeResult(const SendAttempt& action, ResultCode code) {
  AttemptResult result;
  result.attempt = action.attempt;
  result.code = code;
  const FakeServer& server = servers_.at(action.server);
  result.has_report = code != ResultCode::kConnectFailed;
  result.report.draining = server.draining;
  result.report.held = server.held;
  result.retry_after = Millis(20);
  return result;
}

void Session::CompleteAttempt(const SendAttempt& action, ResultCode code) {
  if (live_attempts_.erase(action.attempt) == 0)
    return;
  engine_->OnAttempt(MakeResult(action, code), now_);
}

void Session::Execute(const SendAttempt& action) {
  WriteLine("send " + action.shard + " to " + action.server + " version " +
            std::to_string(action.snapshot.version) +
            (action.fresh_connection ? " on a fresh connection" : ""));
  ++sent;
  live_attempts_[action.attempt] = action;
  FakeServer& server = servers_.at(action.server);
  if (server.dead) {
    return Schedule(kNetworkDelay, [this, action] {
      CompleteAttempt(action, ResultCode::kConnectFailed);
    });
  }
  if (server.silent || (server.silent_if_reused && !action.fresh_connection)) {
    unanswered_.insert(action.attempt);
    return;
  }
  Schedule(kNetworkDelay, [this, action] {
    FakeServer& target = servers_.at(action.server);
    ++target.requests;
    const bool map_held = std::any_of(
        target.held.begin(), target.held.end(), [&](const Snapshot& held) {
          return held.map_epoch == action.snapshot.map_epoch;
        });
    const bool held = action.snapshot.version == 0 ||
                      std::find(target.held.begin(), target.held.end(),
                                action.snapshot) != target.held.end();
    if (target.draining)
      return CompleteAttempt(action, ResultCode::kServerLeaving);
    if (target.shedding)
      return CompleteAttempt(action, ResultCode::kServerShed);
    if (target.failing)
      return CompleteAttempt(action, ResultCode::kServerFailed);
    if (!map_held)
      return CompleteAttempt(action, ResultCode::kMapNotHeld);
    if (!held)
      return CompleteAttempt(action, ResultCode::kVersionNotHeld);
    target.max_in_flight =
        std::max(target.max_in_flight,
                 target.running + static_cast<int>(target.waiting.size()) + 1);
    if (target.running < target.slots)
      return StartWork(&target, action);
    target.waiting.push_back(
        [this, &target, action] { StartWork(&target, action); });
  });
}

void Session::StartWork(FakeServer* server, const SendAttempt& action) {
  ++server->running;
  Schedule(server->service, [this, server, action] {
    --server->running;
    ++server->finished;
    if (!server->waiting.empty()) {
      auto next = std::move(server->waiting.front());
      server->waiting.pop_front();
      next();
    }
    if (live_attempts_.erase(action.attempt) == 0)
      return;
    AttemptResult result = MakeResult(action, ResultCode::kOk);
    if (server->crossed)
      result.code = ResultCode::kAnswerCrossed;
    result.answer.shard = action.shard;
    result.answer.snapshot =
        action.snapshot.version != 0 ? action.snapshot : server->held.back();
    result.answer.hits = {{action.shard + "-hit", action.shard, 1.0}};
    engine_->OnAttempt(result, now_);
  });
}

void Session::Execute(const CancelAttempt& action) {
  WriteLine(std::string(action.close_connection ? "close the connection to "
                                                : "cancel at ") +
            action.address);
  if (action.close_connection) {
    ++closed_connections;
    live_attempts_.erase(action.attempt);
    return;
  }
  const auto found = live_attempts_.find(action.attempt);
  if (found == live_attempts_.end())
    return;
  ++servers_.at(action.address).cancelled;
  const SendAttempt attempt = found->second;
  if (unanswered_.count(action.attempt))
    return;
  Schedule(kNetworkDelay, [this, attempt] {
    CompleteAttempt(attempt, ResultCode::kAttemptCancelled);
  });
}

void Session::Execute(const ProbeServer& action) {
  Schedule(kNetworkDelay, [this, action] {
    const FakeServer& server = servers_.at(action.server);
    std::optional<ServerReport> report;
    if (!server.dead && !server.silent)
      report = ServerReport{server.draining, server.held};
    engine_->OnProbe(action.collection, action.server, report, now_);
  });
}

void Session::Execute(const SendBatch& action) {
  WriteLine("ask " + action.peer + " for " +
            std::to_string(action.request.only_shards.size()) + " shards");
  asked.push_back(action);
}

void Session::Execute(const ForwardSearch& action) {
  WriteLine("forward " + action.request.request_id + " to " + action.peer);
  forwarded.push_back(action);
}

void Session::Execute(const ReplySearch& action) {
  WriteLine("reply " + WriteAnswer(action.answer).dump());
  answers_[action.query] = action.answer;
}

void Session::Note(const std::string& text) {
  WriteLine("# " + text);
}

void Session::WriteLine(const std::string& line) {
  const auto elapsed = (now_ - (Time() + Seconds(1000))).count();
  char timestamp[32];
  std::snprintf(timestamp, sizeof(timestamp), "%9.3f ",
                static_cast<double>(elapsed) / 1000.0);
  transcript_ += timestamp + line + "\n";
}

}  // namespace limpetrudder
