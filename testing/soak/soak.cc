#include "testing/soak/soak.h"

#include <algorithm>
#include <csignal>
#include <iostream>
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
constexpr double kFloor = 0.5;

// Bounds of the stand-in platform, as its real pages state them.
constexpr Duration kDrainBound = Millis(3000);
constexpr Duration kTouch = Millis(4000);
constexpr Duration kCallerTimeout = Millis(1500);

// Ports above the first one, which is the store's: servers' proxies, the
// servers themselves, and four for each entry instance.
constexpr int kServerPorts = 100;
constexpr int kBehindProxy = 500;
constexpr int kEntryPorts = 1200;

// Of an entry instance: the smallest machines of the platform.
constexpr std::size_t kMostResident = std::size_t{160} << 20;

constexpr Duration kBeat = Millis(400);
constexpr Duration kWarmUp = Millis(3500);
constexpr Duration kLastCalm = Millis(6000);

// Least share of calm requests that are served once the faults are over.
constexpr double kCalmServed = 0.95;

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
      store_(&context_, options_.first_port),
      callers_(&context_, {"Request-Id"}, [this](PoolResponse response) {
        OnAnswer(std::move(response));
      }) {
  StartFleet();
}

Soak::~Soak() = default;

int Soak::LastPort(const SoakOptions& options) {
  return options.first_port + kEntryPorts + 4 * options.entries;
}

void Soak::StartFleet() {
  auto port = static_cast<std::uint16_t>(options_.first_port + kServerPorts);
  const auto add_server = [&](const std::string& service, int replica) {
    const std::string id = "i-" + service + std::to_string(replica);
    const auto own = static_cast<std::uint16_t>(port + kBehindProxy);
    servers_.push_back(std::make_unique<PartServer>(&context_, id, service, own,
                                                    &ledger_, random_.Next()));
    server_proxies_.push_back(std::make_unique<TcpProxy>(&context_, port, own));
    ++port;
  };
  for (int shard = 0; shard < options_.shards; ++shard) {
    for (int replica = 0; replica < options_.replicas; ++replica)
      add_server("shard" + std::to_string(shard), replica);
  }
  for (int replica = 0; replica < 3; ++replica)
    add_server(kWriteService, replica);
  store_.Put("op/config", Config(version_));
  Beat();
  for (int i = 0; i < options_.entries; ++i) {
    const auto base =
        static_cast<std::uint16_t>(options_.first_port + kEntryPorts + 4 * i);
    store_proxies_.push_back(std::make_unique<TcpProxy>(
        &context_, static_cast<std::uint16_t>(base + 3), options_.first_port));
    entries_.push_back(std::make_unique<EntryProcess>(
        options_.binary, options_.folder,
        EntryPlace{"entry-" + std::to_string(i), base,
                   static_cast<std::uint16_t>(base + 1),
                   static_cast<std::uint16_t>(base + 2),
                   static_cast<std::uint16_t>(base + 3)}));
    entries_.back()->Start();
  }
}

std::string Soak::Config(std::uint64_t version) const {
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
                 {"MinRatio", kFloor}});
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
  began_ = SteadyNow();
  Loop(kWarmUp, /*with_faults=*/false);
  Loop(options_.faults_last, /*with_faults=*/true);
  for (auto& ending : std::exchange(endings_, {}))
    ending.undo();
  last_fault_end_ = SteadyNow();
  Loop(kLastCalm + kTouch, /*with_faults=*/false);
  Loop(kCallerTimeout, /*with_faults=*/false);
  JudgeLedger();
  Say("requests " + std::to_string(next_request_ - 1) + ", served " +
      std::to_string(served_) + ", calm " + std::to_string(calm_served_) +
      " of " + std::to_string(calm_asked_) + ", faults " +
      std::to_string(faults_));
  return broken_;
}

void Soak::Loop(Duration duration, bool with_faults) {
  const Time end = SteadyNow() + duration;
  const Duration gap(
      static_cast<std::int64_t>(1e6 / options_.requests_per_second));
  Time next_ask = SteadyNow();
  Time next_beat = SteadyNow();
  Time next_fault = SteadyNow();
  for (Time now = SteadyNow(); now < end; now = SteadyNow()) {
    if (now >= next_ask) {
      AskNext();
      next_ask += gap;
    }
    if (now >= next_beat) {
      Beat();
      Revive();
      next_beat = now + kBeat;
    }
    EndFaults(now);
    if (with_faults && now >= next_fault) {
      MakeFault();
      next_fault =
          now + Millis(200 + static_cast<std::int64_t>(random_.Below(1800)));
    }
    context_.restart();
    context_.run_for(std::chrono::milliseconds(2));
  }
}

void Soak::Beat() {
  ++sequence_;
  for (const auto& server : servers_)
    store_.Put("servers/" + server->id(), server->Entry(sequence_));
  store_.KeepCopy();
  for (const auto& entry : entries_) {
    if (entry->ResidentBytes() > kMostResident)
      Break(entry->place().name + " takes more memory than it has");
  }
}

void Soak::AskNext() {
  const std::size_t entry = random_.Below(entries_.size());
  const std::uint64_t draw = random_.Below(10);
  Ask(entry,
      draw < 6 ? Kind::kSearch : (draw < 8 ? Kind::kRead : Kind::kWrite));
}

void Soak::Ask(std::size_t entry, Kind kind) {
  // NOTE The balancer sends nothing to a process that is gone or leaving, but
  // callers go on using the connections that they have.
  const EntryProcess& process = *entries_[entry];
  if (!process.running() ||
      (process.stopping() && SteadyNow() - process.signalled() > Millis(2200)))
    return;
  const std::uint64_t id = next_request_++;
  Asked asked;
  asked.kind = kind;
  asked.request_id =
      "r" + std::to_string(options_.seed) + "-" + std::to_string(id);
  asked.entry = entry;
  asked.sent = SteadyNow();
  asked.calm = IsCalm();
  asked.leaves_early = random_.Below(40) == 0;
  if (kind == Kind::kWrite)
    writes_.insert(asked.request_id);
  const char* path = kind == Kind::kSearch ? "/search/x"
                     : kind == Kind::kRead ? "/read/x"
                                           : "/write/x";
  PoolRequest request;
  request.id = id;
  request.server = process.place().name;
  request.address = "127.0.0.1:" + std::to_string(process.place().caller_port);
  request.echo = asked.request_id;
  request.bytes =
      std::string(kind == Kind::kWrite ? "POST " : "GET ") + path +
      " HTTP/1.1\r\nHost: " + kHost + "\r\nRequest-Id: " + asked.request_id +
      "\r\nTimeout-Ms: " + std::to_string(WholeMillis(kCallerTimeout)) +
      "\r\n" +
      (kind == Kind::kWrite ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
  callers_.Send(std::move(request));
  asked.timer = std::make_shared<asio::steady_timer>(context_);
  asked.timer->expires_after(asked.leaves_early ? Millis(20) : kCallerTimeout);
  asked.timer->async_wait([this, id](const asio::error_code& error) {
    if (error || asked_.erase(id) == 0)
      return;
    callers_.Cancel(id);
  });
  if (asked.calm && !asked.leaves_early)
    ++calm_asked_;
  asked_[id] = std::move(asked);
}

void Soak::OnAnswer(PoolResponse response) {
  const auto found = asked_.find(response.id);
  if (found == asked_.end())
    return;
  const Asked asked = std::move(found->second);
  asked_.erase(found);
  asked.timer->cancel();
  if (response.outcome != AttemptOutcome::kAnswered)
    return JudgeLost(asked, response);
  const int status = response.status;
  if (status == 503 || status == 429)
    not_run_[asked.request_id] = status;
  if (status == 404 || status == 400)
    Break(asked.request_id + " was answered " + std::to_string(status) +
          " though its route never went");
  if (!http_status::IsSuccess(status))
    return;
  ++served_;
  if (asked.calm && !asked.leaves_early)
    ++calm_served_;
  if (asked.kind == Kind::kSearch)
    JudgeSearch(asked, response);
  else
    JudgeSingle(asked, response);
}

// A whole and uncrossed answer: signatures of this request, one for each shard
// at most, an honest count of those missing, the greatest records of the rest.
void Soak::JudgeSearch(const Asked& asked, const PoolResponse& response) {
  const auto signatures =
      SplitList(HeaderValue(response.headers, "Part-Stamps"));
  std::set<std::string> shards;
  std::vector<std::string> records;
  for (int shard = 0; shard < options_.shards; ++shard) {
    const std::string service = "shard" + std::to_string(shard);
    const std::string signature = PartSignature(service, asked.request_id);
    const auto count =
        std::count(signatures.begin(), signatures.end(), signature);
    if (count == 0)
      continue;
    if (count > 1)
      Break(asked.request_id + " holds a part twice");
    shards.insert(service);
    const std::string part = PartRecords(service, asked.request_id);
    for (std::size_t at = 0; at + 16 <= part.size(); at += 16)
      records.push_back(part.substr(at, 16));
  }
  if (shards.size() != signatures.size())
    Break(asked.request_id + " holds a part that isn't its own");
  const int missing = std::atoi(
      std::string(HeaderValue(response.headers, "Missing-Parts")).c_str());
  if (static_cast<int>(shards.size()) + missing != options_.shards)
    Break(asked.request_id + " miscounts its missing parts");
  if (static_cast<double>(shards.size()) < kFloor * options_.shards)
    Break(asked.request_id + " is below the coverage floor");
  std::sort(records.rbegin(), records.rend());
  std::string body;
  for (std::size_t i = 0; i < std::min(kTopRecords, records.size()); ++i)
    body += records[i];
  if (body != response.body)
    Break(asked.request_id + " isn't the greatest records of its parts");
}

void Soak::JudgeSingle(const Asked& asked, const PoolResponse& response) {
  if (HeaderValue(response.headers, "Server-Stamp") !=
          PartSignature(kWriteService, asked.request_id) ||
      response.body != PartRecords(kWriteService, asked.request_id)) {
    Break(asked.request_id + " got an answer that isn't its own");
  }
}

// A planned stop cuts nothing: a connection may only end before the process has
// read the request, as a request that crosses its close.
void Soak::JudgeLost(const Asked& asked, const PoolResponse& response) {
  const EntryProcess& process = *entries_[asked.entry];
  const bool ran =
      std::any_of(servers_.begin(), servers_.end(), [&](const auto& server) {
        return ledger_.runs.count(asked.request_id + "@" + server->service()) >
               0;
      });
  if (process.stopping() && process.running() && !process.paused() &&
      asked.calm && ran && response.outcome == AttemptOutcome::kBroken) {
    Break(asked.request_id + " was cut by a planned stop of " +
          process.place().name);
  }
}

void Soak::JudgeLedger() {
  for (const auto& [key, runs] : ledger_.runs) {
    const std::string request_id = key.substr(0, key.find('@'));
    const int most = writes_.count(request_id) > 0 ? 1 : 2;
    if (runs > most)
      Break(key + " ran " + std::to_string(runs) + " times");
    if (not_run_.count(request_id) > 0)
      Break(request_id + " ran though it was answered " +
            std::to_string(not_run_.at(request_id)));
  }
  if (ledger_.late_arrivals > 0)
    Break(std::to_string(ledger_.late_arrivals) +
          " requests reached servers long after they began to leave");
  if (ledger_.pressed_arrivals > 0)
    Break(std::to_string(ledger_.pressed_arrivals) +
          " requests reached servers that had asked to be left alone");
  if (calm_asked_ == 0)
    Break("no request was calm: some process never ran");
  if (calm_served_ < kCalmServed * static_cast<double>(calm_asked_)) {
    Break("only " + std::to_string(calm_served_) + " of " +
          std::to_string(calm_asked_) + " calm requests were served");
  }
}

void Soak::MakeFault() {
  ++faults_;
  switch (random_.Below(4)) {
    case 0:
    case 1:
      return HarmEntry(entries_[random_.Below(entries_.size())].get());
    case 2:
      return HarmServer();
    default:
      return random_.Below(3) == 0 ? ChangeConfig() : HarmStore();
  }
}

void Soak::HarmEntry(EntryProcess* entry) {
  if (!entry->running())
    return;
  const std::string& name = entry->place().name;
  const Duration pause =
      Millis(200 + static_cast<std::int64_t>(random_.Below(2500)));
  switch (random_.Below(4)) {
    case 0:
      Say("SIGKILL " + name);
      entry->Signal(SIGKILL);
      return Undo(Millis(100), [] {});
    case 1:
      Say("SIGTERM " + name);
      entry->Signal(SIGTERM);
      return Undo(Millis(100), [] {});
    case 2:
      Say("SIGHUP " + name);
      return entry->Signal(SIGHUP);
    default:
      Say("SIGSTOP " + name + " for " + std::to_string(WholeMillis(pause)));
      entry->Signal(SIGSTOP);
      return Undo(pause, [entry] { entry->Signal(SIGCONT); });
  }
}

void Soak::HarmServer() {
  const std::size_t index = random_.Below(servers_.size());
  PartServer* server = servers_[index].get();
  TcpProxy* proxy = server_proxies_[index].get();
  const Duration lasts =
      Millis(500 + static_cast<std::int64_t>(random_.Below(4000)));
  const std::uint64_t draw = random_.Below(11);
  if (draw < 4) {
    auto fault = static_cast<ServerFault>(1 + draw);
    // NOTE Not a draw of its own, so that old seeds play as they did.
    if (fault == ServerFault::kRefuse && index % 2 == 1)
      fault = ServerFault::kBackoff;
    Say(server->id() + " " + std::string(NameOf(kServerFaultNames, fault)));
    server->SetFault(fault, options_.entries);
    return Undo(lasts, [server] { server->SetFault(ServerFault::kNone, 0); });
  }
  if (draw < 8) {
    const auto mode = static_cast<ProxyMode>(1 + (draw - 4));
    Say(server->id() + " proxy " + std::string(NameOf(kProxyModeNames, mode)));
    proxy->SetMode(mode);
    return Undo(lasts, [proxy] {
      proxy->SetMode(ProxyMode::kPass);
      proxy->ResetAll();
    });
  }
  if (draw == 8) {
    Say(server->id() + " connections reset");
    proxy->ResetAll();
    return Undo(Millis(10), [] {});
  }
  if (draw == 9) {
    const auto mode = index % 2 == 0 ? ProxyMode::kRefuse : ProxyMode::kEndless;
    Say(server->id() + " proxy " + std::string(NameOf(kProxyModeNames, mode)));
    proxy->SetMode(mode);
    proxy->ResetAll();
    return Undo(lasts, [proxy] {
      proxy->SetMode(ProxyMode::kPass);
      proxy->ResetAll();
    });
  }
  Say(server->id() + " drains");
  server->SetDraining(true);
  // NOTE Counted only if the store and all instances were well meanwhile.
  if (IsCalm())
    server->SetDrainBound(SteadyNow() + kDrainBound);
  return Undo(Millis(5000), [server] { server->SetDraining(false); });
}

void Soak::HarmStore() {
  for (const auto& server : servers_)
    server->SetDrainBound(kNever);
  const Duration lasts =
      Millis(500 + static_cast<std::int64_t>(random_.Below(4000)));
  switch (random_.Below(5)) {
    case 0:
      Say("store refuses");
      store_.SetRefusing(true);
      return Undo(lasts, [this] { store_.SetRefusing(false); });
    case 1:
      Say("store loses answers");
      store_.SetLosing(true);
      return Undo(lasts, [this] { store_.SetLosing(false); });
    case 2:
      // NOTE Not a draw of its own, so that old seeds play as they did.
      if (faults_ % 2 == 0)
        return Drill(lasts);
      Say("store forgets its history");
      store_.ForgetHistory();
      return Undo(Millis(10), [] {});
    default: {
      TcpProxy* proxy =
          store_proxies_[random_.Below(store_proxies_.size())].get();
      const auto mode = static_cast<ProxyMode>(1 + random_.Below(4));
      Say("a store proxy: " + std::string(NameOf(kProxyModeNames, mode)));
      proxy->SetMode(mode);
      return Undo(lasts, [proxy] {
        proxy->SetMode(ProxyMode::kPass);
        proxy->ResetAll();
      });
    }
  }
}

// The operator writes again what the copy lacks; servers do so by themselves.
void Soak::Drill(Duration age) {
  Say("store comes back from a copy, " + std::to_string(WholeMillis(age)) +
      " ms old");
  store_.Restore(age);
  Undo(Millis(300), [this] { store_.Put("op/config", Config(version_)); });
}

void Soak::ChangeConfig() {
  version_ += 1 + random_.Below(3);
  Say("configuration " + std::to_string(version_));
  store_.Put("op/config", Config(version_));
}

void Soak::Undo(Duration after, std::function<void()> undo) {
  for (const auto& server : servers_) {
    if (!server->draining())
      server->SetDrainBound(kNever);
  }
  endings_.push_back({SteadyNow() + after, std::move(undo)});
}

void Soak::EndFaults(Time now) {
  std::erase_if(endings_, [&](Ending& ending) {
    if (now < ending.at)
      return false;
    ending.undo();
    last_fault_end_ = now;
    return true;
  });
}

void Soak::Revive() {
  for (const auto& entry : entries_) {
    if (!entry->Ended())
      continue;
    entry->Start();
    last_fault_end_ = SteadyNow();
  }
}

bool Soak::IsCalm() const {
  const bool started = SteadyNow() - began_ >= kWarmUp;
  return started && endings_.empty() && SteadyNow() - last_fault_end_ >= kTouch;
}

void Soak::Break(const std::string& what) {
  Say("BROKEN: " + what);
  broken_.push_back(what);
}

void Soak::Say(const std::string& what) const {
  std::cout << WholeMillis(SteadyNow() - began_) << " ms: " << what << "\n";
}

}  // namespace limpetrudder::testbed
