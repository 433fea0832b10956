#include "net/internal/target_codec.h"

#include <nlohmann/json.hpp>

#include "framework/http_status.h"
#include "framework/whole_number.h"

namespace limpetrudder::detail {
namespace {

using Json = nlohmann::json;

// Longer ages and waits count as this.
constexpr Duration kMaxDuration = Seconds(365LL * 86'400);

// Returns `value`. Throws as Json does if there is none.
template <typename T>
T Require(std::optional<T> value) {
  if (!value)
    throw Json::out_of_range::create(401, "not a whole number", nullptr);
  return *value;
}

std::vector<Snapshot> ReadHeld(const Json& json) {
  std::vector<Snapshot> held;
  for (const auto& entry : json) {
    held.push_back(
        {Require(WholeNumber(entry.at(0))), Require(WholeNumber(entry.at(1)))});
  }
  return held;
}

ServerReport ReadReport(const Json& json) {
  ServerReport report;
  report.draining = json.at("state") == "draining";
  report.held = ReadHeld(json.at("held"));
  return report;
}

ResultCode RefusalCode(int http_status, const Json& json) {
  const std::string error = json.value("error", std::string());
  switch (http_status) {
    case http_status::kConflict:
      return error == "map_not_held" ? ResultCode::kMapNotHeld
                                     : ResultCode::kVersionNotHeld;
    case http_status::kTooManyRequests:
      return ResultCode::kServerShed;
    case http_status::kCancelled:
      return ResultCode::kAttemptCancelled;
    case http_status::kUnavailable:
      return error == "draining" ? ResultCode::kServerLeaving
                                 : ResultCode::kServerShed;
    default:
      return ResultCode::kServerFailed;
  }
}

ResultCode TransferCode(TransferStatus status) {
  switch (status) {
    case TransferStatus::kAnswered:
      return ResultCode::kOk;
    case TransferStatus::kConnectFailed:
    case TransferStatus::kNotSent:
      return ResultCode::kConnectFailed;
    case TransferStatus::kFailed:
    case TransferStatus::kTimedOut:
    case TransferStatus::kTooLarge:
      return ResultCode::kTransportFailed;
  }
  return ResultCode::kTransportFailed;
}

ShardAnswer ReadShardAnswer(const Json& json) {
  ShardAnswer answer;
  answer.shard = json.at("shard");
  answer.snapshot = {Require(WholeNumber(json, "map_epoch")),
                     Require(WholeNumber(json, "version"))};
  answer.snapshot_age = Require(WholeMillisField(json, "age_ms", kMaxDuration));
  for (const auto& hit : json.at("hits"))
    answer.hits.push_back({hit.at("id"), hit.at("title"), hit.at("score")});
  return answer;
}

void ReadAnswer(const HttpResponse& response,
                const std::string& attempt_name,
                AttemptResult* result) {
  const Json json = Json::parse(response.body);
  result->has_report = json.contains("state") && json.contains("held");
  if (result->has_report)
    result->report = ReadReport(json);
  if (response.http_status != http_status::kOk) {
    result->code = RefusalCode(response.http_status, json);
    result->retry_after = WholeMillisField(json, "retry_after_ms", kMaxDuration)
                              .value_or(Millis(0));
    return;
  }
  if (json.at("attempt") != attempt_name) {
    result->code = ResultCode::kAnswerCrossed;
    result->has_report = false;
    return;
  }
  result->answer = ReadShardAnswer(json);
}

}  // namespace

std::string AttemptName(const std::string& instance, AttemptId id) {
  return instance + ":" + std::to_string(id);
}

std::string WriteTargetSearch(const SendAttempt& attempt,
                              const std::string& attempt_name,
                              std::int64_t deadline_unix_ms) {
  const Json json = {{"attempt", attempt_name},
                     {"shard", attempt.shard},
                     {"terms", attempt.terms},
                     {"limit", attempt.limit},
                     {"map_epoch", attempt.snapshot.map_epoch},
                     {"version", attempt.snapshot.version},
                     {"deadline_unix_ms", deadline_unix_ms}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

AttemptResult ReadTargetSearch(AttemptId id,
                               const std::string& attempt_name,
                               const HttpResponse& response) {
  AttemptResult result;
  result.attempt = id;
  result.code = TransferCode(response.status);
  if (result.code != ResultCode::kOk)
    return result;
  try {
    ReadAnswer(response, attempt_name, &result);
  } catch (const Json::exception&) {
    result = AttemptResult();
    result.attempt = id;
    result.code = response.http_status == http_status::kOk
                      ? ResultCode::kAnswerMalformed
                      : ResultCode::kServerFailed;
  }
  return result;
}

std::optional<ServerReport> ReadTargetHealth(const HttpResponse& response) {
  if (response.status != TransferStatus::kAnswered ||
      response.http_status != http_status::kOk) {
    return std::nullopt;
  }
  try {
    return ReadReport(Json::parse(response.body));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace limpetrudder::detail
