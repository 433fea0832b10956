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
  std::uint64_t tag = 0;  // Names the request for Abort(); must be unique.
  std::string method = "GET";
  std::string address;  // "IP:PORT".
  std::string path;     // Begins with '/'.
  std::vector<std::string> headers;
  std::string body;
  Duration timeout{0};
  // The header whose value is wanted with the answer, if any.
  std::string wanted_header;
  // An answer with a longer body or head is given up and its connection closed.
  std::size_t max_body_bytes = kMaxBodyBytes;
  // Open a connection for this request, and close it afterwards. libcurl sends
  // a request again if a reused connection turns out dead, so work that must
  // run once needs this.
  bool own_connection = false;
  // Called right before the first byte is sent; false gives the request up.
  std::function<bool()> may_send;
};

enum class TransferStatus {
  kAnswered,
  kConnectFailed,  // Nothing was sent.
  kNotSent,        // may_send() said no.
  kFailed,         // The connection broke after something may have been sent.
  kTimedOut,       // No whole answer in time, though something was sent.
  kTooLarge,       // The answer went on beyond its limit.
};

struct HttpResponse {
  std::uint64_t tag = 0;
  TransferStatus status = TransferStatus::kFailed;
  int http_status = 0;  // For kAnswered.
  // Of the header that was wanted; nothing: the answer doesn't have it.
  std::optional<std::string> header;
  std::string body;
};

// Makes HTTP/1.1 requests on one thread of its own, over kept connections.
// Follows no redirect and uses no proxy. All methods are thread safe.
class HttpClient {
 public:
  // Called on the client's thread, once for each request that wasn't aborted.
  using Handler = std::function<void(HttpResponse)>;

  // At most `capacity` requests wait to be taken up.
  explicit HttpClient(std::size_t capacity);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Start();
  void Stop();

  // Queues a request, or returns false if the queue is full.
  bool Send(HttpRequest request, Handler handler);

  // Bounds the connections to any one address, idle ones included; requests
  // beyond it wait.
  void SetConnectionLimit(std::uint32_t limit);

  // Drops a request and closes its connection; its handler isn't called. Other
  // connections to the same address that are as old aren't used again.
  void Abort(std::uint64_t tag, const std::string& address);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder

#endif  // NET_HTTP_CLIENT_H_
