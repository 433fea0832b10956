#include "app/server_app.h"

#include <chrono>
#include <future>
#include <random>
#include <thread>
#include <utility>

#include "app/internal/json_api.h"
#include "framework/clock.h"
#include "framework/hash.h"
#include "framework/http_status.h"
#include "framework/logger.h"

namespace limpetrudder {
namespace {

constexpr std::size_t kSearchRing = 4096;
constexpr std::size_t kWriteRing = 1024;
constexpr std::size_t kControlRing = 4096;
constexpr std::size_t kTargetRing = 65536;
constexpr std::size_t kPlatformRing = 4096;
constexpr std::size_t kOperatorBodyBytes = 32 << 20;
constexpr Duration kIdlePoll = Millis(20);

// Time for the last answers to leave the sockets.
constexpr Duration kFlush = Millis(100);

std::string MakeSecret() {
  std::random_device device;
  std::string secret;
  for (int i = 0; i < 8; ++i)
    secret += std::to_string(device());
  return secret;
}

}  // namespace

ServerApp::ServerApp(Settings settings)
    : settings_(std::move(settings)),
      incarnation_(static_cast<std::uint64_t>(UnixMillis())),
      target_http_(kTargetRing),
      platform_http_(kPlatformRing),
      targets_(settings_.instance + "-" + std::to_string(incarnation_),
               &target_http_),
      platform_(settings_.platform_address, &platform_http_),
      search_duty_({settings_.instance, settings_.data_centre,
                    Hash64(settings_.instance, incarnation_)},
                   &front_,
                   &targets_,
                   &peers_),
      write_duty_({settings_.instance, settings_.peer_address, incarnation_,
                   MakeSecret()},
                  settings_.data_centre,
                  &front_,
                  &targets_,
                  &peers_),
      control_duty_(settings_, incarnation_, &front_, &platform_, &peers_),
      search_(kSearchRing, &search_duty_),
      write_(kWriteRing, &write_duty_),
      control_(kControlRing, &control_duty_),
      caller_api_(settings_.instance + "-" + std::to_string(incarnation_),
                  &front_,
                  &search_,
                  &write_),
      operator_api_(settings_.operator_token_sha256,
                    &front_,
                    &search_,
                    &control_),
      caller_server_(
          {SplitAddress(settings_.caller_address).ip,
           SplitAddress(settings_.caller_address).port},
          [this](ServerRequest request, Responder respond) {
            caller_api_.OnRequest(std::move(request), std::move(respond));
          },
          [this](std::uint64_t connection) {
            caller_api_.OnClosed(connection);
          }),
      operator_server_(
          {SplitAddress(settings_.operator_address).ip,
           SplitAddress(settings_.operator_address).port, kOperatorBodyBytes},
          [this](ServerRequest request, Responder respond) {
            operator_api_.OnRequest(std::move(request), std::move(respond));
          },
          nullptr),
      peer_server_(settings_.peer_address, MakePeerHandlers()) {
  search_duty_.SetMailbox(&search_);
  write_duty_.SetMailbox(&write_);
  control_duty_.SetMailboxes(&control_, &search_, &write_);
  ConnectTargets();
}

ServerApp::~ServerApp() {
  CloseAll();
}

void ServerApp::ConnectTargets() {
  targets_.SetHandlers(
      [this](AttemptResult result) { search_.PostResult(std::move(result)); },
      [this](ProbeServer probe, std::optional<ServerReport> report) {
        search_.PostResult(ProbeEnded{std::move(probe), std::move(report)});
      },
      [this](WriteRunResult result) { write_.PostResult(std::move(result)); });
}

PeerHandlers ServerApp::MakePeerHandlers() {
  PeerHandlers handlers;
  handlers.search = [this](PeerSearch search, auto reply) {
    if (search_.Post(PeerSearchCall{std::move(search), reply}))
      return;
    reply({http_status::kTooManyRequests,
           RefusalBody(ResultCode::kRingFull, "too many requests"), true,
           front_.revision()});
  };
  handlers.shards = [this](PeerSearch search, auto reply) {
    if (!search_.Post(PeerShardsCall{std::move(search), reply}))
      reply({{}, front_.revision()});
  };
  handlers.write = [this](PeerWrite write, auto reply) {
    if (write_.Post(PeerWriteCall{std::move(write), reply}))
      return;
    PeerWriteReply refusal;
    refusal.outcome.code = ResultCode::kRingFull;
    refusal.outcome.message = "too many writes wait; not run by this attempt";
    refusal.outcome.retry_after = Seconds(1);
    reply(std::move(refusal));
  };
  // NOTE Membership and configuration keep working while callers flood an
  // instance: their calls are few and each is answered, so none is refused.
  handlers.probe = [this](PeerProbe probe, auto reply) {
    control_.PostResult(PeerProbeCall{std::move(probe), std::move(reply)});
  };
  handlers.pull = [this](PeerPull pull, auto reply) {
    control_.PostResult(PeerPullCall{std::move(pull), std::move(reply)});
  };
  return handlers;
}

Result<void> ServerApp::Start() {
  target_http_.Start();
  platform_http_.Start();
  search_.Start();
  write_.Start();
  control_.Start();
  BOOST_OUTCOME_TRYV(peer_server_.Start());
  BOOST_OUTCOME_TRYV(operator_server_.Start());
  BOOST_OUTCOME_TRYV(caller_server_.Start());
  Log(LogLevel::kInfo, "started",
      {{"caller_address", settings_.caller_address},
       {"operator_address", settings_.operator_address},
       {"peer_address", settings_.peer_address}});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::vector<std::string> ServerApp::StopDuties() {
  std::promise<std::vector<std::string>> searches;
  std::promise<std::vector<std::string>> writes;
  search_.PostResult(StopSearches{[&](std::vector<std::string> running) {
    searches.set_value(std::move(running));
  }});
  write_.PostResult(StopWrites{[&](std::vector<std::string> running) {
    writes.set_value(std::move(running));
  }});
  std::vector<std::string> running = searches.get_future().get();
  for (auto& request_id : writes.get_future().get())
    running.push_back(std::move(request_id));
  return running;
}

bool ServerApp::WaitUntilIdle(const std::function<bool()>& hurry) {
  const auto end = std::chrono::steady_clock::now() + settings_.stop_bound;
  while (true) {
    const std::vector<std::string> running = StopDuties();
    if (running.empty())
      return true;
    if (std::chrono::steady_clock::now() >= end || hurry()) {
      for (const auto& request_id : running)
        Log(LogLevel::kError, "request_cut", {{"request_id", request_id}});
      return false;
    }
    std::this_thread::sleep_for(kIdlePoll);
  }
}

bool ServerApp::Stop(const std::function<bool()>& hurry) {
  front_.BeginStop();
  control_.PostResult(LeaveFleet{});
  Log(LogLevel::kInfo, "stopping");
  const auto refuse_at = std::chrono::steady_clock::now() + settings_.lame_duck;
  while (std::chrono::steady_clock::now() < refuse_at && !hurry())
    std::this_thread::sleep_for(kIdlePoll);
  const bool clean = WaitUntilIdle(hurry);
  std::this_thread::sleep_for(kFlush);
  CloseAll();
  Log(LogLevel::kInfo, "stopped", {{"clean", clean}});
  return clean;
}

void ServerApp::CloseAll() {
  caller_server_.Stop();
  operator_server_.Stop();
  peer_server_.Stop(kFlush);
  control_.Stop();
  target_http_.Stop();
  platform_http_.Stop();
  peers_.Stop();
  search_.Stop();
  write_.Stop();
}

}  // namespace limpetrudder
