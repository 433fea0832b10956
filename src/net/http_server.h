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
#include "framework/enum_names.h"
#include "framework/error.h"
#include "limits/connection_budget.h"

namespace limpetrudder {

struct ServerRequest {
  std::uint64_t connection = 0;
  std::string method;
  std::string path;
  std::string query;   // The text after '?', not decoded.
  std::string target;  // Path and query as received.
  std::vector<HeaderField> headers;
  std::string bearer_token;  // From the Authorization header; may be empty.
  std::string body;
};

struct ServerResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";  // Not sent if empty.
  std::uint32_t retry_after_seconds = 0;  // Sent as Retry-After if above zero.
  std::vector<HeaderField> headers;       // Further headers.
  bool close = false;  // Closes the connection after the response.
};

// Sends the response to one request. May be called once, from any thread.
using Responder = std::function<void(ServerResponse)>;

// Why a connection was closed.
enum class ConnectionEnd {
  kClient,          // The client closed it, or it broke.
  kResponded,       // Its last response was sent.
  kIdleTimeout,     // No request came in time.
  kHeadTimeout,     // The head of a request wasn't complete in time.
  kBodyTimeout,     // Its body wasn't complete in time.
  kServingTimeout,  // There was no response in time.
  kSendingTimeout,  // The client didn't take the response in time.
  kMemory,          // All connections together held too much memory.
  kNumber,          // There were too many connections.
  kHeadTooLarge,
  kBodyTooLarge,
  kMalformed,  // Bytes that aren't HTTP.
};

inline constexpr EnumNames<ConnectionEnd, 12> kConnectionEndNames{{
    {ConnectionEnd::kClient, "client"},
    {ConnectionEnd::kResponded, "responded"},
    {ConnectionEnd::kIdleTimeout, "idle_timeout"},
    {ConnectionEnd::kHeadTimeout, "head_timeout"},
    {ConnectionEnd::kBodyTimeout, "body_timeout"},
    {ConnectionEnd::kServingTimeout, "serving_timeout"},
    {ConnectionEnd::kSendingTimeout, "sending_timeout"},
    {ConnectionEnd::kMemory, "memory"},
    {ConnectionEnd::kNumber, "number"},
    {ConnectionEnd::kHeadTooLarge, "head_too_large"},
    {ConnectionEnd::kBodyTooLarge, "body_too_large"},
    {ConnectionEnd::kMalformed, "malformed"},
}};

struct HttpServerSettings {
  std::string address;  // An IP address.
  std::uint16_t port = 0;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_header_bytes = 16 << 10;
  // Runs the server; if null, the server runs on a thread of its own.
  asio::io_context* context = nullptr;
  // Bounds what all connections together take.
  ConnectionLimits connections;
  // If set, called on the server's thread for each connection that was closed.
  std::function<void(ConnectionEnd)> on_end;
};

// Serves HTTP/1.1 on one thread of its own or on that of an io_context. Serves
// one request of a connection at a time. A request whose body or headers exceed
// the limit is refused with a result code as soon as that is known, and its
// connection closed.
class HttpServer {
 public:
  // Both are called on the server's thread. ClosedHandler is called with the id
  // of a closed connection, which may have unanswered requests.
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

  // Changes the size limits for requests received from now on. Call on the
  // server's thread.
  void SetMessageLimits(std::size_t header_bytes, std::size_t body_bytes);

  // Changes the time limits for an idle connection and for receiving a head,
  // also for open connections. Call on the server's thread.
  void SetTimeouts(Duration idle, Duration head);

  // Stops accepting connections; open ones stay in use. Call only with a shared
  // io_context, on its thread.
  void StopAccepting();

  // Closes all connections and ends the thread. Idempotent. Does nothing with a
  // shared io_context, which must have stopped already.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Returns the JSON body of an error response: the result code, whether the
// request was executed, and a message. Thread safe.
std::string RefusalBody(ResultCode code,
                        const std::string& message,
                        const std::string& execution = "not_run");

}  // namespace limpetrudder

#endif  // NET_HTTP_SERVER_H_
