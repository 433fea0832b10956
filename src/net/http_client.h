#ifndef NET_HTTP_CLIENT_H_
#define NET_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "framework/time.h"
#include "net/response_limits.h"

namespace limpetrudder {

struct HttpRequest {
  std::uint64_t tag = 0;  // Identifies the request for Abort(); must be unique.
  std::string method = "GET";
  std::string address;  // "IP:PORT".
  std::string path;     // Begins with '/'.
  std::vector<std::string> headers;
  std::string body;
  Duration timeout{0};
  // The response header to return in HttpResponse::header; may be empty.
  std::string wanted_header;
  // A response with a longer body, or with a head above kMaxHeadBytes, is
  // discarded and its connection closed.
  std::size_t max_body_bytes = kMaxBodyBytes;
  // Opens a connection for this request only and closes it afterwards. libcurl
  // repeats a request if a reused connection turns out to be dead, so requests
  // that must run at most once need this.
  bool own_connection = false;
  // Called right before the first byte is sent. If it returns false, nothing is
  // sent and the request ends with kNotSent.
  std::function<bool()> may_send;
};

enum class TransferStatus {
  kAnswered,
  kConnectFailed,  // Nothing was sent.
  kNotSent,        // may_send() returned false.
  kFailed,         // The connection broke after something may have been sent.
  kTimedOut,       // Something was sent, but no complete response came in time.
  kTooLarge,       // The response exceeded its limit.
};

struct HttpResponse {
  std::uint64_t tag = 0;
  TransferStatus status = TransferStatus::kFailed;
  int http_status = 0;  // For kAnswered.
  // The value of the wanted header, if the response has it.
  std::optional<std::string> header;
  std::string body;
};

// Makes HTTP/1.1 requests over persistent connections, on one thread of its
// own. Follows no redirects and uses no proxy. All methods are thread safe.
class HttpClient {
 public:
  // Called on the client's thread, once for each request that wasn't aborted.
  using Handler = std::function<void(HttpResponse)>;

  // Queues at most `capacity` requests that haven't been started yet.
  explicit HttpClient(std::size_t capacity);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Start();
  void Stop();

  // Queues a request. Returns false if the queue is full; the handler isn't
  // called then.
  bool Send(HttpRequest request, Handler handler);

  // Limits the connections to each address, including idle ones. Requests above
  // the limit wait for a connection.
  void SetConnectionLimit(std::uint32_t limit);

  // Drops a request and closes its connection; its handler isn't called. Other
  // connections to the same address that already exist aren't reused.
  void Abort(std::uint64_t tag, const std::string& address);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder

#endif  // NET_HTTP_CLIENT_H_
