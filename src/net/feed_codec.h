#ifndef NET_FEED_CODEC_H_
#define NET_FEED_CODEC_H_

#include <string>

#include "discovery/discovery_types.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace limpetrudder {

// The protocol by which instances pass on the store's contents. A request asks
// for the changes since a position. The other instance holds it until there are
// changes or kFeedWait is over.
inline constexpr char kFeedPath[] = "/feed";

struct DecodedFeedRequest {
  FeedRequest request;
  bool accepts_compressed = false;  // The requester can read compressed values.
};

// Returns the URL path and query of a feed request. Thread safe.
std::string EncodeFeedRequest(const FeedRequest& feed_request);

// Reads a feed request. A missing or unreadable position reads as the start of
// the store: the requester has no data yet. Thread safe.
DecodedFeedRequest DecodeFeedRequest(const ServerRequest& request);

// Reads the feed response of another instance. A malformed one is logged and
// yields FeedStatus::kNoReply. Thread safe.
FeedReply DecodePeerFeedReply(const HttpResponse& response);

}  // namespace limpetrudder

#endif  // NET_FEED_CODEC_H_
