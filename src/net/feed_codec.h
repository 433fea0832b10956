#ifndef NET_FEED_CODEC_H_
#define NET_FEED_CODEC_H_

#include <string>

#include "discovery/discovery_types.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace limpetrudder {

// The protocol by which instances pass on what the store says: a question for
// what changed since a position waits at the other instance until something
// has, or kFeedWait is over.
inline constexpr char kFeedPath[] = "/feed";

struct DecodedFeedRequest {
  FeedQuestion request;
  bool accepts_compressed = false;  // It can read compressed values.
};

// Writes a question as path and query. Thread safe.
std::string EncodeFeedRequest(const FeedQuestion& question);

// Reads a question; one that names no position knows nothing. Thread safe.
DecodedFeedRequest DecodeFeedRequest(const ServerRequest& request);

// Reads an answer; one that can't be read is none, and is logged. Thread safe.
FeedReply DecodePeerFeedReply(const HttpResponse& response);

}  // namespace limpetrudder

#endif  // NET_FEED_CODEC_H_
