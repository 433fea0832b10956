#include "app/search_duty.h"

#include <utility>

#include "app/internal/json_api.h"
#include "framework/http_status.h"
#include "framework/logger.h"
#include "query/answer_json.h"

namespace limpetrudder {

SearchDuty::SearchDuty(QueryEngineSettings settings,
                       InstanceState* instance_state,
                       TargetClient* targets,
                       PeerClient* peers)
    : engine_(settings),
      instance_state_(instance_state),
      targets_(targets),
      peers_(peers) {}

void SearchDuty::Handle(SearchEvent event, Time now) {
  std::visit([&](auto& typed) { On(std::move(typed), now); }, event);
  ExecuteActions(now);
}

Time SearchDuty::Tick(Time now) {
  guard_.OnTick(now);
  Time next = engine_.Tick(now);
  ExecuteActions(now);
  return std::min(next, now + RevisionGuard::kMaxTickInterval);
}

bool SearchDuty::MustRefuseWork(Time now) {
  guard_.OnTick(now);
  guard_.OnConfirmed(instance_state_->confirmed());
  return !guard_.MayTakeWork(now);
}

void SearchDuty::StartSearch(PendingReply pending,
                             SearchRequest request,
                             bool forwarded,
                             Time now) {
  const QueryId query = next_query_++;
  pending.request_id = request.request_id;
  pending.received = now;
  if (pending.connection != 0)
    queries_by_connection_.emplace(pending.connection, query);
  pending_replies_.emplace(query, std::move(pending));
  if (MustRefuseWork(now)) {
    SearchAnswer answer;
    answer.request_id = request.request_id;
    answer.code = ResultCode::kCheckingRevision;
    answer.retry_after = RevisionGuard::kMaxCheckTime;
    return Execute(ReplySearch{query, std::move(answer)}, now);
  }
  engine_.OnSearch(query, std::move(request), forwarded, now);
}

void SearchDuty::On(CallerSearch event, Time now) {
  PendingReply pending;
  pending.connection = event.connection;
  pending.respond = std::move(event.respond);
  StartSearch(std::move(pending), std::move(event.request), false, now);
}

void SearchDuty::On(PeerSearchCall event, Time now) {
  PendingReply pending;
  pending.reply_search = std::move(event.reply);
  StartSearch(std::move(pending), std::move(event.search.request), true, now);
}

void SearchDuty::On(PeerShardsCall event, Time now) {
  PendingReply pending;
  pending.reply_shards = std::move(event.reply);
  StartSearch(std::move(pending), std::move(event.search.request), true, now);
}

void SearchDuty::On(const CallerDisconnected& event, Time now) {
  const auto range = queries_by_connection_.equal_range(event.connection);
  std::vector<QueryId> queries;
  for (auto it = range.first; it != range.second; ++it)
    queries.push_back(it->second);
  for (QueryId query : queries) {
    instance_state_->metrics().Add("callers_left");
    engine_.OnCallerLeft(query, now);
    RemovePendingReply(query);
  }
}

void SearchDuty::On(const AttemptResult& event, Time now) {
  if (event.code == ResultCode::kAnswerCrossed)
    instance_state_->metrics().Add("answers_crossed");
  engine_.OnAttempt(event, now);
}

void SearchDuty::On(BatchEnded event, Time now) {
  engine_.OnBatch(event.batch,
                  event.reply ? std::move(event.reply->answers)
                              : std::vector<ShardAnswer>(),
                  now);
}

void SearchDuty::On(ForwardEnded event, Time now) {
  const auto pending = pending_replies_.find(event.query);
  if (pending == pending_replies_.end())
    return engine_.OnForward(event.query, ForwardOutcome::kAnswered, now);
  if (!event.reply)
    return engine_.OnForward(event.query, ForwardOutcome::kFailed, now);
  const bool try_next = event.reply->not_run &&
                        event.reply->http_status == http_status::kUnavailable;
  if (try_next)
    return engine_.OnForward(event.query, ForwardOutcome::kNotRun, now);
  engine_.OnForward(event.query, ForwardOutcome::kAnswered, now);
  instance_state_->metrics().Record("search_forwarded",
                                    now - pending->second.received);
  pending->second.respond(
      {event.reply->http_status, std::move(event.reply->body)});
  RemovePendingReply(event.query);
}

void SearchDuty::On(const ProbeEnded& event, Time now) {
  engine_.OnProbe(event.probe.collection, event.probe.server, event.report,
                  now);
}

void SearchDuty::On(const ConfigChanged& event, Time now) {
  engine_.OnConfig(event.config, now);
  targets_->SetConnectionLimit(engine_.ConnectionLimit());
}

void SearchDuty::On(const FleetChanged& event, Time now) {
  peer_addresses_.clear();
  for (const auto& instance : event.instances)
    peer_addresses_[instance.name] = instance.peer_address;
  engine_.OnInstances(event.instances, now);
  targets_->SetConnectionLimit(engine_.ConnectionLimit());
}

void SearchDuty::On(const LeavingChanged& event, Time now) {
  engine_.OnListedLeaving(event.servers, now);
}

void SearchDuty::On(const ExplainRequest& event, Time) {
  const auto* decisions = engine_.Explain(event.request_id);
  if (decisions == nullptr) {
    return event.respond(
        {http_status::kNotFound,
         RefusalBody(ResultCode::kRequestNotKept,
                     "no decisions are kept for this request here")});
  }
  const nlohmann::ordered_json body = {
      {"request_id", event.request_id},
      {"decisions", WriteDecisions(*decisions)}};
  event.respond({http_status::kOk, body.dump()});
}

void SearchDuty::On(const ServersRequest& event, Time) {
  auto list = nlohmann::ordered_json::array();
  for (const auto& view : engine_.Servers()) {
    auto held = nlohmann::ordered_json::array();
    for (const auto& snapshot : view.held)
      held.push_back({snapshot.map_epoch, snapshot.version});
    list.push_back(
        {{"collection", view.collection},
         {"server", view.server},
         {"standing", NameOf(kServerAvailabilityNames, view.availability)},
         {"in_flight", view.in_flight},
         {"limit", view.limit},
         {"held", std::move(held)}});
  }
  const nlohmann::ordered_json body = {{"servers", std::move(list)}};
  event.respond({http_status::kOk, body.dump()});
}

void SearchDuty::On(const StopSearches& event, Time) {
  engine_.Stop();
  std::vector<std::string> running;
  for (const auto& [query, pending] : pending_replies_)
    running.push_back(pending.request_id);
  event.report(std::move(running));
}

void SearchDuty::ExecuteActions(Time now) {
  for (auto& action : engine_.TakeActions())
    std::visit([&](auto& typed) { Execute(std::move(typed), now); }, action);
}

void SearchDuty::Execute(const SendAttempt& action, Time now) {
  instance_state_->metrics().Add("sub_queries");
  targets_->Send(action, now);
}

void SearchDuty::Execute(const CancelAttempt& action, Time) {
  instance_state_->metrics().Add(
      action.close_connection ? "connections_given_up" : "attempts_cancelled");
  targets_->Cancel(action);
}

void SearchDuty::Execute(const ProbeServer& action, Time) {
  targets_->Probe(action);
}

std::string SearchDuty::PeerAddressOf(const std::string& instance) const {
  const auto found = peer_addresses_.find(instance);
  return found == peer_addresses_.end() ? std::string() : found->second;
}

void SearchDuty::Execute(SendBatch action, Time now) {
  instance_state_->metrics().Add("batches_sent");
  const BatchId batch = action.batch;
  peers_->Shards(
      PeerAddressOf(action.peer),
      {std::move(action.request), instance_state_->revision()}, now,
      [mailbox = mailbox_, batch](std::optional<PeerShardsReply> reply) {
        mailbox->PostResult(BatchEnded{batch, std::move(reply)});
      });
}

void SearchDuty::Execute(ForwardSearch action, Time now) {
  instance_state_->metrics().Add("searches_forwarded");
  const QueryId query = action.query;
  peers_->Search(
      PeerAddressOf(action.peer),
      {std::move(action.request), instance_state_->revision()}, now,
      [mailbox = mailbox_, query](std::optional<PeerSearchReply> reply) {
        mailbox->PostResult(ForwardEnded{query, std::move(reply)});
      });
}

void SearchDuty::RecordAnswer(const SearchAnswer& answer,
                              const PendingReply& pending,
                              Time now) {
  Metrics& metrics = instance_state_->metrics();
  if (pending.reply_shards) {
    metrics.Add("batches_answered");
    return;
  }
  metrics.Add("searches");
  metrics.Add("searches." + std::string(NameOf(answer.code)));
  metrics.Add("extra_sub_queries", answer.extra_sub_queries);
  metrics.Add("shards_asked", answer.coverage.shards_total);
  metrics.Add("shards_answered", answer.coverage.shards_answered);
  metrics.Record(
      answer.execution == Execution::kNotRun ? "search_refused" : "search",
      now - pending.received);
  Log(LogLevel::kDebug, "search",
      {{"request_id", answer.request_id},
       {"code", NumberOf(answer.code)},
       {"shards_total", answer.coverage.shards_total},
       {"shards_answered", answer.coverage.shards_answered},
       {"took_ms", ToMillis(now - pending.received)}});
}

void SearchDuty::Execute(ReplySearch action, Time now) {
  const auto found = pending_replies_.find(action.query);
  if (found == pending_replies_.end())
    return;
  const PendingReply& pending = found->second;
  SearchAnswer& answer = action.answer;
  RecordAnswer(answer, pending, now);
  if (pending.reply_shards) {
    pending.reply_shards(
        {std::move(answer.shard_answers), instance_state_->revision()});
  } else {
    ServerResponse response = ToResponse(answer);
    if (pending.respond) {
      pending.respond(std::move(response));
    } else {
      pending.reply_search({response.status, std::move(response.body),
                            answer.execution == Execution::kNotRun,
                            instance_state_->revision()});
    }
  }
  RemovePendingReply(action.query);
}

void SearchDuty::RemovePendingReply(QueryId query) {
  const auto found = pending_replies_.find(query);
  if (found == pending_replies_.end())
    return;
  const auto range =
      queries_by_connection_.equal_range(found->second.connection);
  for (auto it = range.first; it != range.second; ++it) {
    if (it->second == query) {
      queries_by_connection_.erase(it);
      break;
    }
  }
  pending_replies_.erase(found);
}

}  // namespace limpetrudder
