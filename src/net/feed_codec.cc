#include "net/feed_codec.h"

#include <string_view>
#include <utility>

#include "framework/base64.h"
#include "framework/deflate.h"
#include "framework/http_status.h"
#include "framework/json_schema.h"
#include "framework/logger.h"
#include "framework/read_number.h"
#include "framework/whole_number.h"
#include "net/http_text.h"

namespace limpetrudder {
namespace {

// The query fields of a feed request.
constexpr std::string_view kRevisionField = "after";
constexpr std::string_view kEraField = "era";
constexpr std::string_view kRoutesField = "routes";
constexpr std::string_view kAtOnceField = "now";
constexpr std::string_view kAcceptsCompressedField = "packed";

// The largest total of the compressed values of one response, uncompressed. Of
// the store's values, only the configuration is long enough to be compressed;
// it takes up to one megabyte.
constexpr std::size_t kMaxInflatedBytes = 16 << 20;

constexpr Duration kMaxAge = Seconds(365LL * 86'400);

// Reads the value of an item; a null value means that the item was deleted.
// Returns false if it is missing, corrupt, or larger than `*inflatable` bytes
// uncompressed, which it reduces.
bool ReadValue(const Json& row,
               std::size_t* inflatable,
               std::optional<std::string>* value) {
  if (const auto packed = row.find("packed"); packed != row.end()) {
    const auto size = WholeNumber(row, "size");
    if (!size || *size > *inflatable || !packed->is_string())
      return false;
    *inflatable -= *size;
    const auto bytes = DecodeBase64(packed->get_ref<const std::string&>());
    if (bytes)
      *value = Inflate(*bytes, *size);
    return value->has_value();
  }
  const auto plain = row.find("value");
  if (plain == row.end() || !(plain->is_null() || plain->is_string()))
    return false;
  if (plain->is_string())
    *value = plain->get<std::string>();
  return true;
}

std::optional<RawItem> ReadItem(const Json& row, std::size_t* inflatable) {
  if (!row.is_object())
    return std::nullopt;
  const auto key = row.find("key");
  const auto revision = WholeNumber(row, "revision");
  RawItem item;
  if (key == row.end() || !key->is_string() || !revision ||
      !ReadValue(row, inflatable, &item.value)) {
    return std::nullopt;
  }
  item.key = key->get<std::string>();
  item.revision = *revision;
  return item;
}

// Returns nothing if any part of `body` is malformed.
std::optional<FeedReply> ReadFeedReply(const Json& body) {
  if (!body.is_object())
    return std::nullopt;
  const auto revision = WholeNumber(body, "revision");
  // Older builds send no era.
  const auto era = WholeNumber(body, "era");
  const auto age = WholeMillisField(body, "age_ms", kMaxAge);
  const auto whole = body.find("whole");
  const auto items = body.find("items");
  if (!revision || (!era && body.contains("era")) || !age ||
      whole == body.end() || !whole->is_boolean() || items == body.end() ||
      !items->is_array()) {
    return std::nullopt;
  }
  FeedReply reply;
  reply.status = FeedStatus::kOk;
  reply.revision = *revision;
  reply.era = era;
  reply.whole = whole->get<bool>();
  reply.age = *age;
  std::size_t inflatable = kMaxInflatedBytes;
  for (const Json& row : *items) {
    auto item = ReadItem(row, &inflatable);
    if (!item)
      return std::nullopt;
    reply.items.push_back(*std::move(item));
  }
  return reply;
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
  if (response.status != TransferStatus::kAnswered ||
      response.http_status != http_status::kOk) {
    return FeedReply();
  }
  const auto body = ParseJson(response.body);
  auto reply = body ? ReadFeedReply(body.assume_value()) : std::nullopt;
  if (!reply) {
    Log(LogLevel::kWarning, "feed_unreadable",
        {{"bytes", response.body.size()}});
    return FeedReply();
  }
  return *std::move(reply);
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
