#include "app/internal/json_api.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "framework/http_status.h"
#include "query/answer_json.h"

namespace limpetrudder {
namespace {

std::uint32_t RoundUpToSeconds(Duration duration) {
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  return static_cast<std::uint32_t>((duration.count() + kMicrosPerSecond - 1) /
                                    kMicrosPerSecond);
}

std::string DecodePercentEscapes(std::string_view text) {
  constexpr std::size_t kDigits = 2;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const std::string_view digits = text.substr(i + 1, kDigits);
    const char* const end = digits.data() + digits.size();
    unsigned value = 0;
    if (text[i] == '%' && digits.size() == kDigits &&
        std::from_chars(digits.data(), end, value, 16).ptr == end) {
      decoded.push_back(static_cast<char>(value));
      i += kDigits;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

}  // namespace

int HttpStatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
    case ResultCode::kPartialAnswer:
      return http_status::kOk;
    case ResultCode::kCollectionUnknown:
    case ResultCode::kNoSuchPath:
    case ResultCode::kRequestNotKept:
      return http_status::kNotFound;
    case ResultCode::kOverloaded:
    case ResultCode::kQueueFull:
    case ResultCode::kRingFull:
    case ResultCode::kLedgerFull:
      return http_status::kTooManyRequests;
    case ResultCode::kNotAuthorised:
      return http_status::kUnauthorised;
    case ResultCode::kNotGranted:
      return http_status::kForbidden;
    case ResultCode::kDeadlinePassed:
      return http_status::kGatewayTimeout;
    case ResultCode::kConfigConflict:
    case ResultCode::kChangeReused:
    case ResultCode::kKeyBodyDiffers:
    case ResultCode::kKeyExpired:
    case ResultCode::kKeyNotIssued:
    case ResultCode::kIssuerGone:
    case ResultCode::kWriteNotRun:
    case ResultCode::kWriteRefused:
      return http_status::kConflict;
    case ResultCode::kNotWhole:
    case ResultCode::kNoAnswer:
    case ResultCode::kNoHome:
    case ResultCode::kNotReady:
    case ResultCode::kStopping:
    case ResultCode::kCheckingRevision:
    case ResultCode::kPeerUnreachable:
    case ResultCode::kOutcomeUnknown:
    case ResultCode::kWriteRunning:
    case ResultCode::kConfigNotAvailable:
    case ResultCode::kConfigOutcomeUnknown:
    case ResultCode::kPlatformUnavailable:
    case ResultCode::kNoServer:
      return http_status::kUnavailable;
    default:
      return http_status::kBadRequest;
  }
}

ServerResponse ToResponse(const SearchAnswer& answer) {
  ServerResponse response;
  response.status = HttpStatusOf(answer.code);
  response.body = WriteAnswer(answer).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.retry_after_seconds = RoundUpToSeconds(answer.retry_after);
  return response;
}

ServerResponse ToResponse(const WriteOutcome& outcome, const std::string& key) {
  nlohmann::ordered_json body;
  body["code"] = WriteCode(outcome.code);
  body["key"] = key;
  body["outcome"] = NameOf(kWriteStateNames, outcome.state);
  body["final"] = outcome.final;
  if (outcome.state == WriteState::kDone) {
    body["server_status"] = outcome.server_status;
    body["server_body"] = outcome.server_body;
  }
  if (!outcome.message.empty())
    body["message"] = outcome.message;
  if (outcome.retry_after.count() > 0)
    body["retry_after_ms"] = WholeMillis(outcome.retry_after);
  ServerResponse response;
  response.status = HttpStatusOf(outcome.code);
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.retry_after_seconds = RoundUpToSeconds(outcome.retry_after);
  return response;
}

ServerResponse Refusal(ResultCode code, const std::string& message) {
  ServerResponse response;
  response.status = HttpStatusOf(code);
  response.body = RefusalBody(code, message);
  if (response.status == http_status::kTooManyRequests ||
      response.status == http_status::kUnavailable)
    response.retry_after_seconds = 1;
  return response;
}

std::string QueryValue(const std::string& query, const std::string& name) {
  std::size_t begin = 0;
  while (begin < query.size()) {
    const std::size_t end = std::min(query.find('&', begin), query.size());
    const std::string_view pair =
        std::string_view(query).substr(begin, end - begin);
    const std::size_t equals_sign = pair.find('=');
    if (equals_sign != std::string_view::npos &&
        pair.substr(0, equals_sign) == name)
      return DecodePercentEscapes(pair.substr(equals_sign + 1));
    begin = end + 1;
  }
  return std::string();
}

}  // namespace limpetrudder
