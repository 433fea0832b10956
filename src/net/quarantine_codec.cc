#include "net/quarantine_codec.h"

#include <algorithm>
#include <cctype>
#include <optional>

#include <nlohmann/json.hpp>

#include "framework/http_status.h"
#include "framework/logger.h"
#include "framework/whole_number.h"
#include "net/http_text.h"

namespace limpetrudder {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNotices = 32;
constexpr std::size_t kMaxDigestLength = 64;
constexpr std::size_t kMaxResponseBytes = 64 << 10;

// Set to this in requests of scope kChanges.
constexpr char kScopeHeader[] = "Limpet-Notices";
constexpr char kChangesScope[] = "changes";

// Bounds times, in milliseconds, and counts.
constexpr std::int64_t kMaxNumber = 86'400'000;

std::optional<std::int64_t> ReadSmallNumber(const Json& row, const char* name) {
  const auto number = WholeNumber(row, name);
  if (!number || *number > static_cast<std::uint64_t>(kMaxNumber))
    return std::nullopt;
  return static_cast<std::int64_t>(*number);
}

bool IsDigest(const std::string& text) {
  return !text.empty() && text.size() <= kMaxDigestLength &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c) != 0; });
}

std::optional<QuarantineNotice> ReadNotice(const Json& row) {
  if (!row.is_object())
    return std::nullopt;
  const auto digest = row.find("digest");
  const auto standing = row.find("standing");
  if (digest == row.end() || !digest->is_string() || standing == row.end() ||
      !standing->is_string()) {
    return std::nullopt;
  }
  const auto value =
      ValueOf(kRequestStandingNames, standing->get_ref<const std::string&>());
  const auto age = ReadSmallNumber(row, "age_ms");
  const auto left = ReadSmallNumber(row, "left_ms");
  const auto quarantines = ReadSmallNumber(row, "quarantines");
  if (!value || !age || !left || !quarantines ||
      !IsDigest(digest->get_ref<const std::string&>())) {
    return std::nullopt;
  }
  QuarantineNotice notice{digest->get<std::string>(), *value, Millis(*age),
                          Millis(*left),
                          static_cast<std::uint32_t>(*quarantines)};
  // Older builds send neither.
  if (const auto trial_age = ReadSmallNumber(row, "trial_age_ms"))
    notice.trial_age = Millis(*trial_age);
  if (const auto revision = ReadSmallNumber(row, "revision"))
    notice.revision = static_cast<std::uint32_t>(*revision);
  return notice;
}

}  // namespace

std::string EncodeNotices(const std::vector<QuarantineNotice>& notices) {
  Json rows = Json::array();
  for (const QuarantineNotice& notice : notices) {
    rows.push_back(
        {{"digest", notice.digest},
         {"standing", NameOf(kRequestStandingNames, notice.standing)},
         {"age_ms", std::max<std::int64_t>(0, WholeMillis(notice.age))},
         {"left_ms",
          std::max<std::int64_t>(0, WholeMillis(notice.quarantine_left))},
         {"quarantines", notice.quarantines},
         {"revision", notice.revision}});
    if (notice.trial_age) {
      rows.back()["trial_age_ms"] =
          std::max<std::int64_t>(0, WholeMillis(*notice.trial_age));
    }
  }
  return rows.dump();
}

std::vector<QuarantineNotice> DecodeNotices(std::string_view text) {
  std::vector<QuarantineNotice> notices;
  const Json rows = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!rows.is_array()) {
    Log(LogLevel::kWarning, "quarantine_unreadable", {{"bytes", text.size()}});
    return notices;
  }
  for (const Json& row : rows) {
    const auto notice = ReadNotice(row);
    if (!notice || notices.size() >= kMaxNotices) {
      Log(LogLevel::kWarning, "quarantine_unreadable",
          {{"rows", rows.size()}, {"read", notices.size()}});
      return notices;
    }
    notices.push_back(*notice);
  }
  return notices;
}

PoolRequest EncodeExchange(const ExchangeQuarantine& exchange,
                           std::uint64_t id) {
  const std::string body = EncodeNotices(exchange.notices);
  PoolRequest request;
  request.id = id;
  request.server = exchange.instance;
  request.address = exchange.address;
  request.max_body_bytes = kMaxResponseBytes;
  AppendRequestLine(&request.bytes, "POST", kQuarantinePath);
  AppendHeader(&request.bytes, "Host", exchange.address);
  AppendHeader(&request.bytes, "Content-Type", "application/json");
  if (exchange.scope == NoticeScope::kChanges)
    AppendHeader(&request.bytes, kScopeHeader, kChangesScope);
  AppendHeader(&request.bytes, "Content-Length", std::to_string(body.size()));
  request.bytes.append("\r\n").append(body);
  return request;
}

NoticeScope DecodeScope(const ServerRequest& request) {
  return HeaderValue(request.headers, kScopeHeader) == kChangesScope
             ? NoticeScope::kChanges
             : NoticeScope::kAll;
}

std::optional<std::vector<QuarantineNotice>> DecodeExchangeReply(
    const PoolResponse& response) {
  if (response.outcome != AttemptOutcome::kAnswered)
    return std::nullopt;
  if (response.status != http_status::kOk)
    return std::vector<QuarantineNotice>();
  return DecodeNotices(response.body);
}

}  // namespace limpetrudder
