#ifndef NET_FEED_CLIENT_H_
#define NET_FEED_CLIENT_H_

#include <atomic>
#include <functional>
#include <string>

#include "discovery/discovery_types.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace limpetrudder {

// The protocol by which instances pass on what the store says: a question for
// what changed since a position waits at the other instance until something
// has, or kFeedWait is over.
inline constexpr char kFeedPath[] = "/feed";

struct FeedRequest {
  FeedQuestion question;
  bool reads_packed = false;  // It can read compressed values.
};

// Reads a question; one that names no position knows nothing. Thread safe.
FeedRequest ReadFeedRequest(const ServerRequest& request);

// Asks other instances. Handlers are called on the HTTP client's thread. All
// methods are thread safe.
class FeedClient {
 public:
  using Handler = std::function<void(FeedReply)>;

  // `http` must outlive this object.
  explicit FeedClient(HttpClient* http);

  void Ask(const std::string& address,
           const FeedQuestion& question,
           Handler handler);

 private:
  HttpClient* const http_;
  std::atomic<std::uint64_t> next_tag_;
};

}  // namespace limpetrudder

#endif  // NET_FEED_CLIENT_H_
