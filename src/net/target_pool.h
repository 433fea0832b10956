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
  std::uint64_t id = 0;    // Names the request for Cancel(); must be unique.
  std::string server;      // Connections are kept by server, not by address.
  std::string address;     // "IP:PORT".
  std::string bytes;       // Head and body.
  std::string echo;        // What the server echoes to tell whose answer it is.
  bool head_only = false;  // The answer has no body, as to HEAD.
  bool fresh_connection = false;  // Or one that was used a moment ago.
  // An answer with a longer body is given up.
  std::size_t max_body_bytes = kMaxBodyBytes;
};

struct PoolResponse {
  std::uint64_t id = 0;
  SendOutcome outcome = SendOutcome::kBroken;
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  Duration connect_time{0};  // 0: the connection was open.
};

struct TargetPoolSettings {
  // The header in which servers echo a request's id. An answer that echoes
  // another one's is dropped.
  std::string echo_header;
  // What answers that are still being read may take together. Beyond it the
  // largest one is given up.
  std::size_t max_buffered_bytes = std::size_t{64} << 20;
};

// Makes requests over connections that are kept for each server. A request is
// sent once: nothing is sent again on a connection that turns out dead. A
// connection on which a byte comes that belongs to no request is closed. A peer
// may send without end: head, body, and what comes before the answer are
// bounded for each request. Runs on the thread of its io_context; not thread
// safe.
class TargetPool {
 public:
  // Called once for each request that wasn't cancelled, never from Send().
  using Handler = std::function<void(PoolResponse)>;

  TargetPool(asio::io_context* context,
             TargetPoolSettings settings,
             Handler handler);
  ~TargetPool();

  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  void Send(PoolRequest request);

  // Closes the request's connection; its handler isn't called. If the server
  // was silent, its idle connections are closed too, since they may be dead.
  void Cancel(std::uint64_t id);

  // Closes the idle connections of a server that is gone.
  void CloseIdleConnections(const std::string& server);

  // What answers that are still being read take.
  std::size_t buffered_bytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder

#endif  // NET_TARGET_POOL_H_
