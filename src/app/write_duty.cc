#include "app/write_duty.h"

#include <algorithm>
#include <utility>

#include "app/internal/json_api.h"
#include "config/document.h"
#include "framework/hash.h"
#include "framework/http_status.h"
#include "framework/logger.h"
#include "routing/coordinator_plan.h"

namespace limpetrudder {
namespace {

constexpr Duration kLedgerCleanupInterval = Seconds(1);

WriteOutcome NotRun(ResultCode code, std::string message) {
  WriteOutcome outcome;
  outcome.code = code;
  outcome.state = WriteState::kNotRun;
  outcome.message = std::move(message);
  outcome.retry_after = Seconds(1);
  return outcome;
}

// Whether the server refused the write without running it.
bool IsServerRefusal(const WriteRunResult& result) {
  return result.result == RunResult::kReplied &&
         (result.server_status == http_status::kUnavailable ||
          result.server_status == http_status::kTooManyRequests);
}

}  // namespace

WriteDuty::WriteDuty(KeyLedgerSettings settings,
                     std::string data_centre,
                     InstanceState* instance_state,
                     TargetClient* targets,
                     PeerClient* peers)
    : instance_(settings.instance),
      data_centre_(std::move(data_centre)),
      ledger_(std::move(settings)),
      instance_state_(instance_state),
      targets_(targets),
      peers_(peers) {}

void WriteDuty::Handle(WriteEvent event, Time now) {
  std::visit([&](auto& typed) { On(std::move(typed), now); }, event);
  ExecuteActions(now);
}

Time WriteDuty::Tick(Time now) {
  guard_.OnTick(now);
  ledger_.RemoveExpired(now);
  return now + kLedgerCleanupInterval;
}

bool WriteDuty::MustRefuseWork(Time now) {
  guard_.OnTick(now);
  guard_.OnConfirmed(instance_state_->confirmed());
  return !guard_.MayTakeWork(now);
}

void WriteDuty::On(CallerWrite event, Time now) {
  WriteRequest& request = event.request;
  pending_replies_[request.request_id] = {request.key, std::move(event.respond),
                                          nullptr};
  if (MustRefuseWork(now)) {
    return Reply(request.request_id,
                 NotRun(ResultCode::kCheckingRevision,
                        "the instance was frozen and is checking its "
                        "configuration"));
  }
  if (event.action == WriteAction::kIssueKey)
    return IssueKey(request, now);
  const auto key = ParseKey(request.key);
  const bool live =
      key &&
      std::any_of(instances_.begin(), instances_.end(),
                  [&](const Instance& instance) {
                    return instance.name == key.assume_value().issuer &&
                           instance.peer_address == key.assume_value().address;
                  });
  WriteRoute route =
      RouteWrite(request.key, instance_,
                 live ? IssuerState::kLive : IssuerState::kUnknown);
  switch (route.kind) {
    case WriteRouteKind::kHere:
      return HandleLocally(event.action, std::move(request), now);
    case WriteRouteKind::kForward:
      return Forward(event.action, route.address, std::move(request), now);
    case WriteRouteKind::kRefuse:
      return Reply(request.request_id, route.refusal);
  }
}

void WriteDuty::On(PeerWriteCall event, Time now) {
  WriteRequest& request = event.write.request;
  pending_replies_[request.request_id] = {request.key, nullptr,
                                          std::move(event.reply)};
  if (MustRefuseWork(now)) {
    return Reply(request.request_id,
                 NotRun(ResultCode::kCheckingRevision,
                        "the issuer was frozen and is checking its "
                        "configuration"));
  }
  HandleLocally(event.write.action, std::move(request), now);
}

void WriteDuty::HandleLocally(WriteAction action,
                              WriteRequest request,
                              Time now) {
  switch (action) {
    case WriteAction::kRun:
      if (stopping_) {
        const WriteOutcome recorded =
            ledger_.Outcome(request.key, request.caller, now);
        if (recorded.code == ResultCode::kWriteNotRun && !recorded.final) {
          return Reply(
              request.request_id,
              NotRun(ResultCode::kStopping, "the issuer is shutting down"));
        }
      }
      return ledger_.OnWrite(std::move(request), now);
    case WriteAction::kOutcome:
      return Reply(request.request_id,
                   ledger_.Outcome(request.key, request.caller, now));
    case WriteAction::kCancel:
      return Reply(request.request_id,
                   ledger_.Cancel(request.key, request.caller, now));
    case WriteAction::kIssueKey: {
      // NOTE Nobody could run the key once its issuer is gone.
      if (stopping_) {
        return Reply(request.request_id, NotRun(ResultCode::kStopping,
                                                "the issuer is shutting down"));
      }
      WriteOutcome outcome;
      outcome.message = ledger_.IssueKey(request.caller, now);
      return Reply(request.request_id, outcome);
    }
  }
}

std::string WriteDuty::CoordinatorFor(const std::string& name) const {
  const Collection* collection =
      config_ ? FindCollection(config_->document, name) : nullptr;
  if (collection == nullptr)
    return std::string();
  // NOTE Keys are issued by a coordinator in a data centre that has servers of
  // the collection, since only coordinators hold connections to the servers.
  std::vector<std::string> data_centres{data_centre_};
  for (const auto& other : config_->document.data_centres)
    data_centres.push_back(other.name);
  for (const auto& data_centre : data_centres) {
    std::vector<std::string> names;
    for (const auto& instance : instances_) {
      if (instance.data_centre == data_centre)
        names.push_back(instance.name);
    }
    const CoordinatorList coordinators =
        FindCoordinators(*collection, data_centre, names);
    if (coordinators.plan.connections_per_coordinator == 0 ||
        coordinators.names.empty())
      continue;
    const bool is_coordinator =
        std::find(coordinators.names.begin(), coordinators.names.end(),
                  instance_) != coordinators.names.end();
    return is_coordinator ? instance_ : coordinators.names.front();
  }
  return std::string();
}

void WriteDuty::IssueKey(const WriteRequest& request, Time now) {
  if (stopping_) {
    return Reply(request.request_id,
                 NotRun(ResultCode::kStopping, "shutting down"));
  }
  const std::string coordinator = CoordinatorFor(request.collection);
  if (coordinator.empty()) {
    return Reply(request.request_id,
                 NotRun(ResultCode::kNoHome,
                        "no instance can run writes of this collection"));
  }
  if (coordinator == instance_)
    return HandleLocally(WriteAction::kIssueKey, request, now);
  const auto found = std::find_if(
      instances_.begin(), instances_.end(),
      [&](const Instance& instance) { return instance.name == coordinator; });
  Forward(WriteAction::kIssueKey, found->peer_address, request, now);
}

void WriteDuty::Forward(WriteAction action,
                        const std::string& address,
                        WriteRequest request,
                        Time now) {
  instance_state_->metrics().Add("writes_forwarded");
  const std::string request_id = request.request_id;
  peers_->Write(
      address, {action, std::move(request), instance_state_->revision()}, now,
      [mailbox = mailbox_, request_id](std::optional<PeerWriteReply> reply) {
        mailbox->PostResult(ForwardedWriteEnded{request_id, std::move(reply)});
      });
}

void WriteDuty::On(ForwardedWriteEnded event, Time) {
  Reply(event.request_id, event.reply ? event.reply->outcome
                                      : OutcomeOfFailedForward(/*sent=*/true));
}

std::vector<std::string> WriteDuty::ServerAddressesFor(
    const WriteRequest& request,
    std::string* shard_name) const {
  const Collection* collection =
      config_ ? FindCollection(config_->document, request.collection) : nullptr;
  if (collection == nullptr)
    return {};
  std::vector<const Shard*> shards;
  for (const auto& service : collection->services) {
    for (const auto& shard : service.shards)
      shards.push_back(&shard);
  }
  const Shard& shard = *shards[Hash64(request.route) % shards.size()];
  *shard_name = shard.name;
  std::vector<std::string> names;
  for (const auto& server : shard.servers) {
    if (!server.leaving && server.data_centre == data_centre_)
      names.push_back(server.name);
  }
  std::vector<std::string> addresses;
  for (const auto& name : HighestScores(request.route, names, names.size())) {
    for (const auto& server : shard.servers) {
      if (server.name == name)
        addresses.push_back(server.address);
    }
  }
  return addresses;
}

void WriteDuty::StartRun(const RunWrite& action, Time now) {
  Run run;
  run.request = action.request;
  run.addresses = ServerAddressesFor(action.request, &run.shard);
  std::reverse(run.addresses.begin(), run.addresses.end());
  runs_[action.key] = std::move(run);
  TryNextServer(action.key, now);
}

void WriteDuty::TryNextServer(const std::string& key, Time now) {
  Run& run = runs_.at(key);
  if (run.addresses.empty() || !KeyLedger::MayStillRun(run.request, now)) {
    runs_.erase(key);
    return ledger_.OnRunEnded(key, RunResult::kNeverSent, 0, std::string(),
                              now);
  }
  const std::string address = run.addresses.back();
  run.addresses.pop_back();
  instance_state_->metrics().Add("writes_sent");
  targets_->RunWrite(run.request, run.shard, address, now);
}

void WriteDuty::On(WriteRunResult event, Time now) {
  if (event.result == RunResult::kNeverSent || IsServerRefusal(event))
    return TryNextServer(event.key, now);
  runs_.erase(event.key);
  ledger_.OnRunEnded(event.key, event.result, event.server_status,
                     std::move(event.server_body), now);
}

void WriteDuty::On(const ConfigChanged& event, Time) {
  config_ = event.config;
}

void WriteDuty::On(const FleetChanged& event, Time) {
  instances_ = event.instances;
}

void WriteDuty::On(const StopWrites& event, Time) {
  stopping_ = true;
  std::vector<std::string> running;
  for (const auto& [request_id, pending] : pending_replies_)
    running.push_back(request_id);
  event.report(std::move(running));
}

void WriteDuty::Reply(const std::string& request_id,
                      const WriteOutcome& outcome) {
  const auto found = pending_replies_.find(request_id);
  if (found == pending_replies_.end())
    return;
  const PendingReply pending = std::move(found->second);
  pending_replies_.erase(found);
  instance_state_->metrics().Add("writes." + std::string(NameOf(outcome.code)));
  if (pending.reply)
    return pending.reply({outcome, instance_state_->revision()});
  Log(LogLevel::kInfo, "write",
      {{"request_id", request_id},
       {"code", NumberOf(outcome.code)},
       {"outcome", NameOf(kWriteStateNames, outcome.state)}});
  const bool issued = pending.key.empty() && outcome.code == ResultCode::kOk;
  if (!issued)
    return pending.respond(ToResponse(outcome, pending.key));
  const nlohmann::json body = {{"key", outcome.message}};
  pending.respond({http_status::kOk, body.dump()});
}

void WriteDuty::ExecuteActions(Time now) {
  // NOTE Executing an action may produce further actions.
  for (auto actions = ledger_.TakeActions(); !actions.empty();
       actions = ledger_.TakeActions()) {
    for (const auto& action : actions) {
      if (const auto* run = std::get_if<RunWrite>(&action))
        StartRun(*run, now);
      else if (const auto* reply = std::get_if<ReplyWrite>(&action))
        Reply(reply->request_id, reply->outcome);
    }
  }
}

}  // namespace limpetrudder
