#ifndef NET_HTTP_SERVER_H_
#define NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "dispatch/dispatch_types.h"
#include "framework/error.h"

namespace limpetrudder {

struct ServerRequest {
  std::uint64_t connection = 0;
  std::string method;
  std::string path;
  std::string query;   // Behind '?', undecoded.
  std::string target;  // Path and query as they came.
  std::vector<HeaderField> headers;
  std::string bearer_token;  // From the Authorization header; may be empty.
  std::string body;
};

struct ServerResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";  // Empty: none is added.
  std::uint32_t retry_after_seconds = 0;  // Above zero: sent as Retry-After.
  std::vector<HeaderField> headers;       // Sent besides.
  bool close = false;  // Close the connection behind the answer.
};

// Answers one request. May be called once, from any thread.
using Responder = std::function<void(ServerResponse)>;

struct HttpServerSettings {
  std::string address;  // An IP number.
  std::uint16_t port = 0;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_header_bytes = 16 << 10;
  // The longest wait for a request, or for the rest of one.
  std::chrono::milliseconds read_timeout = std::chrono::seconds(60);
  // The thread that serves; null: one of the server's own.
  asio::io_context* context = nullptr;
};

// Serves HTTP/1.1 on one thread of its own or on that of an io_context. A body
// or header above its limit is answered with a numbered refusal.
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

  // Opens the port. Call once; with a shared io_context, before it runs.
  // Errors: kStartFailed.
  Result<void> Start();

  // Changes what a message may take from now on. Requests that came before keep
  // to the old limits. On the server's thread.
  void SetMessageLimits(std::size_t header_bytes, std::size_t body_bytes);

  // Takes no new connections; those that are open go on. Only with a shared
  // io_context, on its thread.
  void StopAccepting();

  // Closes all connections and ends the thread. Idempotent. With a shared
  // io_context, which must have stopped, it does nothing.
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
