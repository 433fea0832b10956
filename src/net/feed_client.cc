#include "net/feed_client.h"

#include <charconv>
#include <string_view>
#include <utility>

#include "framework/base64.h"
#include "framework/deflate.h"
#include "framework/http_status.h"
#include "framework/json_schema.h"
#include "framework/logger.h"

namespace limpetrudder {
namespace {

constexpr std::uint64_t kFeedTags = std::uint64_t{1} << 61;

// What an answer takes beyond its wait before the other instance is given up.
constexpr Duration kAnswerTime = Millis(500);

constexpr std::string_view kAfter = "after=";
constexpr std::string_view kReadsPacked = "&packed=1";

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

FeedReply ReadReply(const HttpResponse& response) {
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

}  // namespace

FeedRequest ReadFeedRequest(const ServerRequest& request) {
  FeedRequest feed;
  std::string_view query = request.query;
  feed.reads_packed = query.ends_with(kReadsPacked);
  if (query.starts_with(kAfter)) {
    std::from_chars(query.data() + kAfter.size(), query.data() + query.size(),
                    feed.after);
  }
  return feed;
}

FeedClient::FeedClient(HttpClient* http) : http_(http), next_tag_(kFeedTags) {}

void FeedClient::Ask(const std::string& address,
                     std::uint64_t after,
                     Handler handler) {
  HttpRequest request;
  request.tag = next_tag_++;
  request.address = address;
  request.path = std::string(kFeedPath) + "?" + std::string(kAfter) +
                 std::to_string(after) + std::string(kReadsPacked);
  request.timeout = kFeedWait + kAnswerTime;
  const bool queued =
      http_->Send(std::move(request), [handler](const HttpResponse& response) {
        handler(ReadReply(response));
      });
  if (!queued)
    handler(FeedReply{});
}

}  // namespace limpetrudder
