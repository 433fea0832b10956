#include "net/feed_client.h"

#include <utility>

namespace limpetrudder {
namespace {

constexpr std::uint64_t kFeedTags = std::uint64_t{1} << 61;

// What an answer takes beyond its wait before the other instance is given up.
constexpr Duration kAnswerTime = Millis(500);

}  // namespace

FeedClient::FeedClient(HttpClient* http) : http_(http), next_tag_(kFeedTags) {}

void FeedClient::Send(const std::string& address,
                      const FeedQuestion& question,
                      Handler handler) {
  HttpRequest request;
  request.tag = next_tag_++;
  request.address = address;
  request.path = EncodeFeedRequest(question);
  request.timeout = kFeedWait + kAnswerTime;
  const bool queued =
      http_->Send(std::move(request), [handler](const HttpResponse& response) {
        handler(DecodePeerFeedReply(response));
      });
  if (!queued)
    handler(FeedReply{});
}

}  // namespace limpetrudder
