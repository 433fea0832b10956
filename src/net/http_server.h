#ifndef NET_HTTP_SERVER_H_
#define NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "framework/error.h"

namespace limpetrudder {

struct ServerRequest {
  std::uint64_t connection = 0;
  std::string method;
  std::string path;
  std::string query;         // Behind '?', undecoded.
  std::string bearer_token;  // From the Authorization header; may be empty.
  std::string body;
};

struct ServerResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::uint32_t retry_after_seconds = 0;  // Above zero: sent as Retry-After.
};

// Answers one request. May be called once, from any thread.
using Responder = std::function<void(ServerResponse)>;

struct HttpServerSettings {
  std::string address;  // An IP number.
  std::uint16_t port = 0;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_header_bytes = 16 << 10;
};

// Serves HTTP/1.1 on one thread of its own. A body or header above its limit is
// answered with a numbered refusal.
class HttpServer {
 public:
  // Both are called on the server's thread. `on_closed` names a connection that
  // the caller closed, perhaps with requests unanswered.
  using Handler = std::function<void(ServerRequest, Responder)>;
  using ClosedHandler = std::function<void(std::uint64_t connection)>;

  HttpServer(HttpServerSettings settings,
             Handler handler,
             ClosedHandler on_closed);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Opens the port. Call once. Errors: kStartFailed.
  Result<void> Start();

  // Closes all connections and ends the thread. Idempotent.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Returns the body of a refusal: its code, what became of the request, and a
// message. Thread safe.
std::string RefusalBody(ResultCode code,
                        const std::string& message,
                        const std::string& execution = "not_run");

}  // namespace limpetrudder

#endif  // NET_HTTP_SERVER_H_
