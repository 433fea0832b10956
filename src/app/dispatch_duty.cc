#include "app/dispatch_duty.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "accounts/largest_accounts.h"
#include "app/settings.h"
#include "framework/clock.h"
#include "framework/http_status.h"
#include "framework/logger.h"
#include "net/forward_codec.h"
#include "net/quarantine_codec.h"
#include "net/quota_codec.h"
#include "platform/caller_codec.h"
#include "platform/target_codec.h"

namespace limpetrudder {
namespace {

using Json = nlohmann::json;

// Added to the connection ids of the peer server, so that they differ from
// those of the callers' server.
constexpr std::uint64_t kPeerConnectionOffset = std::uint64_t{1} << 62;

// Ids of probes are above those of attempts, which share the target pool.
constexpr std::uint64_t kFirstProbeId = std::uint64_t{1} << 62;

// A server whose health response takes longer isn't able to serve requests.
constexpr Duration kProbeTimeout = Millis(400);

// Message limits for callers until the first routes set them.
constexpr std::size_t kInitialMaxBodyBytes = 8 << 20;
constexpr std::size_t kInitialMaxHeaderBytes = 64 << 10;

// Connections closed for want of memory or descriptors are logged together.
constexpr Duration kShedLogInterval = Seconds(1);

Json FailedSubQueries(const CallRecord& record) {
  Json sub_queries = Json::array();
  for (const auto& sub_query : record.failed_sub_queries) {
    sub_queries.push_back({{"service", sub_query.service},
                           {"server", sub_query.server},
                           {"sends", sub_query.attempts},
                           {"code", NumberOf(sub_query.code)}});
  }
  return sub_queries;
}

}  // namespace

DispatchDuty::DispatchDuty(DispatchSettings settings,
                           std::size_t max_buffered_bytes,
                           const ConnectionLimits& caller_connections,
                           EntryState* state)
    : max_buffered_bytes_(max_buffered_bytes),
      caller_connections_(caller_connections),
      state_(state),
      engine_(std::move(settings)),
      next_probe_id_(kFirstProbeId) {}

DispatchDuty::~DispatchDuty() = default;

Result<void> DispatchDuty::Open(const std::string& caller_address,
                                Mailbox* mailbox) {
  asio::io_context* context = mailbox->context();
  timer_ = std::make_unique<asio::steady_timer>(*context);
  pool_ = std::make_unique<TargetPool>(
      context, PoolSettings(max_buffered_bytes_),
      [this](PoolResponse response) { OnResponse(std::move(response)); });
  const Endpoint endpoint = SplitAddress(caller_address);
  caller_server_ = std::make_unique<HttpServer>(
      HttpServerSettings{endpoint.ip, endpoint.port, kInitialMaxBodyBytes,
                         kInitialMaxHeaderBytes, context, caller_connections_,
                         [this](ConnectionEnd end) { OnConnectionEnd(end); }},
      [this](ServerRequest request, Responder respond) {
        OnRequest(std::move(request), std::move(respond));
      },
      [this](std::uint64_t connection) { OnConnectionClosed(connection); });
  return caller_server_->Start();
}

void DispatchDuty::OnRequest(ServerRequest request, Responder respond) {
  const std::uint64_t connection = request.connection;
  StartCall(DecodeCall(std::move(request), next_call_id_++), connection,
            /*from_peer=*/false, std::move(respond));
}

void DispatchDuty::OnForwardedCall(ServerRequest request, Responder respond) {
  const std::uint64_t connection = request.connection + kPeerConnectionOffset;
  StartCall(DecodeForward(std::move(request), next_call_id_++), connection,
            /*from_peer=*/true, std::move(respond));
}

void DispatchDuty::OnPeerConnectionClosed(std::uint64_t connection) {
  OnConnectionClosed(connection + kPeerConnectionOffset);
}

void DispatchDuty::StartCall(Result<CallRequest> call,
                             std::uint64_t connection,
                             bool from_peer,
                             Responder respond) {
  if (!call) {
    const Error& error = call.error();
    Log(LogLevel::kWarning, "request_malformed",
        {{"connection", connection},
         {"code", NumberOf(error.code)},
         {"message", error.message}});
    ServerResponse response;
    response.status = http_status::kBadRequest;
    response.body = RefusalBody(error.code, error.message);
    return respond(std::move(response));
  }
  const Time now = SteadyNow();
  CallRequest& request = call.assume_value();
  auto [calls, is_new] = calls_by_connection_.try_emplace(connection);
  calls->second.push_back(request.id);
  request.new_connection = is_new;
  pending_calls_[request.id] = {connection, from_peer, std::move(respond)};
  ++state_->active_calls;
  engine_.OnCall(std::move(request), now);
  RunEngine(now);
}

void DispatchDuty::OnConnectionClosed(std::uint64_t connection) {
  const auto found = calls_by_connection_.find(connection);
  if (found == calls_by_connection_.end())
    return;
  const Time now = SteadyNow();
  for (const CallId id : found->second) {
    if (pending_calls_.erase(id) == 0)
      continue;
    --state_->active_calls;
    state_->metrics().Add("caller_left");
    engine_.OnCallerLeft(id, now);
  }
  calls_by_connection_.erase(found);
  RunEngine(now);
}

void DispatchDuty::OnConnectionEnd(ConnectionEnd end) {
  state_->metrics().Add("connections_closed_" +
                        std::string(NameOf(kConnectionEndNames, end)));
  if (end != ConnectionEnd::kMemory && end != ConnectionEnd::kNumber)
    return;
  ++shed_since_log_;
  const Time now = SteadyNow();
  if (now - last_shed_log_ < kShedLogInterval)
    return;
  Log(LogLevel::kWarning, "connections_shed",
      {{"reason", NameOf(kConnectionEndNames, end)},
       {"count", shed_since_log_}});
  last_shed_log_ = now;
  shed_since_log_ = 0;
}

void DispatchDuty::OnResponse(PoolResponse response) {
  const Time now = SteadyNow();
  if (response.id >= kFirstProbeId) {
    const auto found = pending_probes_.find(response.id);
    if (found != pending_probes_.end()) {
      const PendingProbe probe = std::move(found->second);
      pending_probes_.erase(found);
      OnProbeResponse(probe, response, now);
    }
  } else if (pending_forwards_.erase(response.id) > 0) {
    engine_.OnReply(DecodeForwardReply(std::move(response)), now);
  } else {
    engine_.OnReply(DecodeReply(std::move(response)), now);
  }
  RunEngine(now);
}

void DispatchDuty::OnProbeResponse(const PendingProbe& probe,
                                   const PoolResponse& response,
                                   Time now) {
  switch (probe.kind) {
    case ProbeKind::kServer:
      return engine_.OnProbe(probe.name, DecodeProbeReply(response), now);
    case ProbeKind::kInstance:
      return engine_.OnPing(probe.name, DecodeProbeReply(response).healthy,
                            now);
    case ProbeKind::kExchange:
      if (const auto notices = DecodeExchangeReply(response))
        engine_.OnQuarantineNotices(*notices, NoticeScope::kAll, now);
      return;
    case ProbeKind::kChange:
      if (const auto notices = DecodeExchangeReply(response))
        engine_.OnQuarantineNotices(*notices, NoticeScope::kChanges, now);
      return;
    case ProbeKind::kQuota:
      return engine_.OnQuotaAnswer(probe.quota_ask, DecodeQuotaAnswer(response),
                                   now);
  }
}

void DispatchDuty::OnExchange(const ServerRequest& request,
                              const Responder& respond) {
  const Time now = SteadyNow();
  const NoticeScope scope = DecodeScope(request);
  engine_.OnQuarantineNotices(DecodeNotices(request.body), scope, now);
  ServerResponse response;
  response.body = EncodeNotices(scope == NoticeScope::kAll
                                    ? engine_.QuarantineNotices(now)
                                    : std::vector<QuarantineNotice>());
  respond(std::move(response));
  RunEngine(now);
}

void DispatchDuty::OnQuotaAsk(const ServerRequest& request, Responder respond) {
  const auto ask = DecodeQuotaAsk(request.body);
  if (!ask) {
    ServerResponse response;
    response.status = http_status::kBadRequest;
    response.body = RefusalBody(ResultCode::kRequestMalformed, "no ask");
    return respond(std::move(response));
  }
  const Time now = SteadyNow();
  const std::uint64_t ref = next_quota_ref_++;
  pending_quota_asks_[ref] = std::move(respond);
  engine_.OnQuotaAsk(ref, *ask, now);
  RunEngine(now);
}

void DispatchDuty::Handle(DispatchEvent event, Time now) {
  std::visit([&](auto&& e) { On(std::forward<decltype(e)>(e), now); },
             std::move(event));
}

Time DispatchDuty::Tick(Time now) {
  RunEngine(now);
  return kNever;
}

void DispatchDuty::On(RoutesChanged event, Time now) {
  const std::uint64_t before = engine_.routes_version();
  const std::uint64_t version = event.routes->version();
  const std::size_t routes = event.routes->routes().size();
  const std::size_t accounts = event.routes->accounts().size();
  const bool asks_for_accounts = event.routes->accounts().is_configured();
  const RequestLimits limits = event.routes->limits();
  const auto table = event.routes;
  engine_.OnRoutes(std::move(event.routes), now);
  if (engine_.routes_version() == before)
    return;
  state_->SetRoutesKnown();
  std::erase_if(calls_by_account_, [&](const auto& row) {
    return table->accounts().Find(row.first) == nullptr;
  });
  caller_server_->SetMessageLimits(limits.max_header_bytes,
                                   limits.max_body_bytes);
  caller_server_->SetTimeouts(limits.idle_timeout, limits.header_timeout);
  nlohmann::json fields = {
      {"version", version}, {"before", before}, {"routes", routes}};
  if (asks_for_accounts)
    fields["accounts"] = accounts;
  Log(LogLevel::kInfo, "routes_in_force", fields);
}

void DispatchDuty::On(const RoutesStillLatest& event, Time) {
  engine_.OnRoutesConfirmed(event.at);
}

void DispatchDuty::On(const ServersChanged& event, Time now) {
  engine_.OnServers(event.change, now);
  for (const auto& id : event.change.removed)
    pool_->CloseIdleConnections(id);
  state_->SetServersKnown();
}

void DispatchDuty::On(const EvacuationsChanged& event, Time now) {
  engine_.OnEvacuations(event.data_centres, now);
}

void DispatchDuty::On(InstancesChanged event, Time now) {
  engine_.OnInstances(event.instances, now);
}

void DispatchDuty::On(const StopAcceptingCallers& event, Time) {
  caller_server_->StopAccepting();
  engine_.OnStopping(event.end);
}

void DispatchDuty::On(const GiveUpCalls&, Time now) {
  engine_.GiveUpCalls(now);
}

void DispatchDuty::RunEngine(Time now) {
  const Time next = engine_.Tick(now);
  ExecuteActions();
  if (next == kNever || next >= timer_expiry_)
    return;
  // NOTE A timer that is due too early is kept: an extra tick costs less than
  // resetting the timer at each event.
  timer_expiry_ = next;
  timer_->expires_at(next);
  timer_->async_wait([this](const asio::error_code& error) {
    if (error)
      return;
    timer_expiry_ = kNever;
    RunEngine(SteadyNow());
  });
}

void DispatchDuty::ExecuteActions() {
  for (auto& action : engine_.TakeActions())
    std::visit([this](auto&& a) { Execute(std::forward<decltype(a)>(a)); },
               std::move(action));
}

void DispatchDuty::Execute(SendToServer action) {
  pool_->Send(EncodeServerRequest(action));
}

void DispatchDuty::Execute(const ForwardCall& action) {
  pending_forwards_.insert(action.attempt);
  pool_->Send(EncodeForward(action));
}

void DispatchDuty::Execute(const AbortAttempt& action) {
  pending_forwards_.erase(action.attempt);
  pool_->Cancel(action.attempt);
}

void DispatchDuty::Execute(const ProbeHealth& action) {
  state_->metrics().Add("health_probes");
  SendProbe(EncodeProbe(action, next_probe_id_),
            {action.server, ProbeKind::kServer});
}

void DispatchDuty::Execute(const FetchRoutes& action) {
  if (on_newer_routes_)
    on_newer_routes_(action.instance, action.routes_version);
}

void DispatchDuty::Execute(const PingInstance& action) {
  state_->metrics().Add("instance_pings");
  SendProbe(EncodePing(action, next_probe_id_),
            {action.name, ProbeKind::kInstance});
}

void DispatchDuty::Execute(const ExchangeQuarantine& action) {
  state_->metrics().Add("quarantine_exchanges");
  SendProbe(EncodeExchange(action, next_probe_id_),
            {action.instance, action.scope == NoticeScope::kAll
                                  ? ProbeKind::kExchange
                                  : ProbeKind::kChange});
}

void DispatchDuty::SendProbe(PoolRequest request, PendingProbe probe) {
  const std::uint64_t id = next_probe_id_++;
  pending_probes_[id] = std::move(probe);
  pool_->Send(std::move(request));
  auto timer = std::make_shared<asio::steady_timer>(timer_->get_executor());
  timer->expires_after(kProbeTimeout);
  timer->async_wait([this, id, timer](const asio::error_code&) {
    const auto found = pending_probes_.find(id);
    if (found == pending_probes_.end())
      return;
    const PendingProbe timed_out = std::move(found->second);
    pending_probes_.erase(found);
    pool_->Cancel(id);
    const Time now = SteadyNow();
    if (timed_out.kind == ProbeKind::kInstance)
      engine_.OnPing(timed_out.name, false, now);
    if (timed_out.kind == ProbeKind::kQuota) {
      engine_.OnQuotaAnswer(timed_out.quota_ask, std::nullopt, now);
      RunEngine(now);
    }
  });
}

void DispatchDuty::Execute(CompleteCall action) {
  RecordCall(action.record);
  const auto found = pending_calls_.find(action.call);
  if (found == pending_calls_.end())
    return;
  const PendingCall call = std::move(found->second);
  pending_calls_.erase(found);
  --state_->active_calls;
  const auto calls = calls_by_connection_.find(call.connection);
  if (calls != calls_by_connection_.end())
    std::erase(calls->second, action.call);
  if (call.from_peer) {
    return call.respond(
        EncodeForwardReply(std::move(action.reply), action.record));
  }
  call.respond(
      EncodeReply(std::move(action.reply), action.record, state_->stopping()));
}

void DispatchDuty::CountAndLog(LogLevel level,
                               const char* event,
                               const Json& fields) {
  state_->metrics().Add(event);
  Log(level, event, fields);
}

void DispatchDuty::Execute(const ServerStateChange& action) {
  const char* event = "server_down";
  if (action.reason == ResultCode::kOk)
    event = "server_up";
  else if (action.reason == ResultCode::kServerLeaving)
    event = "server_leaving";
  // NOTE A leaving server gets no new requests, so its idle connections are of
  // no use.
  if (action.reason == ResultCode::kServerLeaving)
    pool_->CloseIdleConnections(action.server);
  CountAndLog(
      LogLevel::kWarning, event,
      {{"server", action.server},
       {"service", action.service},
       {"code", NumberOf(action.reason)},
       {"unheard_ms", action.since_last_response
                          ? Json(WholeMillis(*action.since_last_response))
                          : Json()},
       {"in_flight", action.in_flight}});
}

void DispatchDuty::Execute(const AttemptLost& action) {
  CountAndLog(LogLevel::kInfo, "attempt_lost",
              {{"request_id", action.request_id},
               {"digest", action.digest},
               {"server", action.server},
               {"service", action.service},
               {"outcome", NameOf(kAttemptOutcomeNames, action.outcome)},
               {"after_ms", WholeMillis(action.after)}});
}

void DispatchDuty::Execute(const RequestTrial& action) {
  CountAndLog(LogLevel::kInfo, "request_trial",
              {{"request_id", action.request_id},
               {"digest", action.digest},
               {"server", action.server}});
}

void DispatchDuty::Execute(const RequestStandingChange& action) {
  CountAndLog(LogLevel::kWarning, "request_standing",
              {{"digest", action.digest},
               {"standing", NameOf(kRequestStandingNames, action.standing)},
               {"server", action.server},
               {"left_ms", WholeMillis(action.left)}});
}

void DispatchDuty::Execute(const BackoffChange& action) {
  CountAndLog(LogLevel::kInfo,
              action.active ? "server_backoff" : "server_backoff_over",
              {{"server", action.server},
               {"service", action.service},
               {"ms", WholeMillis(action.backoff)}});
}

void DispatchDuty::Execute(const RateLimitChange& action) {
  CountAndLog(LogLevel::kInfo,
              action.limit ? "server_limited" : "server_unlimited",
              {{"server", action.server},
               {"service", action.service},
               {"limit", action.limit ? Json(*action.limit) : Json()},
               {"rate", action.rate},
               {"sent", action.sent}});
}

void DispatchDuty::Execute(const AdmissionChange& action) {
  CountAndLog(LogLevel::kWarning,
              action.limited ? "admission_limited" : "admission_free",
              {{"shard", action.shard},
               {"share", action.share},
               {"pressure", action.pressure}});
}

void DispatchDuty::Execute(const AskQuota& action) {
  SendProbe(EncodeQuotaAsk(action.ask, next_probe_id_),
            {action.ask.instance, ProbeKind::kQuota, action.ask.id});
}

void DispatchDuty::Execute(const AnswerQuota& action) {
  const auto found = pending_quota_asks_.find(action.answer.ref);
  if (found == pending_quota_asks_.end())
    return;
  const Responder respond = std::move(found->second);
  pending_quota_asks_.erase(found);
  respond(EncodeQuotaAnswer(action.answer.answer));
}

void DispatchDuty::Execute(const AccountLimitChange& action) {
  const QuotaChange& change = action.change;
  CountAndLog(LogLevel::kInfo, change.limited ? "quota_limited" : "quota_free",
              {{"account", change.account},
               {"rate", change.limit.rate},
               {"burst", change.limit.burst},
               {"asked", change.asked},
               {"granted", change.granted}});
}

void DispatchDuty::Execute(const QuotaActivity& action) {
  const QuotaCounts& counts = action.counts;
  const auto add = [this](const char* name, std::uint64_t count) {
    if (count > 0)
      state_->metrics().Add(name, count);
  };
  add("quota_asks", counts.asks);
  add("quota_transfers", counts.transfers);
  add("quota_claims", counts.claims);
  add("quota_granted", counts.granted);
  add("quota_refused", counts.refused);
  add("quota_fallbacks", counts.fallbacks);
  add("quota_no_owner", counts.no_owner);
}

void DispatchDuty::Execute(const PacingChange& action) {
  CountAndLog(LogLevel::kInfo, action.paced ? "server_paced" : "server_unpaced",
              {{"server", action.server},
               {"service", action.service},
               {"rate", action.rate},
               {"in_flight", action.in_flight}});
}

void DispatchDuty::Execute(const ServerCold& action) {
  CountAndLog(LogLevel::kInfo, "server_cold",
              {{"server", action.server},
               {"service", action.service},
               {"rate", action.rate}});
}

void DispatchDuty::Execute(const DataCentreChange& action) {
  CountAndLog(LogLevel::kWarning,
              action.silent ? "data_centre_silent" : "data_centre_heard",
              {{"data_centre", action.data_centre}});
}

void DispatchDuty::Execute(const ServerContactChange& action) {
  CountAndLog(
      LogLevel::kWarning, action.lost ? "servers_lost" : "servers_regained",
      {{"unheard_ms", action.since_last_response
                          ? Json(WholeMillis(*action.since_last_response))
                          : Json()}});
}

Json DispatchDuty::AccountMetrics() const {
  if (calls_by_account_.empty())
    return nullptr;
  Json accounts = Json::object();
  for (const auto& [account, counts] : LargestAccounts(calls_by_account_))
    accounts[account] = ToJson(counts);
  return accounts;
}

void DispatchDuty::RecordCall(const CallRecord& record) {
  Metrics& metrics = state_->metrics();
  metrics.Add("calls");
  metrics.Add("sends", record.attempts);
  metrics.Add("hedges", record.hedges);
  metrics.Add("far_sends", record.cross_region_attempts);
  metrics.Add("far_hedges", record.cross_region_hedges);
  metrics.Add("rejections", record.rejections);
  metrics.Add("budget_refusals", record.budget_refusals);
  metrics.Record("call", record.took);
  const bool whole = http_status::IsSuccess(record.status) &&
                     record.parts == record.parts_wanted;
  metrics.Add(whole ? "answered_whole"
                    : (record.status < http_status::kMultipleChoices
                           ? "answered_in_part"
                           : "not_answered"));
  const bool denied = record.code == ResultCode::kAccountUnknown;
  if (!record.forwarded && (denied || !record.account.empty())) {
    calls_by_account_[record.account].Add(record.status, record.code,
                                          record.late, !whole);
  }
  if (denied && !record.forwarded)
    metrics.Add("calls_denied");
  Json line = {{"request_id", record.request_id},  {"route", record.route},
               {"version", record.routes_version}, {"status", record.status},
               {"ms", ToMillis(record.took)},      {"sends", record.attempts}};
  if (!whole) {
    line["code"] = NumberOf(record.code);
    line["parts"] = record.parts;
    line["parts_wanted"] = record.parts_wanted;
    line["rejections"] = record.rejections;
    line["budget_refusals"] = record.budget_refusals;
    line["failed"] = FailedSubQueries(record);
  }
  if (!record.account.empty())
    line["account"] = record.account;
  if (record.forwarded)
    line["forwarded"] = true;
  if (record.late)
    line["late"] = true;
  if (!record.coordinator.empty())
    line["home"] = record.coordinator;
  if (record.delegated > 0)
    line["delegated"] = record.delegated;
  if (record.hedges > 0)
    line["hedges"] = record.hedges;
  if (record.cross_region_attempts > 0)
    line["far_sends"] = record.cross_region_attempts;
  if (record.cross_region_hedges > 0)
    line["far_hedges"] = record.cross_region_hedges;
  Log(LogLevel::kInfo, "call_ended", line);
}

}  // namespace limpetrudder
