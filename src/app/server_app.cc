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

constexpr std::size_t kSearchQueueCapacity = 4096;
constexpr std::size_t kWriteQueueCapacity = 1024;
constexpr std::size_t kControlQueueCapacity = 4096;
constexpr std::size_t kTargetQueueCapacity = 65536;
constexpr std::size_t kPlatformQueueCapacity = 4096;
constexpr std::size_t kMaxOperatorBodyBytes = 32 << 20;
constexpr Duration kIdlePollInterval = Millis(20);

// Time given to the last responses to be written to their sockets.
constexpr Duration kSocketFlushTime = Millis(100);

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
      target_http_(kTargetQueueCapacity),
      platform_http_(kPlatformQueueCapacity),
      targets_(settings_.instance + "-" + std::to_string(incarnation_),
               &target_http_),
      platform_(settings_.platform_address, &platform_http_),
      search_duty_({settings_.instance, settings_.data_centre,
                    Hash64(settings_.instance, incarnation_)},
                   &instance_state_,
                   &targets_,
                   &peers_),
      write_duty_({settings_.instance, settings_.peer_address, incarnation_,
                   MakeSecret()},
                  settings_.data_centre,
                  &instance_state_,
                  &targets_,
                  &peers_),
      control_duty_(settings_,
                    incarnation_,
                    &instance_state_,
                    &platform_,
                    &peers_),
      search_mailbox_(kSearchQueueCapacity, &search_duty_),
      write_mailbox_(kWriteQueueCapacity, &write_duty_),
      control_mailbox_(kControlQueueCapacity, &control_duty_),
      caller_api_(settings_.instance + "-" + std::to_string(incarnation_),
                  &instance_state_,
                  &search_mailbox_,
                  &write_mailbox_),
      operator_api_(settings_.operator_token_sha256,
                    &instance_state_,
                    &search_mailbox_,
                    &control_mailbox_),
      caller_server_(
          {SplitAddress(settings_.caller_address).ip,
           SplitAddress(settings_.caller_address).port},
          [this](ServerRequest request, Responder respond) {
            caller_api_.OnRequest(std::move(request), std::move(respond));
          },
          [this](std::uint64_t connection) {
            caller_api_.OnConnectionClosed(connection);
          }),
      operator_server_(
          {SplitAddress(settings_.operator_address).ip,
           SplitAddress(settings_.operator_address).port,
           kMaxOperatorBodyBytes},
          [this](ServerRequest request, Responder respond) {
            operator_api_.OnRequest(std::move(request), std::move(respond));
          },
          nullptr),
      peer_server_(settings_.peer_address, MakePeerHandlers()) {
  search_duty_.SetMailbox(&search_mailbox_);
  write_duty_.SetMailbox(&write_mailbox_);
  control_duty_.SetMailboxes(&control_mailbox_, &search_mailbox_,
                             &write_mailbox_);
  SetTargetHandlers();
}

ServerApp::~ServerApp() {
  StopAll();
}

void ServerApp::SetTargetHandlers() {
  targets_.SetHandlers(
      [this](AttemptResult result) {
        search_mailbox_.PostResult(std::move(result));
      },
      [this](ProbeServer probe, std::optional<ServerReport> report) {
        search_mailbox_.PostResult(
            ProbeEnded{std::move(probe), std::move(report)});
      },
      [this](WriteRunResult result) {
        write_mailbox_.PostResult(std::move(result));
      });
}

PeerHandlers ServerApp::MakePeerHandlers() {
  PeerHandlers handlers;
  handlers.search = [this](PeerSearch search, auto reply) {
    if (search_mailbox_.Post(PeerSearchCall{std::move(search), reply}))
      return;
    reply({http_status::kTooManyRequests,
           RefusalBody(ResultCode::kRingFull, "too many requests"), true,
           instance_state_.revision()});
  };
  handlers.shards = [this](PeerSearch search, auto reply) {
    if (!search_mailbox_.Post(PeerShardsCall{std::move(search), reply}))
      reply({{}, instance_state_.revision()});
  };
  handlers.write = [this](PeerWrite write, auto reply) {
    if (write_mailbox_.Post(PeerWriteCall{std::move(write), reply}))
      return;
    PeerWriteReply refusal;
    refusal.outcome.code = ResultCode::kRingFull;
    refusal.outcome.message = "too many writes wait; not run by this attempt";
    refusal.outcome.retry_after = Seconds(1);
    reply(std::move(refusal));
  };
  // NOTE Membership and configuration must keep working while callers overload
  // the instance. Their calls are few and each is answered, so they are posted
  // as results, which are never refused.
  handlers.probe = [this](PeerProbe probe, auto reply) {
    control_mailbox_.PostResult(
        PeerProbeCall{std::move(probe), std::move(reply)});
  };
  handlers.pull = [this](PeerPull pull, auto reply) {
    control_mailbox_.PostResult(
        PeerPullCall{std::move(pull), std::move(reply)});
  };
  return handlers;
}

Result<void> ServerApp::Start() {
  target_http_.Start();
  platform_http_.Start();
  search_mailbox_.Start();
  write_mailbox_.Start();
  control_mailbox_.Start();
  BOOST_OUTCOME_TRYV(peer_server_.Start());
  BOOST_OUTCOME_TRYV(operator_server_.Start());
  BOOST_OUTCOME_TRYV(caller_server_.Start());
  Log(LogLevel::kInfo, "started",
      {{"caller_address", settings_.caller_address},
       {"operator_address", settings_.operator_address},
       {"peer_address", settings_.peer_address}});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::vector<std::string> ServerApp::RefuseNewWork() {
  std::promise<std::vector<std::string>> searches;
  std::promise<std::vector<std::string>> writes;
  search_mailbox_.PostResult(
      StopSearches{[&](std::vector<std::string> running) {
        searches.set_value(std::move(running));
      }});
  write_mailbox_.PostResult(StopWrites{[&](std::vector<std::string> running) {
    writes.set_value(std::move(running));
  }});
  std::vector<std::string> running = searches.get_future().get();
  for (auto& request_id : writes.get_future().get())
    running.push_back(std::move(request_id));
  return running;
}

bool ServerApp::WaitUntilIdle() {
  const auto end = std::chrono::steady_clock::now() + settings_.stop_bound;
  while (true) {
    const std::vector<std::string> running = RefuseNewWork();
    if (running.empty())
      return true;
    if (std::chrono::steady_clock::now() >= end) {
      for (const auto& request_id : running)
        Log(LogLevel::kError, "request_cut", {{"request_id", request_id}});
      return false;
    }
    std::this_thread::sleep_for(kIdlePollInterval);
  }
}

bool ServerApp::Stop() {
  instance_state_.BeginStop();
  control_mailbox_.PostResult(LeaveFleet{});
  Log(LogLevel::kInfo, "stopping");
  std::this_thread::sleep_for(settings_.lame_duck);
  const bool clean = WaitUntilIdle();
  std::this_thread::sleep_for(kSocketFlushTime);
  StopAll();
  Log(LogLevel::kInfo, "stopped", {{"clean", clean}});
  return clean;
}

void ServerApp::StopAll() {
  caller_server_.Stop();
  operator_server_.Stop();
  peer_server_.Stop(kSocketFlushTime);
  control_mailbox_.Stop();
  target_http_.Stop();
  platform_http_.Stop();
  peers_.Stop();
  search_mailbox_.Stop();
  write_mailbox_.Stop();
}

}  // namespace limpetrudder
