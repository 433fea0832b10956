#include "net/target_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "framework/clock.h"
#include "net/internal/target_codec.h"

namespace limpetrudder {
namespace {

// The first tag for requests other than attempts. Attempts use their ids as
// tags.
constexpr std::uint64_t kFirstOtherTag = std::uint64_t{1} << 63;
constexpr Duration kProbeTimeout = Millis(500);
constexpr Duration kCancelTimeout = Millis(500);

// The query engine closes attempts that exceed their deadline; this extra time
// before the timeout only guards against leaked requests.
constexpr Duration kAttemptGrace = Seconds(5);

std::int64_t UnixMillisAt(Time time, Time now) {
  return UnixMillis() + WholeMillis(time - now);
}

RunResult RunResultOf(TransferStatus status) {
  switch (status) {
    case TransferStatus::kAnswered:
      return RunResult::kReplied;
    case TransferStatus::kConnectFailed:
    case TransferStatus::kNotSent:
      return RunResult::kNeverSent;
    case TransferStatus::kFailed:
    case TransferStatus::kTimedOut:
    case TransferStatus::kTooLarge:
      return RunResult::kNoReply;
  }
  return RunResult::kNoReply;
}

}  // namespace

TargetClient::TargetClient(std::string instance, HttpClient* http)
    : instance_(std::move(instance)), http_(http) {}

void TargetClient::SetHandlers(AttemptHandler on_attempt,
                               ProbeHandler on_probe,
                               WriteHandler on_write) {
  on_attempt_ = std::move(on_attempt);
  on_probe_ = std::move(on_probe);
  on_write_ = std::move(on_write);
}

std::uint64_t TargetClient::NextTag() {
  return kFirstOtherTag + next_tag_++;
}

void TargetClient::Send(const SendAttempt& attempt, Time now) {
  const std::string name = detail::AttemptName(instance_, attempt.attempt);
  HttpRequest request;
  request.tag = attempt.attempt;
  request.method = "POST";
  request.address = attempt.address;
  request.path = "/v1/search";
  request.body = detail::WriteTargetSearch(attempt, name,
                                           UnixMillisAt(attempt.deadline, now));
  request.timeout = attempt.deadline - now + kAttemptGrace;
  request.own_connection = attempt.fresh_connection;
  const AttemptId id = attempt.attempt;
  const bool queued =
      http_->Send(std::move(request), [this, id, name](HttpResponse response) {
        on_attempt_(detail::ReadTargetSearch(id, name, response));
      });
  if (queued)
    return;
  AttemptResult refused;
  refused.attempt = id;
  refused.code = ResultCode::kRingFull;
  on_attempt_(std::move(refused));
}

void TargetClient::Probe(const ProbeServer& probe) {
  HttpRequest request;
  request.tag = NextTag();
  request.address = probe.address;
  request.path = "/v1/health";
  request.timeout = kProbeTimeout;
  const bool queued =
      http_->Send(std::move(request), [this, probe](HttpResponse response) {
        on_probe_(probe, detail::ReadTargetHealth(response));
      });
  if (!queued)
    on_probe_(probe, std::nullopt);
}

void TargetClient::Cancel(const CancelAttempt& cancel) {
  if (cancel.close_connection)
    return http_->Abort(cancel.attempt, cancel.address);
  HttpRequest request;
  request.tag = NextTag();
  request.method = "POST";
  request.address = cancel.address;
  request.path = "/v1/cancel";
  request.timeout = kCancelTimeout;
  const nlohmann::json body = {
      {"attempt", detail::AttemptName(instance_, cancel.attempt)}};
  request.body = body.dump();
  http_->Send(std::move(request), [](const HttpResponse&) {});
}

void TargetClient::RunWrite(const WriteRequest& write,
                            const std::string& shard,
                            const std::string& address,
                            Time now) {
  HttpRequest request;
  request.tag = NextTag();
  request.method = "POST";
  request.address = address;
  request.path = "/v1/write";
  const nlohmann::json body = {
      {"key", write.key},
      {"shard", shard},
      {"route", write.route},
      {"body", write.body},
      {"deadline_unix_ms", UnixMillisAt(write.deadline, now)}};
  request.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  request.timeout = write.deadline - now;
  request.own_connection = true;
  request.may_send = [write] {
    return KeyLedger::MayStillRun(write, SteadyNow());
  };
  const std::string key = write.key;
  const bool queued =
      http_->Send(std::move(request), [this, key](HttpResponse response) {
        on_write_({key, RunResultOf(response.status), response.http_status,
                   std::move(response.body)});
      });
  if (!queued)
    on_write_({key, RunResult::kNeverSent, 0, std::string()});
}

}  // namespace limpetrudder
