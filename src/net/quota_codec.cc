#include "net/quota_codec.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "framework/http_status.h"
#include "framework/logger.h"
#include "framework/whole_number.h"
#include "net/http_text.h"

namespace limpetrudder {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxAccountLength = 1024;
constexpr std::size_t kMaxResponseBytes = 4 << 10;

// More than any instance asks for.
constexpr double kMaxTokens = 1e9;
constexpr Duration kMaxLife = Seconds(60);
constexpr Duration kMaxRetryAfter = Seconds(600);

std::optional<double> ReadTokens(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number())
    return std::nullopt;
  const auto tokens = found->get<double>();
  if (!std::isfinite(tokens) || tokens < 0 || tokens > kMaxTokens)
    return std::nullopt;
  return tokens;
}

std::optional<QuotaAsk> ReadAsk(const Json& json) {
  if (!json.is_object())
    return std::nullopt;
  const auto account = json.find("account");
  const auto purpose = json.find("purpose");
  const auto tokens = ReadTokens(json, "tokens");
  if (account == json.end() || !account->is_string() || purpose == json.end() ||
      !purpose->is_string() || !tokens) {
    return std::nullopt;
  }
  const auto& name = account->get_ref<const std::string&>();
  const auto value =
      ValueOf(kQuotaPurposeNames, purpose->get_ref<const std::string&>());
  if (!value || name.size() > kMaxAccountLength)
    return std::nullopt;
  return QuotaAsk{name, *value, *tokens};
}

std::optional<QuotaAnswer> ReadAnswer(const Json& json) {
  if (!json.is_object())
    return std::nullopt;
  const auto is_owner = json.find("owner");
  const auto tokens = ReadTokens(json, "tokens");
  const auto spare = ReadTokens(json, "spare");
  const auto life = WholeMillisField(json, "life_ms", kMaxLife);
  const auto retry = WholeMillisField(json, "retry_ms", kMaxRetryAfter);
  if (is_owner == json.end() || !is_owner->is_boolean() || !tokens || !spare ||
      !life || !retry) {
    return std::nullopt;
  }
  return QuotaAnswer{is_owner->get<bool>(), *tokens, *spare, *life, *retry};
}

}  // namespace

PoolRequest EncodeQuotaAsk(const OutgoingQuotaAsk& ask, std::uint64_t id) {
  const std::string body = Json{
      {"account", ask.ask.account},
      {"purpose", NameOf(kQuotaPurposeNames, ask.ask.purpose)},
      {"tokens",
       ask.ask.tokens}}.dump();
  PoolRequest request;
  request.id = id;
  request.server = ask.instance;
  request.address = ask.address;
  request.max_body_bytes = kMaxResponseBytes;
  AppendRequestLine(&request.bytes, "POST", kQuotaPath);
  AppendHeader(&request.bytes, "Host", ask.address);
  AppendHeader(&request.bytes, "Content-Type", "application/json");
  AppendHeader(&request.bytes, "Content-Length", std::to_string(body.size()));
  request.bytes.append("\r\n").append(body);
  return request;
}

std::optional<QuotaAsk> DecodeQuotaAsk(std::string_view body) {
  auto ask = ReadAsk(Json::parse(body, nullptr, /*allow_exceptions=*/false));
  if (!ask)
    Log(LogLevel::kWarning, "quota_ask_unreadable", {{"bytes", body.size()}});
  return ask;
}

ServerResponse EncodeQuotaAnswer(const QuotaAnswer& answer) {
  ServerResponse response;
  response.body = Json{{"owner", answer.is_owner},
                       {"tokens", answer.tokens},
                       {"spare", answer.spare},
                       {"life_ms", WholeMillis(answer.life)},
                       {"retry_ms", WholeMillis(answer.retry_after)}}
                      .dump();
  return response;
}

std::optional<QuotaAnswer> DecodeQuotaAnswer(const PoolResponse& response) {
  if (response.outcome != AttemptOutcome::kAnswered)
    return std::nullopt;
  if (response.status == http_status::kNotFound)
    return QuotaAnswer();
  if (response.status != http_status::kOk)
    return std::nullopt;
  const auto answer = ReadAnswer(Json::parse(response.body, nullptr,
                                             /*allow_exceptions=*/false));
  if (!answer) {
    Log(LogLevel::kWarning, "quota_answer_unreadable",
        {{"bytes", response.body.size()}});
  }
  return answer;
}

}  // namespace limpetrudder
