#ifndef NET_TARGET_POOL_H_
#define NET_TARGET_POOL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "dispatch/dispatch_types.h"
#include "net/response_limits.h"

namespace limpetrudder {

// One HTTP/1.1 request to one server, ready to be sent.
struct PoolRequest {
  std::uint64_t id = 0;  // Identifies the request for Cancel(); unique.
  std::string server;    // Connections are pooled by server, not by address.
  std::string address;   // "IP:PORT".
  std::string bytes;     // Head and body.
  std::string echo;      // The id that the server echoes in its response.
  // The server echoes ids in all its responses or in none: once it has echoed
  // one, a response without an id is as foreign as one with another id.
  bool echoes_all_or_none = false;
  // A success that lacks this header ends the connection; empty: none is due.
  std::string signature_header;
  bool head_only = false;  // The response has no body, as for HEAD.
  // Use a new connection, or one that was in use until just now.
  bool fresh_connection = false;
  // A response with a longer body is discarded.
  std::size_t max_body_bytes = kMaxBodyBytes;
};

struct PoolResponse {
  std::uint64_t id = 0;
  AttemptOutcome outcome = AttemptOutcome::kBroken;
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  Duration connect_time{0};  // 0 if an open connection was reused.
  // It may be a late response to an earlier request of the connection: it
  // lacks the id, and the server isn't known to echo ids.
  bool maybe_foreign = false;
};

struct TargetPoolSettings {
  // The header in which servers echo a request's id. A response that echoes the
  // id of another request is dropped, as may be one without an id
  // (PoolRequest::echoes_all_or_none).
  std::string echo_header;
  // The limit on the total size of incomplete responses. Above it, the largest
  // response is discarded and its request fails.
  std::size_t max_buffered_bytes = std::size_t{64} << 20;
};

// Makes HTTP/1.1 requests over a pool of persistent connections to each server.
// A request is sent at most once: it isn't repeated if the connection turns out
// to be dead. A connection that receives bytes while no request is pending is
// closed, and what arrived before a request was sent isn't its response. Since
// a faulty peer may send without end, the head, the body and anything before
// the response are limited for each request. Runs on the thread of its
// io_context; not thread safe.
class TargetPool {
 public:
  // Called once for each request that wasn't cancelled, never from within
  // Send().
  using Handler = std::function<void(PoolResponse)>;

  TargetPool(asio::io_context* context,
             TargetPoolSettings settings,
             Handler handler);
  ~TargetPool();

  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  void Send(PoolRequest request);

  // Closes the request's connection; the handler isn't called. If the server
  // hasn't sent a byte of the response for a while, its idle connections are
  // closed too, since they may be dead.
  void Cancel(std::uint64_t id);

  // Closes the idle connections to `server`, for example after it was removed.
  void CloseIdleConnections(const std::string& server);

  // Returns the total size of incomplete responses.
  std::size_t buffered_bytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder

#endif  // NET_TARGET_POOL_H_
