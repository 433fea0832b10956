#ifndef NET_FEED_CLIENT_H_
#define NET_FEED_CLIENT_H_

#include <atomic>
#include <functional>
#include <string>

#include "discovery/discovery_types.h"
#include "net/feed_codec.h"
#include "net/http_client.h"

namespace limpetrudder {

// Requests the store feed from other instances. Handlers are called on the HTTP
// client's thread. All methods are thread safe.
class FeedClient {
 public:
  using Handler = std::function<void(FeedReply)>;

  // `http` must outlive this object.
  explicit FeedClient(HttpClient* http);

  // Requests the feed from the instance at `address` ("IP:PORT"). The handler
  // is called once, with FeedStatus::kNoReply if no valid response came. If the
  // HTTP client's queue is full, it is called before this returns.
  void Send(const std::string& address,
            const FeedRequest& feed_request,
            Handler handler);

 private:
  HttpClient* const http_;
  std::atomic<std::uint64_t> next_tag_;
};

}  // namespace limpetrudder

#endif  // NET_FEED_CLIENT_H_
