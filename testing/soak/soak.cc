#include "testing/soak/soak.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <iostream>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/clock.h"
#include "framework/http_status.h"
#include "net/http_text.h"

namespace limpetrudder::testbed {
namespace {

constexpr char kHost[] = "soak.example";
constexpr char kWriteService[] = "book";
constexpr std::size_t kTopRecords = 5;
constexpr double kCoverageFloor = 0.5;

// Time after which a draining server gets no new requests, time after a fault
// until requests count as fault-free, and the callers' timeout: the bounds that
// the documentation of the real platform states.
constexpr Duration kDrainGracePeriod = Millis(3000);
constexpr Duration kRecoveryTime = Millis(4000);
constexpr Duration kCallerTimeout = Millis(1500);

// Offsets from the first port, which is the store's: proxies of the servers,
// servers behind their proxies (from the proxy's port), and four ports for each
// entry instance.
constexpr int kServerPortOffset = 100;
constexpr int kServerBehindProxyOffset = 500;
constexpr int kEntryPortOffset = 1200;

// Memory limit of an entry instance: that of the platform's smallest machines.
constexpr std::size_t kMaxResidentBytes = std::size_t{160} << 20;

constexpr Duration kHeartbeatInterval = Millis(400);
constexpr Duration kWarmUpPhase = Millis(3500);
constexpr Duration kFinalPhase = Millis(6000);

// Minimum share of fault-free requests that must be served.
constexpr double kMinServedRatio = 0.95;

// How long instances are cut off from all servers, and the time after which
// their callers have to be served.
constexpr Duration kServerCutTime = Millis(9000);
constexpr Duration kServerCutAdaptTime = Millis(4000);

// Callers at cut-off instances must be served at least two thirds as often as
// the others, unless at most ten requests and one in fifty fail there.
constexpr double kMinServedAtCut = 2.0 / 3;
constexpr int kMaxFailedAtCut = 10;
constexpr int kMaxFailedAtCutDivisor = 50;

// A request of death comes at this interval. Once it has crashed three servers,
// and kContactTime has passed, it may reach servers three times more. Servers
// start again after kServerRestartTime. Its first quarantine and the trial
// after it have ended by the end.
constexpr Duration kDeadlyInterval = Millis(50);
constexpr Duration kContactTime = Seconds(4);
constexpr Duration kServerRestartTime = Seconds(3);
constexpr Duration kDeadlyTime = Seconds(8);
constexpr std::size_t kCrashesBeforeBound = 3;
constexpr int kMaxLateArrivals = 3;

// Another writer's entries, and how often a request is sent to an instance that
// gets stop signals. It gets them until it would be taken out of the balancer.
constexpr int kForeignValues = 2;
constexpr std::size_t kForeignValueBytes = 1'000'000;
constexpr Duration kStopRequestInterval = Millis(10);
constexpr Duration kStopSignalTime = Millis(2200);
constexpr int kStopSignals[] = {SIGTERM, SIGHUP, SIGINT};

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t comma = std::min(text.find(", ", at), text.size());
    items.emplace_back(text.substr(at, comma - at));
    at = comma + 2;
  }
  return items;
}

}  // namespace

Soak::Soak(SoakOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      stop_random_(options_.seed + 2),
      foreign_random_(options_.seed + 3),
      store_(&context_, options_.first_port),
      callers_(&context_, {"Request-Id"}, [this](PoolResponse response) {
        OnResponse(std::move(response));
      }) {
  StartFleet();
}

Soak::~Soak() = default;

int Soak::LastPort(const SoakOptions& options) {
  return options.first_port + kEntryPortOffset + 4 * options.entries;
}

void Soak::StartFleet() {
  auto port =
      static_cast<std::uint16_t>(options_.first_port + kServerPortOffset);
  const auto add_server = [&](const std::string& service, int replica) {
    const std::string id = "i-" + service + std::to_string(replica);
    const auto server_port =
        static_cast<std::uint16_t>(port + kServerBehindProxyOffset);
    servers_.push_back(std::make_unique<ServerStandIn>(
        &context_, id, service, server_port, port, &counters_, random_.Next()));
    servers_.back()->SetCrashHandler(
        [this, index = servers_.size() - 1] { CrashServer(index); });
    server_proxies_.push_back(
        std::make_unique<TcpProxy>(&context_, port, server_port));
    ++port;
  };
  for (int shard = 0; shard < options_.shards; ++shard) {
    for (int replica = 0; replica < options_.replicas; ++replica)
      add_server("shard" + std::to_string(shard), replica);
  }
  for (int replica = 0; replica < 3; ++replica)
    add_server(kWriteService, replica);
  store_.Put("op/config", MakeConfig(version_));
  Heartbeat();
  for (int i = 0; i < options_.entries; ++i) {
    const auto base = static_cast<std::uint16_t>(options_.first_port +
                                                 kEntryPortOffset + 4 * i);
    store_proxies_.push_back(std::make_unique<TcpProxy>(
        &context_, static_cast<std::uint16_t>(base + 3), options_.first_port));
    std::vector<std::string> binaries = {options_.binary};
    if (!options_.other_binary.empty())
      binaries.push_back(options_.other_binary);
    entries_.push_back(std::make_unique<EntryProcess>(
        std::move(binaries), static_cast<std::size_t>(i), options_.folder,
        EntryOptions{"entry-" + std::to_string(i), base,
                     static_cast<std::uint16_t>(base + 1),
                     static_cast<std::uint16_t>(base + 2),
                     static_cast<std::uint16_t>(base + 3)}));
    entries_.back()->Start();
  }
}

std::string Soak::MakeConfig(std::uint64_t version) const {
  using Json = nlohmann::json;
  Json shards = Json::array();
  Json services = Json::array();
  const auto add_service = [&services](const std::string& name) {
    services.push_back({{"Name", name},
                        {"HealthPath", "/healthz"},
                        {"MaxConns", 60},
                        {"Protocol", "h1"},
                        {"Tls", false}});
  };
  for (int shard = 0; shard < options_.shards; ++shard) {
    shards.push_back("shard" + std::to_string(shard));
    add_service(shards.back());
  }
  add_service(kWriteService);
  const Json common = {{"Host", kHost},
                       {"TimeoutMs", 1200},
                       {"LatencyTargetMs", 150},
                       {"Priority", 1},
                       {"MaxAttempts", 2}};
  Json search = common;
  search.update({{"Name", "search"},
                 {"Prefix", "/search/"},
                 {"Kind", "idempotent"},
                 {"Gather", shards},
                 {"TopK", kTopRecords},
                 {"MinRatio", kCoverageFloor}});
  Json read = common;
  read.update({{"Name", "read"},
               {"Prefix", "/read/"},
               {"Kind", "idempotent"},
               {"Service", kWriteService}});
  Json write = common;
  write.update({{"Name", "write"},
                {"Prefix", "/write/"},
                {"Kind", "non_idempotent"},
                {"Service", kWriteService}});
  return Json({{"Version", version},
               {"Routes", Json::array({search, read, write})},
               {"Services", services},
               {"Limits",
                {{"MaxHeaderBytes", 16384},
                 {"MaxBodyBytes", 262144},
                 {"HeaderTimeoutMs", 3000},
                 {"IdleTimeoutMs", 15000}}}})
      .dump();
}

std::vector<std::string> Soak::Run() {
  start_ = SteadyNow();
  RunPhase(kWarmUpPhase, /*with_faults=*/false);
  RunPhase(options_.fault_duration, /*with_faults=*/true);
  for (auto& fault : std::exchange(active_faults_, {}))
    fault.undo();
  last_fault_end_ = SteadyNow();
  RunPhase(kRecoveryTime, /*with_faults=*/false);
  RunServerCut();
  RunRequestOfDeath();
  RunPhase(kRecoveryTime, /*with_faults=*/false);
  RunRepeatedStop();
  RunPhase(kFinalPhase + kRecoveryTime, /*with_faults=*/false);
  RunPhase(kCallerTimeout, /*with_faults=*/false);
  CheckServerCounters();
  Log("requests " + std::to_string(next_request_ - 1) + ", served " +
      std::to_string(served_) + ", fault-free " +
      std::to_string(fault_free_served_) + " of " +
      std::to_string(fault_free_sent_) + ", faults " +
      std::to_string(fault_count_));
  return violations_;
}

void Soak::RunPhase(Duration duration, bool with_faults) {
  const Time end = SteadyNow() + duration;
  const Duration gap(
      static_cast<std::int64_t>(1e6 / options_.requests_per_second));
  Time next_send = SteadyNow();
  Time next_heartbeat = SteadyNow();
  Time next_fault = SteadyNow();
  Time next_cut_update = SteadyNow();
  for (Time now = SteadyNow(); now < end; now = SteadyNow()) {
    if (now >= next_send) {
      SendNextRequest();
      next_send += gap;
    }
    if (now >= next_heartbeat) {
      Heartbeat();
      RestartExited();
      next_heartbeat = now + kHeartbeatInterval;
    }
    if (now >= next_deadly_) {
      SendRequest(next_deadly_entry_++ % entries_.size(), Kind::kDeadlySearch);
      next_deadly_ = now + kDeadlyInterval;
    }
    if (now >= next_stop_signal_)
      SendStopSignal();
    if (now >= next_stop_request_) {
      SendRequest(stopped_entry_, Kind::kSearch);
      next_stop_request_ += kStopRequestInterval;
    }
    EndExpiredFaults(now);
    if (servers_cut_ && now >= next_cut_update) {
      UpdateCutConnections();
      next_cut_update = now + kCutDelay / 2;
    }
    if (with_faults && now >= next_fault) {
      InjectFault();
      next_fault =
          now + Millis(200 + static_cast<std::int64_t>(random_.Below(1800)));
    }
    context_.restart();
    context_.run_for(std::chrono::milliseconds(2));
  }
}

void Soak::Heartbeat() {
  ++sequence_;
  for (const auto& server : servers_)
    store_.Put("servers/" + server->id(), server->StoreValue(sequence_));
  WriteForeignValues();
  store_.SaveCopy();
  for (const auto& entry : entries_) {
    if (entry->ResidentBytes() > kMaxResidentBytes)
      ReportViolation(entry->options().name + " exceeds its memory limit");
  }
}

void Soak::WriteForeignValues() {
  for (int i = 0; i < kForeignValues; ++i) {
    std::string value;
    while (value.size() < kForeignValueBytes) {
      const std::uint64_t bits = foreign_random_.Next();
      value.append(reinterpret_cast<const char*>(&bits), sizeof(bits));
    }
    store_.Put("servers/other-" + std::to_string(i), value);
  }
  store_.Put("servers/odd-" + std::to_string(sequence_), "odd");
}

std::string Soak::PathOf(Kind kind) {
  switch (kind) {
    case Kind::kSearch:
      return "/search/x";
    case Kind::kRead:
      return "/read/x";
    case Kind::kWrite:
      return "/write/x";
    case Kind::kDeadlySearch:
      return std::string("/search/") + kDeadlyPath;
  }
  return "";
}

void Soak::SendNextRequest() {
  const std::size_t entry = random_.Below(entries_.size());
  const std::uint64_t choice = random_.Below(10);
  SendRequest(entry, choice < 6 ? Kind::kSearch
                                : (choice < 8 ? Kind::kRead : Kind::kWrite));
}

void Soak::SendRequest(std::size_t entry, Kind kind) {
  // NOTE The balancer sends nothing to a process that has exited or is leaving,
  // but callers keep using their open connections, here for 2.2 seconds.
  const EntryProcess& process = *entries_[entry];
  if (!process.running() ||
      (process.stopping() &&
       SteadyNow() - process.stop_time() > kStopSignalTime))
    return;
  const std::uint64_t id = next_request_++;
  PendingRequest pending;
  pending.kind = kind;
  pending.request_id =
      "r" + std::to_string(options_.seed) + "-" + std::to_string(id);
  pending.entry = entry;
  pending.sent = SteadyNow();
  pending.fault_free = IsFaultFree();
  pending.cancels_early = random_.Below(40) == 0;
  pending.during_cut =
      !pending.cancels_early && SteadyNow() >= cut_counts_from_;
  Count& count =
      cut_entries_.count(entry) > 0 ? at_cut_entries_ : at_other_entries_;
  count.sent += pending.during_cut ? 1 : 0;
  pending.during_deadly = kind != Kind::kDeadlySearch &&
                          !pending.cancels_early &&
                          SteadyNow() >= deadly_counts_from_;
  during_deadly_.sent += pending.during_deadly ? 1 : 0;
  pending.during_stop = !pending.cancels_early &&
                        next_stop_request_ != kNever && entry == stopped_entry_;
  during_stop_.sent += pending.during_stop ? 1 : 0;
  if (kind == Kind::kWrite)
    write_ids_.insert(pending.request_id);
  PoolRequest request;
  request.id = id;
  request.server = process.options().name;
  request.address =
      "127.0.0.1:" + std::to_string(process.options().caller_port);
  request.echo = pending.request_id;
  request.bytes =
      std::string(kind == Kind::kWrite ? "POST " : "GET ") + PathOf(kind) +
      " HTTP/1.1\r\nHost: " + kHost + "\r\nRequest-Id: " + pending.request_id +
      "\r\nTimeout-Ms: " + std::to_string(WholeMillis(kCallerTimeout)) +
      "\r\n" +
      (kind == Kind::kWrite ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
  callers_.Send(std::move(request));
  pending.timer = std::make_shared<asio::steady_timer>(context_);
  pending.timer->expires_after(pending.cancels_early ? Millis(20)
                                                     : kCallerTimeout);
  pending.timer->async_wait([this, id](const asio::error_code& error) {
    if (error || pending_.erase(id) == 0)
      return;
    callers_.Cancel(id);
  });
  if (pending.fault_free && !pending.cancels_early)
    ++fault_free_sent_;
  pending_[id] = std::move(pending);
}

void Soak::OnResponse(PoolResponse response) {
  const auto found = pending_.find(response.id);
  if (found == pending_.end())
    return;
  const PendingRequest pending = std::move(found->second);
  pending_.erase(found);
  pending.timer->cancel();
  if (response.outcome != AttemptOutcome::kAnswered)
    return CheckLostRequest(pending, response);
  const int status = response.status;
  if (status == 503 || status == 429)
    refused_[pending.request_id] = status;
  if (status == 404 || status == 400)
    ReportViolation(pending.request_id + " was answered " +
                    std::to_string(status) + " although its route exists");
  if (!http_status::IsSuccess(status))
    return;
  ++served_;
  Count& count = cut_entries_.count(pending.entry) > 0 ? at_cut_entries_
                                                       : at_other_entries_;
  count.served += pending.during_cut ? 1 : 0;
  during_deadly_.served += pending.during_deadly ? 1 : 0;
  during_stop_.served += pending.during_stop ? 1 : 0;
  if (pending.fault_free && !pending.cancels_early)
    ++fault_free_served_;
  if (pending.kind == Kind::kSearch)
    CheckSearchResponse(pending, response);
  else
    CheckSingleResponse(pending, response);
}

// Checks that all signatures belong to this request, at most one for each
// shard, that the count of missing parts is right and that the records are the
// greatest of the parts that arrived.
void Soak::CheckSearchResponse(const PendingRequest& pending,
                               const PoolResponse& response) {
  const auto signatures =
      SplitList(HeaderValue(response.headers, "Part-Stamps"));
  std::set<std::string> shards;
  std::vector<std::string> records;
  for (int shard = 0; shard < options_.shards; ++shard) {
    const std::string service = "shard" + std::to_string(shard);
    const std::string signature = PartSignature(service, pending.request_id);
    const auto count =
        std::count(signatures.begin(), signatures.end(), signature);
    if (count == 0)
      continue;
    if (count > 1)
      ReportViolation(pending.request_id + " contains a part twice");
    shards.insert(service);
    const std::string part = PartRecords(service, pending.request_id);
    for (std::size_t at = 0; at + 16 <= part.size(); at += 16)
      records.push_back(part.substr(at, 16));
  }
  if (shards.size() != signatures.size())
    ReportViolation(pending.request_id + " contains a part of another request");
  const int missing = std::atoi(
      std::string(HeaderValue(response.headers, "Missing-Parts")).c_str());
  if (static_cast<int>(shards.size()) + missing != options_.shards)
    ReportViolation(pending.request_id + " has a wrong count of missing parts");
  if (static_cast<double>(shards.size()) < kCoverageFloor * options_.shards)
    ReportViolation(pending.request_id + " is below the coverage floor");
  std::sort(records.rbegin(), records.rend());
  std::string body;
  for (std::size_t i = 0; i < std::min(kTopRecords, records.size()); ++i)
    body += records[i];
  if (body != response.body)
    ReportViolation(pending.request_id +
                    " doesn't consist of the greatest records of its parts");
}

void Soak::CheckSingleResponse(const PendingRequest& pending,
                               const PoolResponse& response) {
  if (HeaderValue(response.headers, "Server-Stamp") !=
          PartSignature(kWriteService, pending.request_id) ||
      response.body != PartRecords(kWriteService, pending.request_id)) {
    ReportViolation(pending.request_id +
                    " got the response to another request");
  }
}

// Checks that a planned stop interrupts no request: a connection may only end
// before the process has read the request, when the request and the close cross
// on the way.
void Soak::CheckLostRequest(const PendingRequest& pending,
                            const PoolResponse& response) {
  const EntryProcess& process = *entries_[pending.entry];
  const bool ran =
      std::any_of(servers_.begin(), servers_.end(), [&](const auto& server) {
        return counters_.runs.count(pending.request_id + "@" +
                                    server->service()) > 0;
      });
  if (process.stopping() && process.running() && !process.paused() &&
      pending.fault_free && ran &&
      response.outcome == AttemptOutcome::kBroken) {
    ReportViolation(pending.request_id +
                    " was interrupted by a planned stop of " +
                    process.options().name);
  }
}

void Soak::RunServerCut() {
  // NOTE Draws from numbers of its own, so that older seeds give the same
  // faults before.
  Random random(options_.seed + 1);
  const std::size_t count = 1 + random.Below(entries_.size() - 1);
  const std::size_t first = random.Below(entries_.size());
  for (std::size_t i = 0; i < count; ++i)
    cut_entries_.insert((first + i) % entries_.size());
  const ProxyMode mode =
      random.Below(2) == 0 ? ProxyMode::kSilent : ProxyMode::kRefuse;
  const bool cuts_open = random.Below(3) != 0;
  Log(std::to_string(count) + " instances from " + std::to_string(first) +
      " on cut off from all servers, " +
      std::string(NameOf(kProxyModeNames, mode)) +
      (cuts_open ? "" : ", open connections live on"));
  servers_cut_ = true;
  UpdateCutConnections();
  const auto is_cut = [this](std::uint16_t from, std::uint16_t to) {
    return cut_connections_.count({from, to}) > 0;
  };
  for (const auto& proxy : server_proxies_)
    proxy->CutClients(is_cut, mode, cuts_open);
  EndFaultAfter(kServerCutTime + kCallerTimeout, [] {});
  RunPhase(kServerCutAdaptTime, /*with_faults=*/false);
  cut_counts_from_ = SteadyNow();
  RunPhase(kServerCutTime - kServerCutAdaptTime, /*with_faults=*/false);
  cut_counts_from_ = kNever;
  servers_cut_ = false;
  for (const auto& proxy : server_proxies_)
    proxy->ReconnectClients();
  RunPhase(kCallerTimeout, /*with_faults=*/false);
  CheckServerCut();
}

void Soak::UpdateCutConnections() {
  const auto all = ReadLoopbackConnections();
  cut_connections_.clear();
  for (const std::size_t entry : cut_entries_)
    entries_[entry]->AddConnections(all, &cut_connections_);
}

void Soak::CheckServerCut() {
  const auto share = [](const Count& count) {
    return static_cast<double>(count.served) / std::max(1, count.sent);
  };
  const int failed = at_cut_entries_.sent - at_cut_entries_.served;
  const int max_failed =
      kMaxFailedAtCut +
      (at_cut_entries_.sent + at_other_entries_.sent) / kMaxFailedAtCutDivisor;
  const std::string counts = std::to_string(at_cut_entries_.served) + " of " +
                             std::to_string(at_cut_entries_.sent) +
                             " served at instances cut off from all servers, " +
                             std::to_string(at_other_entries_.served) + " of " +
                             std::to_string(at_other_entries_.sent) +
                             " at the others";
  Log(counts);
  if (share(at_other_entries_) < kMinServedRatio)
    ReportViolation(counts);
  if (share(at_cut_entries_) < kMinServedAtCut * share(at_other_entries_) &&
      failed > max_failed) {
    ReportViolation(counts);
  }
}

void Soak::RunRequestOfDeath() {
  const std::size_t restarted = options_.seed % entries_.size();
  Log("a request of death; " + entries_[restarted]->options().name +
      " restarts meanwhile");
  next_deadly_ = SteadyNow();
  deadly_counts_from_ = SteadyNow() + kContactTime;
  EndFaultAfter(kDeadlyTime, [] {});
  RunPhase(kDeadlyTime / 4, /*with_faults=*/false);
  entries_[restarted]->Signal(SIGTERM);
  RunPhase(kDeadlyTime - kDeadlyTime / 4, /*with_faults=*/false);
  next_deadly_ = kNever;
  deadly_counts_from_ = kNever;
  RunPhase(kCallerTimeout, /*with_faults=*/false);
  CheckRequestOfDeath();
}

void Soak::RunRepeatedStop() {
  stopped_entry_ = stop_random_.Below(entries_.size());
  EntryProcess& entry = *entries_[stopped_entry_];
  Log("SIGTERM " + entry.options().name + ", and further signals");
  entry.Signal(SIGTERM);
  next_stop_request_ = SteadyNow();
  next_stop_signal_ = SteadyNow() + Millis(200);
  RunPhase(kStopSignalTime, /*with_faults=*/false);
  next_stop_signal_ = kNever;
  next_stop_request_ = kNever;
  RunPhase(kCallerTimeout, /*with_faults=*/false);
  const std::string counts =
      std::to_string(during_stop_.served) + " of " +
      std::to_string(during_stop_.sent) +
      " requests served by an instance that got stop signals";
  Log(counts);
  if (during_stop_.served <
      kMinServedRatio * static_cast<double>(during_stop_.sent)) {
    ReportViolation(counts);
  }
}

void Soak::SendStopSignal() {
  const int signal = kStopSignals[stop_random_.Below(std::size(kStopSignals))];
  EntryProcess& entry = *entries_[stopped_entry_];
  Log(std::string(strsignal(signal)) + " to " + entry.options().name);
  entry.Signal(signal);
  next_stop_signal_ =
      SteadyNow() +
      Millis(100 + static_cast<std::int64_t>(stop_random_.Below(500)));
}

void Soak::CrashServer(std::size_t index) {
  if (!crashed_servers_.insert(index).second)
    return;
  crash_times_.push_back(SteadyNow());
  Log(servers_[index]->id() + " crashes");
  server_proxies_[index]->Shut();
  EndFaultAfter(kServerRestartTime, [this, index] {
    crashed_servers_.erase(index);
    servers_[index]->Restart();
    server_proxies_[index]->Open();
  });
}

void Soak::CheckRequestOfDeath() {
  const auto& arrivals = counters_.deadly_arrivals;
  std::ptrdiff_t late = 0;
  if (crash_times_.size() >= kCrashesBeforeBound) {
    const Time since = crash_times_[kCrashesBeforeBound - 1] + kContactTime;
    late = std::count_if(arrivals.begin(), arrivals.end(),
                         [since](Time arrival) { return arrival > since; });
  }
  const std::string counts =
      "a request of death reached servers " + std::to_string(arrivals.size()) +
      " times, " + std::to_string(late) + " of these late; " +
      std::to_string(during_deadly_.served) + " of " +
      std::to_string(during_deadly_.sent) + " sound requests served meanwhile";
  Log(counts);
  if (late > kMaxLateArrivals || arrivals.empty() ||
      during_deadly_.served <
          kMinServedRatio * static_cast<double>(during_deadly_.sent)) {
    ReportViolation(counts);
  }
}

void Soak::CheckServerCounters() {
  for (const auto& [key, runs] : counters_.runs) {
    const std::string request_id = key.substr(0, key.find('@'));
    const int max_runs = write_ids_.count(request_id) > 0 ? 1 : 2;
    if (runs > max_runs)
      ReportViolation(key + " ran " + std::to_string(runs) + " times");
    if (refused_.count(request_id) > 0)
      ReportViolation(request_id + " ran although it was answered " +
                      std::to_string(refused_.at(request_id)));
  }
  if (counters_.arrivals_after_drain > 0)
    ReportViolation(std::to_string(counters_.arrivals_after_drain) +
                    " requests reached servers after their drain deadline");
  if (counters_.arrivals_during_backoff > 0)
    ReportViolation(std::to_string(counters_.arrivals_during_backoff) +
                    " requests reached servers that had asked for backoff");
  if (fault_free_sent_ == 0)
    ReportViolation("no request was fault-free: some process never ran");
  if (fault_free_served_ <
      kMinServedRatio * static_cast<double>(fault_free_sent_)) {
    ReportViolation("only " + std::to_string(fault_free_served_) + " of " +
                    std::to_string(fault_free_sent_) +
                    " fault-free requests were served");
  }
}

void Soak::InjectFault() {
  ++fault_count_;
  switch (random_.Below(4)) {
    case 0:
    case 1:
      return InjectEntryFault(entries_[random_.Below(entries_.size())].get());
    case 2:
      return InjectServerFault();
    default:
      return random_.Below(3) == 0 ? ChangeConfig() : InjectStoreFault();
  }
}

void Soak::InjectEntryFault(EntryProcess* entry) {
  if (!entry->running())
    return;
  const std::string& name = entry->options().name;
  const Duration pause =
      Millis(200 + static_cast<std::int64_t>(random_.Below(2500)));
  switch (random_.Below(4)) {
    case 0:
      Log("SIGKILL " + name);
      entry->Signal(SIGKILL);
      return EndFaultAfter(Millis(100), [] {});
    case 1:
      Log("SIGTERM " + name);
      entry->Signal(SIGTERM);
      return EndFaultAfter(Millis(100), [] {});
    case 2:
      Log("SIGHUP " + name);
      return entry->Signal(SIGHUP);
    default:
      Log("SIGSTOP " + name + " for " + std::to_string(WholeMillis(pause)));
      entry->Signal(SIGSTOP);
      return EndFaultAfter(pause, [entry] { entry->Signal(SIGCONT); });
  }
}

void Soak::InjectServerFault() {
  const std::size_t index = random_.Below(servers_.size());
  ServerStandIn* server = servers_[index].get();
  TcpProxy* proxy = server_proxies_[index].get();
  const Duration duration =
      Millis(500 + static_cast<std::int64_t>(random_.Below(4000)));
  const std::uint64_t choice = random_.Below(11);
  if (choice < 4) {
    auto fault = static_cast<ServerFault>(1 + choice);
    // NOTE Takes no random number of its own, so that older seeds give the same
    // run.
    if (fault == ServerFault::kRefuse && index % 2 == 1)
      fault = ServerFault::kBackoff;
    Log(server->id() + " " + std::string(NameOf(kServerFaultNames, fault)));
    server->SetFault(fault, options_.entries);
    return EndFaultAfter(duration,
                         [server] { server->SetFault(ServerFault::kNone, 0); });
  }
  if (choice < 8) {
    auto mode = static_cast<ProxyMode>(1 + (choice - 4));
    // NOTE As above, without a random number of its own.
    if (index % 2 == 1 &&
        (mode == ProxyMode::kDelay || mode == ProxyMode::kOneWay)) {
      mode = ProxyMode::kOddBytes;
    }
    Log(server->id() + " proxy " + std::string(NameOf(kProxyModeNames, mode)));
    proxy->SetMode(mode);
    return EndFaultAfter(duration, [proxy] {
      proxy->SetMode(ProxyMode::kPass);
      proxy->ResetAll();
    });
  }
  if (choice == 8) {
    Log(server->id() + " connections reset");
    proxy->ResetAll();
    return EndFaultAfter(Millis(10), [] {});
  }
  if (choice == 9) {
    const auto mode = index % 2 == 0 ? ProxyMode::kRefuse : ProxyMode::kEndless;
    Log(server->id() + " proxy " + std::string(NameOf(kProxyModeNames, mode)));
    proxy->SetMode(mode);
    proxy->ResetAll();
    return EndFaultAfter(duration, [proxy] {
      proxy->SetMode(ProxyMode::kPass);
      proxy->ResetAll();
    });
  }
  Log(server->id() + " drains");
  server->SetDraining(true);
  // NOTE Late requests are counted only if the store and all instances are free
  // of faults meanwhile.
  if (IsFaultFree())
    server->SetDrainDeadline(SteadyNow() + kDrainGracePeriod);
  return EndFaultAfter(Millis(5000), [server] { server->SetDraining(false); });
}

void Soak::InjectStoreFault() {
  for (const auto& server : servers_)
    server->SetDrainDeadline(kNever);
  const Duration duration =
      Millis(500 + static_cast<std::int64_t>(random_.Below(4000)));
  switch (random_.Below(5)) {
    case 0:
      Log("store refuses");
      store_.SetRefusing(true);
      return EndFaultAfter(duration, [this] { store_.SetRefusing(false); });
    case 1:
      Log("store loses replies");
      store_.SetLosingReplies(true);
      return EndFaultAfter(duration,
                           [this] { store_.SetLosingReplies(false); });
    case 2:
      // NOTE Takes no random number of its own, so that older seeds give the
      // same run.
      if (fault_count_ % 2 == 0)
        return RestoreStore(duration);
      Log("store compacts its history");
      store_.CompactHistory();
      return EndFaultAfter(Millis(10), [] {});
    default: {
      TcpProxy* proxy =
          store_proxies_[random_.Below(store_proxies_.size())].get();
      const auto mode = static_cast<ProxyMode>(1 + random_.Below(4));
      Log("a store proxy: " + std::string(NameOf(kProxyModeNames, mode)));
      proxy->SetMode(mode);
      return EndFaultAfter(duration, [proxy] {
        proxy->SetMode(ProxyMode::kPass);
        proxy->ResetAll();
      });
    }
  }
}

// Writes the configuration, which the copy may lack, again as an operator
// would; servers write their own values again by themselves.
void Soak::RestoreStore(Duration age) {
  Log("store restored from a copy, " + std::to_string(WholeMillis(age)) +
      " ms old");
  store_.Restore(age);
  EndFaultAfter(Millis(300),
                [this] { store_.Put("op/config", MakeConfig(version_)); });
}

void Soak::ChangeConfig() {
  version_ += 1 + random_.Below(3);
  Log("configuration " + std::to_string(version_));
  store_.Put("op/config", MakeConfig(version_));
}

void Soak::EndFaultAfter(Duration duration, std::function<void()> undo) {
  for (const auto& server : servers_) {
    if (!server->draining())
      server->SetDrainDeadline(kNever);
  }
  active_faults_.push_back({SteadyNow() + duration, std::move(undo)});
}

void Soak::EndExpiredFaults(Time now) {
  std::erase_if(active_faults_, [&](ActiveFault& fault) {
    if (now < fault.end)
      return false;
    fault.undo();
    last_fault_end_ = now;
    return true;
  });
}

void Soak::RestartExited() {
  for (const auto& entry : entries_) {
    if (!entry->HasExited())
      continue;
    entry->Start();
    last_fault_end_ = SteadyNow();
  }
}

bool Soak::IsFaultFree() const {
  const bool started = SteadyNow() - start_ >= kWarmUpPhase;
  return started && active_faults_.empty() &&
         SteadyNow() - last_fault_end_ >= kRecoveryTime;
}

void Soak::ReportViolation(const std::string& violation) {
  Log("BROKEN: " + violation);
  violations_.push_back(violation);
}

void Soak::Log(const std::string& message) const {
  std::cout << WholeMillis(SteadyNow() - start_) << " ms: " << message << "\n";
}

}  // namespace limpetrudder::testbed
