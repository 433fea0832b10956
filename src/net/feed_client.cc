#include "net/feed_client.h"

#include <utility>

namespace limpetrudder {
namespace {

constexpr std::uint64_t kFirstFeedTag = std::uint64_t{1} << 61;

// The time that a response may take in addition to kFeedWait before the request
// fails.
constexpr Duration kResponseTime = Millis(500);

}  // namespace

FeedClient::FeedClient(HttpClient* http)
    : http_(http), next_tag_(kFirstFeedTag) {}

void FeedClient::Send(const std::string& address,
                      const FeedRequest& feed_request,
                      Handler handler) {
  HttpRequest request;
  request.tag = next_tag_++;
  request.address = address;
  request.path = EncodeFeedRequest(feed_request);
  request.timeout = kFeedWait + kResponseTime;
  const bool queued =
      http_->Send(std::move(request), [handler](const HttpResponse& response) {
        handler(DecodePeerFeedReply(response));
      });
  if (!queued)
    handler(FeedReply{});
}

}  // namespace limpetrudder
