#include "net/feed_codec.h"

#include <string_view>
#include <utility>

#include "framework/base64.h"
#include "framework/deflate.h"
#include "framework/http_status.h"
#include "framework/json_schema.h"
#include "framework/logger.h"
#include "framework/read_number.h"
#include "net/http_text.h"

namespace limpetrudder {
namespace {

// The fields of a question.
constexpr std::string_view kRevision = "after";
constexpr std::string_view kEra = "era";
constexpr std::string_view kRoutes = "routes";
constexpr std::string_view kAtOnce = "now";
constexpr std::string_view kReadsPacked = "packed";

// The store holds values of one megabyte at most.
constexpr std::size_t kMostValueBytes = 8 << 20;

// Reads the value of an item, or that it is gone; false if it is damaged.
bool ReadValue(const Json& row, std::optional<std::string>* value) {
  if (const auto packed = row.find("packed"); packed != row.end()) {
    const std::size_t size = row.at("size");
    const auto bytes = DecodeBase64(packed->get_ref<const std::string&>());
    if (bytes && size <= kMostValueBytes)
      *value = Inflate(*bytes, size);
    return value->has_value();
  }
  if (!row.at("value").is_null())
    *value = row.at("value").get<std::string>();
  return true;
}

// Returns the number of a field, or nothing if it isn't there.
std::optional<std::uint64_t> NumberIn(const std::string& query,
                                      std::string_view field) {
  const auto text = QueryField(query, field);
  std::uint64_t number = 0;
  if (!text || !ReadNumber(*text, &number))
    return std::nullopt;
  return number;
}

}  // namespace

FeedReply DecodePeerFeedReply(const HttpResponse& response) {
  FeedReply reply;
  if (response.status != TransferStatus::kAnswered ||
      response.http_status != http_status::kOk) {
    return reply;
  }
  const auto json = ParseJson(response.body);
  if (!json) {
    Log(LogLevel::kWarning, "feed_unreadable",
        {{"message", json.error().message}});
    return reply;
  }
  try {
    const Json& body = json.assume_value();
    reply.revision = body.at("revision");
    if (body.contains("era"))
      reply.era = body.at("era").get<std::uint64_t>();
    reply.whole = body.at("whole");
    reply.age = Millis(body.at("age_ms").get<std::int64_t>());
    for (const auto& row : body.at("items")) {
      RawItem item;
      item.key = row.at("key");
      item.revision = row.at("revision");
      if (!ReadValue(row, &item.value)) {
        Log(LogLevel::kWarning, "feed_unreadable", {{"key", item.key}});
        return FeedReply();
      }
      reply.items.push_back(std::move(item));
    }
    reply.status = FeedStatus::kOk;
  } catch (const Json::exception& error) {
    Log(LogLevel::kWarning, "feed_unreadable", {{"message", error.what()}});
  }
  return reply;
}

std::string EncodeFeedRequest(const FeedQuestion& question) {
  std::string path = kFeedPath;
  const auto append = [&path](char sign, std::string_view field,
                              std::uint64_t number) {
    path += sign;
    path.append(field).append("=").append(std::to_string(number));
  };
  append('?', kRevision, question.after.revision);
  append('&', kEra, question.after.era);
  if (question.routes_version)
    append('&', kRoutes, *question.routes_version);
  append('&', kAtOnce, question.at_once ? 1 : 0);
  append('&', kReadsPacked, 1);
  return path;
}

DecodedFeedRequest DecodeFeedRequest(const ServerRequest& request) {
  const auto number = [&request](std::string_view field) {
    return NumberIn(request.query, field);
  };
  DecodedFeedRequest feed;
  feed.request.after = {number(kEra).value_or(0),
                        number(kRevision).value_or(0)};
  feed.request.routes_version = number(kRoutes);
  feed.request.at_once = number(kAtOnce).value_or(0) != 0;
  feed.accepts_compressed = number(kReadsPacked).value_or(0) != 0;
  return feed;
}

}  // namespace limpetrudder
