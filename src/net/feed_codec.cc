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

// The query fields of a feed request.
constexpr std::string_view kRevisionField = "after";
constexpr std::string_view kEraField = "era";
constexpr std::string_view kRoutesField = "routes";
constexpr std::string_view kAtOnceField = "now";
constexpr std::string_view kAcceptsCompressedField = "packed";

// The store's values take up to one megabyte.
constexpr std::size_t kMaxValueBytes = 8 << 20;

// Reads the value of an item; a null value means that the item was deleted.
// Returns false if a compressed value is corrupt.
bool ReadValue(const Json& row, std::optional<std::string>* value) {
  if (const auto packed = row.find("packed"); packed != row.end()) {
    const std::size_t size = row.at("size");
    const auto bytes = DecodeBase64(packed->get_ref<const std::string&>());
    if (bytes && size <= kMaxValueBytes)
      *value = Inflate(*bytes, size);
    return value->has_value();
  }
  if (!row.at("value").is_null())
    *value = row.at("value").get<std::string>();
  return true;
}

// Returns the number in a query field, or nothing if the field is missing or
// isn't a number.
std::optional<std::uint64_t> QueryNumber(const std::string& query,
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

std::string EncodeFeedRequest(const FeedRequest& feed_request) {
  std::string path = kFeedPath;
  const auto append = [&path](char sign, std::string_view field,
                              std::uint64_t number) {
    path += sign;
    path.append(field).append("=").append(std::to_string(number));
  };
  append('?', kRevisionField, feed_request.after.revision);
  append('&', kEraField, feed_request.after.era);
  if (feed_request.routes_version)
    append('&', kRoutesField, *feed_request.routes_version);
  append('&', kAtOnceField, feed_request.at_once ? 1 : 0);
  append('&', kAcceptsCompressedField, 1);
  return path;
}

DecodedFeedRequest DecodeFeedRequest(const ServerRequest& request) {
  const auto number = [&request](std::string_view field) {
    return QueryNumber(request.query, field);
  };
  DecodedFeedRequest feed;
  feed.request.after = {number(kEraField).value_or(0),
                        number(kRevisionField).value_or(0)};
  feed.request.routes_version = number(kRoutesField);
  feed.request.at_once = number(kAtOnceField).value_or(0) != 0;
  feed.accepts_compressed = number(kAcceptsCompressedField).value_or(0) != 0;
  return feed;
}

}  // namespace limpetrudder
