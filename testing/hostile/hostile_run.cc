#include "testing/hostile/hostile_run.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/clock.h"

namespace limpetrudder::testbed {
namespace {

constexpr char kService[] = "echo";
constexpr char kServerId[] = "i-echo";

// Offsets from the first port, which is the store's.
constexpr std::uint16_t kServerPort = 1;
constexpr std::uint16_t kCallerPort = 2;
constexpr std::uint16_t kReadyPort = 3;
constexpr std::uint16_t kPeerPort = 4;

constexpr Duration kStep = Millis(20);
constexpr Duration kHeartbeatInterval = Millis(400);
// Bounds the run, not the process: nothing is checked against it but that
// something happens at all.
constexpr Duration kWaitBound = Seconds(25);
constexpr Duration kExchangeBound = Seconds(6);
constexpr int kOrdinaryTries = 4;
constexpr int kOrdinaryBodyBytes = 4096;

// Descriptors that the process may open beside those of clients: connections to
// the store and the server.
constexpr std::size_t kOwnDescriptors = 16;

std::uint16_t PortAt(std::uint16_t first, std::uint16_t offset) {
  return static_cast<std::uint16_t>(first + offset);
}

std::string MakeConfig(const HostileSetup& setup) {
  using Json = nlohmann::json;
  const Json route = {
      {"Name", "echo"},         {"Host", kHostileHost}, {"Prefix", "/echo/"},
      {"Kind", "idempotent"},   {"Service", kService},  {"TimeoutMs", 5000},
      {"LatencyTargetMs", 500}, {"Priority", 1},        {"MaxAttempts", 2}};
  const Json service = {{"Name", kService},
                        {"HealthPath", "/healthz"},
                        {"MaxConns", 60},
                        {"Protocol", "h1"},
                        {"Tls", false}};
  return Json({{"Version", 1},
               {"Routes", Json::array({route})},
               {"Services", Json::array({service})},
               {"Limits",
                {{"MaxHeaderBytes", kHostileMaxHeaderBytes},
                 {"MaxBodyBytes", kHostileMaxBodyBytes},
                 {"HeaderTimeoutMs", setup.header_timeout_ms},
                 {"IdleTimeoutMs", setup.idle_timeout_ms}}}})
      .dump();
}

std::string OrdinaryRequest() {
  return std::string("POST /echo/ordinary HTTP/1.1\r\nHost: ") + kHostileHost +
         "\r\nRequest-Id: ordinary\r\nTimeout-Ms: 5000\r\nContent-Length: " +
         std::to_string(kOrdinaryBodyBytes) + "\r\n\r\n" +
         std::string(kOrdinaryBodyBytes, 'o');
}

}  // namespace

HostileRun::HostileRun(std::string binary,
                       std::string folder,
                       std::uint16_t first_port,
                       HostileSetup setup)
    : setup_(std::move(setup)),
      first_port_(first_port),
      store_(&context_, first_port),
      server_(&context_,
              kServerId,
              kService,
              PortAt(first_port, kServerPort),
              PortAt(first_port, kServerPort),
              &counters_,
              1),
      entry_({std::move(binary)},
             0,
             std::move(folder),
             {"entry", PortAt(first_port, kCallerPort),
              PortAt(first_port, kReadyPort), PortAt(first_port, kPeerPort),
              first_port, setup_.memory_mb, setup_.max_descriptors}) {}

std::vector<std::string> HostileRun::Run() {
  WriteStore();
  entry_.Start();
  if (!RunUntil([this] { return IsReady(); }) || !IsOrdinaryCallerServed())
    return {"not run: the process didn't serve before the crowd came"};
  descriptors_before_ = entry_.OpenDescriptors();
  bytes_before_ = entry_.PeakResidentBytes();
  StartCrowd();
  RunUntil([this] { return entry_.HasExited() || CrowdIsDone(); });
  CheckProcess("while the crowd sent");
  if (!IsReady())
    faults_.emplace_back("the readiness check wasn't answered");
  if (!IsOrdinaryCallerServed())
    faults_.emplace_back("no ordinary request was served");
  if (setup_.expects_idle_closes && !RunUntil([this] {
        return entry_.OpenDescriptors() <=
               descriptors_before_ + kOwnDescriptors;
      }))
    faults_.emplace_back("idle connections stayed open");
  for (const auto& client : crowd_)
    client->Close();
  RunFor(Seconds(1));
  if (!IsOrdinaryCallerServed())
    faults_.emplace_back("no ordinary request was served after the crowd");
  CheckProcess("after the crowd");
  CheckBounds();
  return faults_;
}

std::string HostileRun::Figures() const {
  char text[200];
  std::snprintf(text, sizeof(text),
                "resident %.1f MB before, %.1f MB at most of %.0f; descriptors "
                "%zu before, %zu at most of %llu; tries %d",
                static_cast<double>(bytes_before_) / 0x1p20,
                static_cast<double>(peak_bytes_) / 0x1p20, setup_.memory_mb,
                descriptors_before_, most_descriptors_,
                static_cast<unsigned long long>(setup_.max_descriptors),
                ordinary_tries_);
  return text;
}

void HostileRun::RunFor(Duration duration) {
  const Time end = SteadyNow() + duration;
  Time next_heartbeat = SteadyNow();
  for (Time now = SteadyNow(); now < end; now = SteadyNow()) {
    if (now >= next_heartbeat) {
      WriteStore();
      next_heartbeat = now + kHeartbeatInterval;
    }
    context_.restart();
    context_.run_for(std::min(kStep, end - now));
    Measure();
  }
}

bool HostileRun::RunUntil(const std::function<bool()>& holds) {
  const Time end = SteadyNow() + kWaitBound;
  while (!holds()) {
    if (SteadyNow() >= end)
      return false;
    RunFor(kStep);
  }
  return true;
}

void HostileRun::WriteStore() {
  if (sequence_++ == 0)
    store_.Put("op/config", MakeConfig(setup_));
  store_.Put(std::string("servers/") + kServerId,
             server_.StoreValue(sequence_));
}

void HostileRun::Measure() {
  peak_bytes_ = std::max(peak_bytes_, entry_.PeakResidentBytes());
  most_descriptors_ = std::max(most_descriptors_, entry_.OpenDescriptors());
}

void HostileRun::StartCrowd() {
  for (int i = 0; i < setup_.clients; ++i) {
    crowd_.push_back(std::make_shared<HostileClient>(
        &context_, PortAt(first_port_, kCallerPort), setup_.script,
        setup_.reads_responses));
    crowd_.back()->Start();
  }
}

bool HostileRun::CrowdIsDone() const {
  return std::all_of(crowd_.begin(), crowd_.end(),
                     [](const auto& client) { return client->done(); });
}

int HostileRun::Exchange(std::uint16_t port, const std::string& request) {
  const auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
  const auto received = std::make_shared<std::string>();
  const auto ended = std::make_shared<bool>(false);
  socket->async_connect(
      {asio::ip::address_v4::loopback(), port},
      [=](const asio::error_code& error) {
        if (error) {
          *ended = true;
          return;
        }
        asio::async_write(*socket, asio::buffer(request),
                          [socket](const asio::error_code&, std::size_t) {});
        asio::async_read_until(
            *socket, asio::dynamic_buffer(*received), "\r\n",
            [=](const asio::error_code&, std::size_t) { *ended = true; });
      });
  const Time end = SteadyNow() + kExchangeBound;
  while (!*ended && SteadyNow() < end)
    RunFor(kStep);
  asio::error_code ignored;
  socket->close(ignored);
  RunFor(Millis(1));  // Lets the handlers end, which use `request`.
  int status = 0;
  return std::sscanf(received->c_str(), "HTTP/1.1 %d", &status) == 1 ? status
                                                                     : 0;
}

bool HostileRun::IsOrdinaryCallerServed() {
  const std::string request = OrdinaryRequest();
  for (int i = 0; i < kOrdinaryTries; ++i) {
    ++ordinary_tries_;
    if (Exchange(PortAt(first_port_, kCallerPort), request) == 200)
      return true;
    RunFor(Millis(500));
  }
  return false;
}

bool HostileRun::IsReady() {
  return Exchange(PortAt(first_port_, kReadyPort),
                  "GET /limpetrudder/readyz HTTP/1.1\r\nHost: x\r\n\r\n") ==
         200;
}

void HostileRun::CheckProcess(const std::string& when) {
  if (entry_.HasExited())
    faults_.push_back("the process ended " + when);
}

void HostileRun::CheckBounds() {
  if (static_cast<double>(peak_bytes_) > setup_.memory_mb * 0x1p20)
    faults_.emplace_back("more memory than its machine has");
  if (most_descriptors_ + setup_.free_descriptors > setup_.max_descriptors)
    faults_.emplace_back("too few descriptors left");
}

}  // namespace limpetrudder::testbed
