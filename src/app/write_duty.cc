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

constexpr Duration kLedgerTurn = Seconds(1);

WriteOutcome NotRun(ResultCode code, std::string message) {
  WriteOutcome outcome;
  outcome.code = code;
  outcome.state = WriteState::kNotRun;
  outcome.message = std::move(message);
  outcome.retry_after = Seconds(1);
  return outcome;
}

// Whether the server gave the write back without having run it.
bool IsServerRefusal(const WriteRunResult& result) {
  return result.result == RunResult::kReplied &&
         (result.server_status == http_status::kUnavailable ||
          result.server_status == http_status::kTooManyRequests);
}

}  // namespace

WriteDuty::WriteDuty(KeyLedgerSettings settings,
                     std::string data_centre,
                     InstanceState* front,
                     TargetClient* targets,
                     PeerClient* peers)
    : instance_(settings.instance),
      data_centre_(std::move(data_centre)),
      ledger_(std::move(settings)),
      front_(front),
      targets_(targets),
      peers_(peers) {}

void WriteDuty::Handle(WriteEvent event, Time now) {
  std::visit([&](auto& entry) { On(std::move(entry), now); }, event);
  CarryOut(now);
}

Time WriteDuty::Turn(Time now) {
  guard_.OnTurn(now);
  ledger_.Turn(now);
  return now + kLedgerTurn;
}

bool WriteDuty::RefusesWork(Time now) {
  guard_.OnTurn(now);
  guard_.OnConfirmed(front_->confirmed());
  return !guard_.MayTakeWork(now);
}

void WriteDuty::On(CallerWrite event, Time now) {
  WriteRequest& request = event.request;
  waiters_[request.request_id] = {request.key, std::move(event.respond),
                                  nullptr};
  if (RefusesWork(now)) {
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
      return RunHere(event.action, std::move(request), now);
    case WriteRouteKind::kForward:
      return Forward(event.action, route.address, std::move(request), now);
    case WriteRouteKind::kRefuse:
      return Reply(request.request_id, route.refusal);
  }
}

void WriteDuty::On(PeerWriteCall event, Time now) {
  WriteRequest& request = event.write.request;
  waiters_[request.request_id] = {request.key, nullptr, std::move(event.reply)};
  if (RefusesWork(now)) {
    return Reply(request.request_id,
                 NotRun(ResultCode::kCheckingRevision,
                        "the issuer was frozen and is checking its "
                        "configuration"));
  }
  RunHere(event.write.action, std::move(request), now);
}

void WriteDuty::RunHere(WriteAction action, WriteRequest request, Time now) {
  switch (action) {
    case WriteAction::kRun:
      if (stopping_) {
        const WriteOutcome known =
            ledger_.Outcome(request.key, request.caller, now);
        if (known.code == ResultCode::kWriteNotRun && !known.final) {
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
      WriteOutcome outcome;
      outcome.message = ledger_.IssueKey(request.caller, now);
      return Reply(request.request_id, outcome);
    }
  }
}

std::string WriteDuty::HomeFor(const std::string& name) const {
  const Collection* collection =
      config_ ? FindCollection(config_->document, name) : nullptr;
  if (collection == nullptr)
    return std::string();
  // NOTE Keys come from homes in a data centre with servers of the collection,
  // since only homes have connections to them.
  std::vector<std::string> data_centres{data_centre_};
  for (const auto& entry : config_->document.data_centres)
    data_centres.push_back(entry.name);
  for (const auto& data_centre : data_centres) {
    std::vector<std::string> names;
    for (const auto& instance : instances_) {
      if (instance.data_centre == data_centre)
        names.push_back(instance.name);
    }
    const CoordinatorList homes =
        FindCoordinators(*collection, data_centre, names);
    if (homes.plan.connections_per_coordinator == 0 || homes.names.empty())
      continue;
    const bool here = std::find(homes.names.begin(), homes.names.end(),
                                instance_) != homes.names.end();
    return here ? instance_ : homes.names.front();
  }
  return std::string();
}

void WriteDuty::IssueKey(const WriteRequest& request, Time now) {
  if (stopping_) {
    return Reply(request.request_id,
                 NotRun(ResultCode::kStopping, "shutting down"));
  }
  const std::string home = HomeFor(request.collection);
  if (home.empty()) {
    return Reply(request.request_id,
                 NotRun(ResultCode::kNoHome,
                        "no instance can run writes of this collection"));
  }
  if (home == instance_)
    return RunHere(WriteAction::kIssueKey, request, now);
  const auto found = std::find_if(
      instances_.begin(), instances_.end(),
      [&](const Instance& instance) { return instance.name == home; });
  Forward(WriteAction::kIssueKey, found->peer_address, request, now);
}

void WriteDuty::Forward(WriteAction action,
                        const std::string& address,
                        WriteRequest request,
                        Time now) {
  front_->metrics().Add("writes_forwarded");
  const std::string request_id = request.request_id;
  peers_->Write(
      address, {action, std::move(request), front_->revision()}, now,
      [mailbox = mailbox_, request_id](std::optional<PeerWriteReply> reply) {
        mailbox->PostResult(ForwardedWriteEnded{request_id, std::move(reply)});
      });
}

void WriteDuty::On(ForwardedWriteEnded event, Time) {
  Reply(event.request_id, event.reply ? event.reply->outcome
                                      : OutcomeOfFailedForward(/*sent=*/true));
}

std::vector<std::string> WriteDuty::ServersFor(const WriteRequest& request,
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

void WriteDuty::Begin(const RunWrite& action, Time now) {
  Run run;
  run.request = action.request;
  run.addresses = ServersFor(action.request, &run.shard);
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
  front_->metrics().Add("writes_sent");
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
  for (const auto& [request_id, waiter] : waiters_)
    running.push_back(request_id);
  event.report(std::move(running));
}

void WriteDuty::Reply(const std::string& request_id,
                      const WriteOutcome& outcome) {
  const auto found = waiters_.find(request_id);
  if (found == waiters_.end())
    return;
  const Waiter waiter = std::move(found->second);
  waiters_.erase(found);
  front_->metrics().Add("writes." + std::string(NameOf(outcome.code)));
  if (waiter.reply)
    return waiter.reply({outcome, front_->revision()});
  Log(LogLevel::kInfo, "write",
      {{"request_id", request_id},
       {"code", NumberOf(outcome.code)},
       {"outcome", NameOf(kWriteStateNames, outcome.state)}});
  const bool issued = waiter.key.empty() && outcome.code == ResultCode::kOk;
  if (!issued)
    return waiter.respond(ToResponse(outcome, waiter.key));
  const nlohmann::json body = {{"key", outcome.message}};
  waiter.respond({http_status::kOk, body.dump()});
}

void WriteDuty::CarryOut(Time now) {
  // NOTE Carrying out an action may produce more.
  for (auto actions = ledger_.TakeActions(); !actions.empty();
       actions = ledger_.TakeActions()) {
    for (const auto& action : actions) {
      if (const auto* run = std::get_if<RunWrite>(&action))
        Begin(*run, now);
      else if (const auto* reply = std::get_if<ReplyWrite>(&action))
        Reply(reply->request_id, reply->outcome);
    }
  }
}

}  // namespace limpetrudder
