#include "net/feed_client.h"

#include <charconv>
#include <string_view>
#include <utility>

#include "framework/http_status.h"
#include "framework/json_schema.h"
#include "framework/logger.h"

namespace limpetrudder {
namespace {

constexpr std::uint64_t kFeedTags = std::uint64_t{1} << 61;

// What an answer takes beyond its wait before the other instance is given up.
constexpr Duration kAnswerTime = Millis(500);

constexpr std::string_view kAfter = "after=";

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
      if (!row.at("value").is_null())
        item.value = row.at("value").get<std::string>();
      reply.items.push_back(std::move(item));
    }
    reply.status = FeedStatus::kOk;
  } catch (const Json::exception& error) {
    Log(LogLevel::kWarning, "feed_unreadable", {{"message", error.what()}});
  }
  return reply;
}

}  // namespace

ServerResponse EncodeFeed(const FeedReply& reply) {
  Json items = Json::array();
  for (const auto& item : reply.items) {
    Json row = {{"key", item.key}, {"revision", item.revision}};
    row["value"] = item.value ? Json(*item.value) : Json();
    items.push_back(std::move(row));
  }
  ServerResponse response;
  response.body = Json({{"revision", reply.revision},
                        {"whole", reply.whole},
                        {"age_ms", WholeMillis(reply.age)},
                        {"items", std::move(items)}})
                      .dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

std::uint64_t FeedRevision(const ServerRequest& request) {
  std::uint64_t revision = 0;
  const std::string_view query = request.query;
  if (query.starts_with(kAfter)) {
    std::from_chars(query.data() + kAfter.size(), query.data() + query.size(),
                    revision);
  }
  return revision;
}

FeedClient::FeedClient(HttpClient* http) : http_(http), next_tag_(kFeedTags) {}

void FeedClient::Ask(const std::string& address,
                     std::uint64_t after,
                     Handler handler) {
  HttpRequest request;
  request.tag = next_tag_++;
  request.address = address;
  request.path = std::string(kFeedPath) + "?" + std::string(kAfter) +
                 std::to_string(after);
  request.timeout = kFeedWait + kAnswerTime;
  const bool queued =
      http_->Send(std::move(request), [handler](const HttpResponse& response) {
        handler(ReadReply(response));
      });
  if (!queued)
    handler(FeedReply{});
}

}  // namespace limpetrudder
