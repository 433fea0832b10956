#include "dispatch/tests/fleet_session.h"

#include <algorithm>
#include <utility>

namespace limpetrudder {
namespace {

constexpr Duration kLocalTime = Millis(1) / 4;
constexpr int kImpatientRetries = 3;
constexpr Duration kCrashAfterAnswer = Millis(10);

std::string RegionOf(const std::string& data_centre) {
  return data_centre.substr(0, data_centre.find('-'));
}

std::string ShardName(std::size_t shard) {
  return "shard-" + std::to_string(shard);
}

std::string ServerName(std::size_t shard, std::size_t replica) {
  return "s" + std::to_string(shard) + "-" + std::to_string(replica);
}

bool IsDeadly(const std::string& target) {
  return target == FleetSession::kDeadlySearch ||
         target == FleetSession::kDeadlySingle;
}

std::string SingleName(std::size_t index) {
  return "one-" + std::to_string(index);
}

}  // namespace

FleetSession::Options FleetSession::SmallFleet(int shards) {
  Options options;
  options.instances = {"kgn-a", "kgn-a", "kgn-a", "mbj-a",
                       "mbj-a", "mbj-a", "mdv-a", "mdv-a"};
  const std::vector<std::vector<std::string>> places = {
      {"kgn-a", "mbj-a"}, {"mbj-a", "mdv-a"}, {"mdv-a", "kgn-a"}};
  for (int i = 0; i < shards; ++i)
    options.shards.push_back(
        places[static_cast<std::size_t>(i) % places.size()]);
  return options;
}

FleetSession::FleetSession(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      exchange_random_(~options_.seed) {
  if (options_.shards.empty())
    options_.shards.assign(4, {"kgn-a", "mbj-a"});
  const auto add = [&](const std::string& id, const std::string& service,
                       const std::string& data_centre) {
    SessionServer& server = servers_[id];
    server.entry.id = id;
    server.entry.service = service;
    server.entry.address = id + ":80";
    server.entry.data_centre = data_centre;
    server.entry.slots = 2;
    server.max_queued = options_.max_queued;
    server.entry.started_ms = 1;
    regions_[data_centre] = RegionOf(data_centre);
  };
  for (std::size_t shard = 0; shard < options_.shards.size(); ++shard) {
    for (std::size_t i = 0; i < options_.shards[shard].size(); ++i)
      add(ServerName(shard, i), ShardName(shard), options_.shards[shard][i]);
  }
  for (int i = 0; i < options_.single_servers; ++i)
    add(SingleName(static_cast<std::size_t>(i)), "one",
        options_.single_data_centres.empty()
            ? "kgn-a"
            : options_.single_data_centres[static_cast<std::size_t>(i)]);
  for (std::size_t i = 0; i < options_.instances.size(); ++i) {
    const std::string name = "instance-" + std::to_string(i);
    const double cores =
        options_.cores_of.empty() ? options_.cores : options_.cores_of[i];
    instances_.push_back(
        {name, options_.instances[i], name + ":70", cores, 1000});
    regions_[options_.instances[i]] = RegionOf(options_.instances[i]);
  }
  engines_.resize(instances_.size());
  next_ticks_.resize(instances_.size(), kNever);
  for (std::size_t i = 0; i < instances_.size(); ++i)
    StartEngine(i);
  Announce(MakeRoutes(1));
  // NOTE Skips the start-up phase, in which engines open few connections.
  Run(Seconds(11));
}

void FleetSession::StartEngine(std::size_t instance) {
  DirectoryChange change;
  for (const auto& [id, server] : servers_)
    change.updated.push_back(server.entry);
  engines_[instance] = std::make_unique<DispatchEngine>(
      DispatchSettings{instances_[instance],
                       regions_,
                       options_.budget,
                       {},
                       17 + instance,
                       options_.key_confirmation_bound,
                       options_.quota});
  engines_[instance]->OnInstances(ListedInstances(), now_);
  engines_[instance]->OnServers(change, now_);
}

std::vector<InstanceEntry> FleetSession::ListedInstances() const {
  std::vector<InstanceEntry> listed;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (deregistered_.count(i) == 0)
      listed.push_back(instances_[i]);
  }
  return listed;
}

void FleetSession::AnnounceInstances() {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    engines_[i]->OnInstances(ListedInstances(), now_);
    RunEngine(i);
  }
}

void FleetSession::AnnounceStop(std::size_t instance) {
  instances_[instance].stopping = true;
  AnnounceInstances();
}

void FleetSession::Deregister(std::size_t instance) {
  deregistered_.insert(instance);
  AnnounceInstances();
}

void FleetSession::GiveUpCalls(std::size_t instance) {
  engines_[instance]->GiveUpCalls(now_);
  RunEngine(instance);
}

void FleetSession::Restart(std::size_t instance) {
  for (auto& [name, server] : servers_) {
    std::erase_if(server.queue, [instance](const SessionServer::Job& job) {
      return job.instance == instance;
    });
    std::erase_if(server.running, [instance](const auto& running) {
      return running.first == instance;
    });
  }
  for (const auto& [attempt, call] : forwarded_) {
    if (calls_.at(call).instance != instance)
      continue;
    TargetReply lost;
    lost.attempt = attempt.second;
    lost.outcome = AttemptOutcome::kBroken;
    Reply(attempt.first, std::move(lost), kLocalTime);
  }
  ++restarts_[instance];
  StartEngine(instance);
  engines_[instance]->OnRoutes(routes_, now_);
  RunEngine(instance);
}

void FleetSession::AddNotices(const SessionServer& server,
                              TargetReply* reply) const {
  reply->leaving = server.reports_leaving;
  reply->rate_limit = {server.rate_limit.has_value(), server.rate_limit};
  if (options_.servers_report_load) {
    reply->load = LoadReport{static_cast<std::uint32_t>(server.running.size()),
                             static_cast<std::uint32_t>(server.queue.size()),
                             server.entry.slots, 1};
  }
}

std::shared_ptr<RouteTable> FleetSession::MakeRoutes(std::uint64_t version,
                                                     std::size_t first,
                                                     std::size_t count) const {
  Route all;
  all.name = "all";
  all.host = "shop.example";
  all.prefix = "/all/";
  all.timeout = options_.timeout;
  all.latency_target = options_.latency_target;
  all.max_attempts = options_.max_attempts;
  all.top_records = 5;
  all.coverage_floor = options_.coverage_floor;
  all.allowed_regions = options_.allowed_regions;
  all.is_public = options_.is_public;
  std::vector<TargetService> services = {
      {"one", "/health", options_.max_connections, options_.warmup_rate}};
  if (count == 0) {
    count = options_.initial_shards > 0 ? options_.initial_shards
                                        : options_.shards.size();
  }
  for (std::size_t shard = 0; shard < options_.shards.size(); ++shard) {
    if (shard >= first && shard < first + count)
      all.shards.push_back(ShardName(shard));
    services.push_back({ShardName(shard), "/health", options_.max_connections,
                        options_.warmup_rate});
  }
  Route one = all;
  one.name = "one";
  one.prefix = "/one/";
  one.kind = options_.single_kind;
  one.shards.clear();
  one.backends = {{"one", 1}};
  return std::make_shared<RouteTable>(version, std::vector<Route>{all, one},
                                      std::move(services), RequestLimits{},
                                      options_.accounts);
}

SessionServer& FleetSession::server(std::size_t shard, std::size_t replica) {
  return servers_.at(ServerName(shard, replica));
}

SessionServer& FleetSession::single(std::size_t index) {
  return servers_.at(SingleName(index));
}

std::vector<SessionServer*> FleetSession::shard_servers() {
  std::vector<SessionServer*> all;
  for (auto& [name, server] : servers_) {
    if (server.entry.service != "one")
      all.push_back(&server);
  }
  return all;
}

void FleetSession::Announce(const ServerEntry& entry) {
  servers_.at(entry.id).entry = entry;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    engines_[i]->OnServers({{entry}, {}}, now_);
    RunEngine(i);
  }
}

void FleetSession::Withdraw(const ServerEntry& entry) {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    engines_[i]->OnServers({{}, {entry.id}}, now_);
    RunEngine(i);
  }
}

void FleetSession::Evacuate(const std::set<std::string>& data_centres) {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    engines_[i]->OnEvacuations(data_centres, now_);
    RunEngine(i);
  }
}

void FleetSession::Restrict(std::uint64_t version,
                            AllowedRegions allowed_regions) {
  options_.allowed_regions = std::move(allowed_regions);
  Announce(MakeRoutes(version));
}

std::shared_ptr<RouteTable> FleetSession::WithAccounts(
    std::uint64_t version,
    AccountDirectory accounts) {
  options_.accounts = std::move(accounts);
  return MakeRoutes(version);
}

void FleetSession::Announce(const std::shared_ptr<const RouteTable>& routes) {
  routes_ = routes;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    engines_[i]->OnRoutes(routes, now_);
    RunEngine(i);
  }
}

CallId FleetSession::SendRequest(const std::string& target,
                                 std::size_t instance,
                                 std::optional<std::size_t> caller,
                                 CallerKey key) {
  auto message = std::make_shared<RequestMessage>();
  const CallId id = next_call_++;
  message->request_id = "request-" + std::to_string(id);
  message->method = "GET";
  message->host = "shop.example";
  message->target = target;
  calls_[id] = {instance, 0, 0, false, caller, now_};
  if (key.state != CallerKeyState::kAbsent) {
    message->credentials = {{"Authorization", "Bearer " + key.key},
                            {"Account", "forged"}};
  }
  CallRequest call;
  call.id = id;
  call.key = std::move(key);
  call.message = std::move(message);
  const auto deliver = [this, instance, call = std::move(call)] {
    engines_[instance]->OnCall(call, now_);
    RunEngine(instance);
  };
  if (frozen_.count(instance) > 0)
    held_events_[instance].emplace_back(deliver);
  else
    deliver();
  return id;
}

const SessionAnswer& FleetSession::SearchNow(std::size_t instance) {
  const CallId call = Search(instance);
  while (!answered(call))
    Run(Millis(1));
  return answer(call);
}

const SessionAnswer& FleetSession::SingleNow(std::size_t instance) {
  const CallId call = Single(instance);
  while (!answered(call))
    Run(Millis(1));
  return answer(call);
}

void FleetSession::DisconnectCaller(CallId call) {
  const std::size_t instance = calls_.at(call).instance;
  engines_[instance]->OnCallerLeft(call, now_);
  RunEngine(instance);
}

void FleetSession::Repeat(double per_second,
                          Duration duration,
                          const std::function<void()>& send) {
  const Time end = now_ + duration;
  const auto gap = static_cast<std::int64_t>(1e6 / per_second);
  while (now_ < end) {
    send();
    Run(Duration(gap / 2 + static_cast<std::int64_t>(random_.Below(
                               static_cast<std::uint64_t>(gap)))));
  }
}

void FleetSession::RunLoad(double per_second, Duration duration) {
  std::size_t next = 0;
  Repeat(per_second, duration,
         [this, &next] { Search(next++ % engines_.size()); });
}

void FleetSession::RunCallers(double per_second, Duration duration) {
  Repeat(per_second, duration, [this] {
    callers_.push_back({});
    callers_.back().started = now_;
    SendForCaller(callers_.size() - 1);
  });
}

void FleetSession::SendForCaller(std::size_t caller) {
  ++callers_[caller].tries;
  SendRequest("/all/x", random_.Below(engines_.size()), caller);
}

void FleetSession::OnCallerAnswered(const CallState& call,
                                    const CallReply& reply) {
  CallerOutcome& caller = callers_[*call.caller];
  caller.status = reply.status;
  caller.took = now_ - caller.started;
  caller.last_took = now_ - call.began;
  const bool refused = reply.status == 503;
  if (refused) {
    ++caller.refusals;
    caller.late_refusals +=
        caller.last_took > options_.latency_target / 10 ? 1 : 0;
  }
  const bool impatient =
      static_cast<double>(*call.caller % 100) < options_.impatient_share * 100;
  const int retries = impatient ? kImpatientRetries : options_.retries;
  const Duration left = options_.timeout - caller.took;
  if (reply.status == 200 || caller.tries > retries || left <= Duration(0)) {
    return;
  }
  const Duration delay = refused && !impatient
                             ? reply.retry_after.value_or(Duration(0))
                             : Duration(0);
  At(now_ + std::min(delay, left / 3) + 2 * kLocalTime,
     [this, index = *call.caller] { SendForCaller(index); });
}

std::size_t FleetSession::CountShardsDown() const {
  std::map<std::string, bool> down;  // By service.
  for (const auto& [name, server] : servers_) {
    const auto row = down.try_emplace(server.entry.service, true).first;
    row->second = row->second && server.crashed;
  }
  return static_cast<std::size_t>(std::count_if(
      down.begin(), down.end(), [](const auto& row) { return row.second; }));
}

int FleetSession::crashes() const {
  int crashes = 0;
  for (const auto& [name, server] : servers_)
    crashes += server.crashes;
  return crashes;
}

void FleetSession::Crash(SessionServer* server) {
  const auto break_off = [this, server](std::size_t instance,
                                        AttemptId attempt) {
    TargetReply broken;
    broken.attempt = attempt;
    broken.outcome = AttemptOutcome::kBroken;
    Reply(instance, std::move(broken),
          NetworkTime(options_.instances[instance], server->entry.data_centre));
  };
  for (const auto& [instance, attempt] : server->running)
    break_off(instance, attempt);
  for (const auto& job : server->queue)
    break_off(job.instance, job.attempt);
  server->running.clear();
  server->queue.clear();
  server->crashing.clear();
  server->crashed = true;
  ++server->crashes;
  crash_times_.push_back(now_);
  max_shards_down_ = std::max(max_shards_down_, CountShardsDown());
  At(now_ + options_.restart_time, [this, server] {
    server->crashed = false;
    ServerEntry restarted = server->entry;
    ++restarted.started_ms;
    Announce(restarted);
  });
}

int FleetSession::runs() const {
  int runs = 0;
  for (const auto& [name, server] : servers_)
    runs += server.runs;
  return runs;
}

void FleetSession::At(Time time, std::function<void()> event) {
  events_.emplace(time, std::move(event));
}

void FleetSession::AtInstance(Time time,
                              std::size_t instance,
                              std::function<void()> event) {
  At(time, [this, instance, event = std::move(event)] {
    if (frozen_.count(instance) > 0)
      held_events_[instance].push_back(event);
    else
      event();
  });
}

void FleetSession::Thaw(std::size_t instance) {
  if (frozen_.erase(instance) == 0)
    return;
  for (const auto& event : std::exchange(held_events_[instance], {}))
    event();
  RunEngine(instance);
}

void FleetSession::Run(Duration duration) {
  const Time end = now_ + duration;
  while (true) {
    Time next = events_.empty() ? kNever : events_.begin()->first;
    const auto next_tick =
        std::min_element(next_ticks_.begin(), next_ticks_.end());
    if (std::min(next, *next_tick) > end)
      break;
    now_ = std::max(now_, std::min(next, *next_tick));
    if (next <= *next_tick) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    } else {
      RunEngine(static_cast<std::size_t>(next_tick - next_ticks_.begin()));
    }
  }
  now_ = end;
}

void FleetSession::RunEngine(std::size_t instance) {
  if (frozen_.count(instance) > 0) {
    next_ticks_[instance] = kNever;
    return;
  }
  next_ticks_[instance] = engines_[instance]->Tick(now_);
  for (auto& action : engines_[instance]->TakeActions())
    Execute(instance, std::move(action));
}

void FleetSession::Execute(std::size_t instance, DispatchAction action) {
  if (const auto* request = std::get_if<SendToServer>(&action)) {
    Deliver(instance, *request);
  } else if (const auto* forward = std::get_if<ForwardCall>(&action)) {
    Forward(instance, *forward);
  } else if (const auto* cancel = std::get_if<AbortAttempt>(&action)) {
    Abort(instance, cancel->attempt);
  } else if (const auto* pacing = std::get_if<PacingChange>(&action)) {
    pacing_starts_ += pacing->paced ? 1 : 0;
  } else if (std::holds_alternative<DataCentreChange>(action)) {
    ++data_centre_changes_;
  } else if (const auto* fetch = std::get_if<FetchRoutes>(&action)) {
    fetches_.push_back(*fetch);
  } else if (auto* done = std::get_if<CompleteCall>(&action)) {
    Complete(instance, std::move(*done));
  } else if (const auto* ping = std::get_if<PingInstance>(&action)) {
    const std::size_t other = IndexOf(ping->name);
    const bool alive = frozen_.count(other) == 0;
    const Duration network_time =
        NetworkTime(options_.instances[instance], options_.instances[other]);
    At(now_ + (alive ? 2 * network_time : Millis(400)),
       [this, instance, other, alive, name = ping->name] {
         engines_[instance]->OnPing(
             name, alive && engines_[other]->has_server_contact(), now_);
         RunEngine(instance);
       });
  } else if (const auto* exchange = std::get_if<ExchangeQuarantine>(&action)) {
    Exchange(instance, *exchange);
  } else if (const auto* ask = std::get_if<AskQuota>(&action)) {
    AskForTokens(instance, ask->ask);
  } else if (const auto* answer = std::get_if<AnswerQuota>(&action)) {
    const auto& asked = quota_refs_.at(answer->answer.ref);
    const std::size_t to = asked.first;
    const std::uint64_t id = asked.second;
    AtInstance(now_ + NetworkTime(options_.instances[instance],
                                  options_.instances[to]),
               to, [this, to, id, reply = answer->answer.answer] {
                 engines_[to]->OnQuotaAnswer(id, reply, now_);
                 RunEngine(to);
               });
  } else if (const auto* probe = std::get_if<ProbeHealth>(&action)) {
    Probe(instance, *probe);
  } else if (const auto* contact = std::get_if<ServerContactChange>(&action)) {
    contact_losses_ += contact->lost ? 1 : 0;
  }
}

void FleetSession::Probe(std::size_t instance, const ProbeHealth& probe) {
  const SessionServer& server = servers_.at(probe.server);
  ++probes_;
  const auto cut = cuts_.find(instance);
  const bool is_cut = cut != cuts_.end();
  if (is_cut && (cut->second == ServerCut::kConnectTimeout ||
                 cut->second == ServerCut::kHang)) {
    return;
  }
  const bool reachable = !server.crashed && !is_cut;
  const bool refused =
      !reachable && !(is_cut && cut->second == ServerCut::kReset);
  const ProbeReply reply{reachable,
                         refused,
                         !server.silent && !server.reports_leaving && reachable,
                         reachable && server.reports_leaving,
                         server.requests_backoff,
                         std::max(server.cold_until - now_, Duration(0))};
  At(now_ + 2 * NetworkTime(options_.instances[instance],
                            server.entry.data_centre),
     [this, instance, reply, id = probe.server] {
       engines_[instance]->OnProbe(id, reply, now_);
       RunEngine(instance);
     });
}

void FleetSession::AskForTokens(std::size_t instance,
                                const OutgoingQuotaAsk& ask) {
  ++quota_asks_;
  const std::size_t other = IndexOf(ask.instance);
  const std::uint64_t ref = next_quota_ref_++;
  quota_refs_[ref] = {instance, ask.id};
  AtInstance(now_ + NetworkTime(options_.instances[instance],
                                options_.instances[other]),
             other, [this, other, ref, ask = ask.ask] {
               engines_[other]->OnQuotaAsk(ref, ask, now_);
               RunEngine(other);
             });
}

void FleetSession::Exchange(std::size_t instance,
                            const ExchangeQuarantine& exchange) {
  ++exchanges_;
  exchanged_notices_ += exchange.notices.size();
  const std::size_t other = IndexOf(exchange.instance);
  const Duration network_time =
      NetworkTime(options_.instances[instance], options_.instances[other]);
  const auto delay = [this, network_time] {
    return network_time +
           Scaled(options_.exchange_delay, exchange_random_.Unit());
  };
  const auto is_lost = [this] {
    return exchange_random_.Unit() < options_.exchange_loss;
  };
  if (is_lost())
    return;
  const Time arrival = now_ + delay();
  AtInstance(arrival, other, [this, instance, other, delay, is_lost, exchange] {
    engines_[other]->OnQuarantineNotices(exchange.notices, exchange.scope,
                                         now_);
    RunEngine(other);
    if (is_lost() || exchange.scope == NoticeScope::kChanges)
      return;
    AtInstance(
        now_ + delay(), instance,
        [this, instance, notices = engines_[other]->QuarantineNotices(now_)] {
          exchanged_notices_ += notices.size();
          engines_[instance]->OnQuarantineNotices(notices, NoticeScope::kAll,
                                                  now_);
          RunEngine(instance);
        });
  });
}

Duration FleetSession::NetworkTime(const std::string& from,
                                   const std::string& to) const {
  return from == to
             ? kLocalTime
             : (RegionOf(from) == RegionOf(to) ? Millis(1)
                                               : options_.cross_region_time);
}

std::size_t FleetSession::IndexOf(const std::string& name) const {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].name == name)
      return i;
  }
  return 0;
}

void FleetSession::CutFromServers(std::size_t instance, ServerCut cut) {
  cuts_[instance] = cut;
  if (cut == ServerCut::kRefuseNew)
    return;
  if (cut == ServerCut::kRefuseMost) {
    std::size_t next = 0;
    std::erase_if(connections_, [&](const auto& connection) {
      return connection.first.first == instance && next++ % 4 > 0;
    });
    return;
  }
  std::erase_if(connections_, [instance](const auto& connection) {
    return connection.first.first == instance;
  });
  for (auto& [name, server] : servers_) {
    std::erase_if(server.running, [&](const auto& running) {
      if (running.first != instance)
        return false;
      if (cut == ServerCut::kRefuse || cut == ServerCut::kReset) {
        TargetReply broken;
        broken.attempt = running.second;
        broken.outcome = AttemptOutcome::kBroken;
        Reply(instance, std::move(broken), kLocalTime);
      }
      return true;
    });
  }
}

bool FleetSession::OpensConnection(std::size_t instance,
                                   const SendToServer& request) {
  const SessionServer& server = servers_.at(request.server);
  const auto in_use =
      std::count_if(
          server.running.begin(), server.running.end(),
          [&](const auto& running) { return running.first == instance; }) +
      std::count_if(server.queue.begin(), server.queue.end(),
                    [&](const SessionServer::Job& job) {
                      return job.instance == instance;
                    });
  int& connections = connections_[{instance, request.server}];
  if (in_use < connections)
    return false;
  connections += cuts_.count(instance) > 0 ? 0 : 1;
  return true;
}

void FleetSession::Deliver(std::size_t instance, const SendToServer& request) {
  const SessionServer& server = servers_.at(request.server);
  const bool opens = OpensConnection(instance, request);
  const auto cut = cuts_.find(instance);
  const bool keeps_open =
      cut != cuts_.end() && (cut->second == ServerCut::kRefuseNew ||
                             cut->second == ServerCut::kRefuseMost);
  if (cut != cuts_.end() && (opens || !keeps_open)) {
    if (cut->second == ServerCut::kHang)
      return;
    constexpr Duration kConnectTimeout = Millis(400);
    TargetReply lost;
    lost.attempt = request.attempt;
    lost.outcome = cut->second == ServerCut::kReset
                       ? AttemptOutcome::kConnectionRejected
                       : AttemptOutcome::kNotSent;
    return Reply(instance, std::move(lost),
                 cut->second == ServerCut::kConnectTimeout ? kConnectTimeout
                                                           : kLocalTime);
  }
  At(now_ + NetworkTime(options_.instances[instance], server.entry.data_centre),
     [this, instance, request] { Arrive(instance, request); });
}

void FleetSession::Arrive(std::size_t instance, const SendToServer& request) {
  SessionServer& server = servers_.at(request.server);
  const Duration network_time =
      NetworkTime(options_.instances[instance], server.entry.data_centre);
  if (server.crashed) {
    TargetReply refused;
    refused.attempt = request.attempt;
    refused.outcome = AttemptOutcome::kNotSent;
    return Reply(instance, std::move(refused), network_time);
  }
  if (IsDeadly(request.message->target))
    deadly_arrivals_.push_back(now_);
  ++server.arrivals;
  server.arrival_times.push_back(now_);
  ++server.arrivals_from[instance];
  ++server.arrivals_by_account[request.account];
  server.arrivals_with_credentials +=
      request.message->credentials.empty() ? 0 : 1;
  const auto connections =
      static_cast<int>(server.running.size() + server.queue.size());
  if (connections >= server.max_connections) {
    TargetReply reset;
    reset.attempt = request.attempt;
    reset.outcome = AttemptOutcome::kConnectionRejected;
    return Reply(instance, std::move(reset), network_time);
  }
  if (server.requests_backoff || server.queue.size() >= server.max_queued ||
      random_.Unit() < server.reject_ratio || server.reject_next > 0) {
    server.reject_next -= server.reject_next > 0 ? 1 : 0;
    ++server.rejections;
    TargetReply rejected;
    AddNotices(server, &rejected);
    rejected.backoff = server.requests_backoff;
    rejected.attempt = request.attempt;
    rejected.outcome = AttemptOutcome::kAnswered;
    rejected.status = 503;
    rejected.not_executed = true;
    return Reply(instance, std::move(rejected), network_time);
  }
  SessionServer::Job job{instance, request.attempt, request.message->request_id,
                         request.message->target};
  if (server.running.size() < server.entry.slots)
    Start(&server, std::move(job));
  else
    server.queue.push_back(std::move(job));
}

void FleetSession::Start(SessionServer* server, SessionServer::Job job) {
  server->running.emplace(job.instance, job.attempt);
  if (options_.crashes_if_cancelled && IsDeadly(job.target))
    server->crashing.emplace(job.instance, job.attempt);
  server->max_running =
      std::max(server->max_running, static_cast<int>(server->running.size()));
  ++server->runs;
  ++server->runs_by_request[job.request_id];
  if (server->sends_foreign_refusals) {
    TargetReply refusal;
    refusal.attempt = job.attempt;
    refusal.outcome = AttemptOutcome::kAnswered;
    refusal.status = 503;
    refusal.not_executed = true;
    refusal.maybe_foreign = true;
    Reply(job.instance, std::move(refusal), Duration(0));
  }
  if (server->silent)
    return;
  const double spread = 0.7 + 0.6 * random_.Unit();
  const bool is_deadly =
      IsDeadly(job.target) && options_.deadly_work > Duration::zero();
  const Duration work =
      Scaled(is_deadly ? options_.deadly_work : server->work, spread);
  At(std::max(now_, server->paused_until) + work,
     [this, server, job] { Finish(server, job); });
}

void FleetSession::Finish(SessionServer* server,
                          const SessionServer::Job& job) {
  if (server->running.count({job.instance, job.attempt}) == 0)
    return;
  if (IsDeadly(job.target)) {
    if (random_.Unit() >= options_.answered_before_crash)
      return Crash(server);
    At(now_ + kCrashAfterAnswer, [this, server] {
      if (!server->crashed)
        Crash(server);
    });
  }
  server->running.erase({job.instance, job.attempt});
  TargetReply reply;
  reply.attempt = job.attempt;
  reply.outcome = server->resets_connections ? AttemptOutcome::kBroken
                                             : AttemptOutcome::kAnswered;
  reply.status = server->failing ? 500 : 200;
  AddNotices(*server, &reply);
  if (!server->omits_signature)
    reply.signature = server->entry.id + "/" + job.request_id;
  reply.body = std::string(15, 'x') + server->entry.id.back();
  Reply(
      job.instance, std::move(reply),
      NetworkTime(options_.instances[job.instance], server->entry.data_centre));
  if (!server->queue.empty()) {
    SessionServer::Job next = std::move(server->queue.front());
    server->queue.pop_front();
    Start(server, std::move(next));
  }
}

void FleetSession::Reply(std::size_t instance,
                         TargetReply reply,
                         Duration network_time) {
  AtInstance(now_ + network_time, instance,
             [this, instance, process = restarts_[instance],
              reply = std::move(reply)] {
               if (restarts_[instance] != process)
                 return;
               engines_[instance]->OnReply(reply, now_);
               RunEngine(instance);
             });
}

void FleetSession::Forward(std::size_t instance, const ForwardCall& forward) {
  ++forwards_;
  const std::size_t other = IndexOf(forward.coordinator);
  forwarded_to_.insert(options_.instances[other]);
  const Duration network_time =
      NetworkTime(options_.instances[instance], options_.instances[other]);
  if (options_.old_builds.count(other) > 0 && forward.account_checked) {
    TargetReply unknown;
    unknown.attempt = forward.attempt;
    unknown.outcome = AttemptOutcome::kAnswered;
    unknown.status = 404;
    unknown.not_executed = true;
    return Reply(instance, std::move(unknown), 2 * network_time);
  }
  AtInstance(now_ + network_time, other, [this, instance, other, forward] {
    const CallId id = next_call_++;
    calls_[id] = {other, instance, forward.attempt, true, {}, now_};
    forwarded_[{instance, forward.attempt}] = id;
    CallRequest call;
    call.id = id;
    call.message = forward.message;
    call.forwarded = true;
    call.caller_timeout = forward.time_left;
    call.target_left = forward.target_left;
    call.routes_version = forward.routes_version;
    call.allowed_regions = forward.allowed_regions;
    call.only_shards = forward.shards;
    call.max_missing = forward.max_missing;
    call.top_records = forward.top_records;
    call.account = forward.account;
    call.account_checked = forward.account_checked;
    engines_[other]->OnCall(std::move(call), now_);
    RunEngine(other);
  });
}

void FleetSession::Complete(std::size_t instance, CompleteCall done) {
  const CallState& call = calls_.at(done.call);
  if (!call.peer) {
    if (call.caller)
      OnCallerAnswered(call, done.reply);
    answers_[done.call] = {std::move(done.reply), std::move(done.record), now_};
    return;
  }
  TargetReply reply;
  reply.attempt = call.from_attempt;
  reply.outcome = AttemptOutcome::kAnswered;
  reply.status = done.reply.status;
  reply.headers = std::move(done.reply.headers);
  reply.from_server = done.reply.from_server;
  reply.servers_unreachable =
      done.record.code == ResultCode::kServersUnreachable;
  reply.body = std::move(done.reply.body);
  reply.part_signatures = std::move(done.reply.part_signatures);
  reply.missing_parts = done.reply.missing_parts;
  reply.not_executed = IsForwardRefusal(done.record.code);
  reply.newer_routes = done.reply.newer_routes;
  reply.leaving_servers = std::move(done.reply.leaving_servers);
  reply.retry_after = done.reply.retry_after;
  reply.queue_pressure = done.reply.queue_pressure;
  reply.missing_runs = std::move(done.reply.missing_runs);
  const Duration network_time =
      NetworkTime(options_.instances[instance], options_.instances[call.from]);
  if (connected_.emplace(call.from, instance).second)
    reply.connect_time = 2 * network_time;
  Reply(call.from, std::move(reply), network_time);
}

void FleetSession::Abort(std::size_t instance, AttemptId attempt) {
  const auto forward = forwarded_.find({instance, attempt});
  if (forward != forwarded_.end()) {
    const CallId call = forward->second;
    const std::size_t other = calls_.at(call).instance;
    At(now_ + kLocalTime, [this, call, other] {
      engines_[other]->OnCallerLeft(call, now_);
      RunEngine(other);
    });
    return;
  }
  for (auto& [name, server] : servers_) {
    const std::size_t queued =
        std::erase_if(server.queue, [&](const SessionServer::Job& job) {
          return job.instance == instance && job.attempt == attempt;
        });
    if (server.crashing.count({instance, attempt}) > 0)
      continue;
    if (queued + server.running.erase({instance, attempt}) > 0)
      ++server.cancelled;
  }
}

}  // namespace limpetrudder
