#ifndef NET_FEED_CLIENT_H_
#define NET_FEED_CLIENT_H_

#include <atomic>
#include <functional>
#include <string>

#include "discovery/discovery_types.h"
#include "net/feed_codec.h"
#include "net/http_client.h"

namespace limpetrudder {

// Asks other instances. Handlers are called on the HTTP client's thread. All
// methods are thread safe.
class FeedClient {
 public:
  using Handler = std::function<void(FeedReply)>;

  // `http` must outlive this object.
  explicit FeedClient(HttpClient* http);

  void Send(const std::string& address,
            const FeedQuestion& question,
            Handler handler);

 private:
  HttpClient* const http_;
  std::atomic<std::uint64_t> next_tag_;
};

}  // namespace limpetrudder

#endif  // NET_FEED_CLIENT_H_
