#ifndef NET_INTERNAL_SERVER_CONNECTION_H_
#define NET_INTERNAL_SERVER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>

#include "limits/connection_budget.h"
#include "net/http_server.h"
#include "net/internal/request_reader.h"

namespace limpetrudder::detail {

// One connection of a client to an HttpServer: reads one request at a time,
// gives it to the owner and sends its response. Reads on while a request is
// served, so that it notices when the client closes, but no further than its
// buffer. Reports what it does and holds to the owner. Used on the server's
// thread, except for the responders.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // Outlives the connection or detaches it. Its functions may close this and
  // other connections.
  class Owner {
   public:
    virtual RequestSizeLimits size_limits() const = 0;
    // Returns memory for bytes that nobody reads.
    virtual asio::mutable_buffer discard_buffer() = 0;
    virtual void OnPhase(std::uint64_t id, ConnectionPhase phase) = 0;
    virtual void OnProgress(std::uint64_t id, std::size_t bytes) = 0;
    // The memory that the connection holds has changed.
    virtual void OnBytes(std::uint64_t id, std::size_t bytes) = 0;
    virtual void OnRequest(ServerRequest request, Responder respond) = 0;
    virtual void OnClosed(std::uint64_t id, ConnectionEnd end) = 0;

   protected:
    ~Owner() = default;
  };

  ServerConnection(std::uint64_t id,
                   asio::ip::tcp::socket socket,
                   Owner* owner);

  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Call once.
  void Start();

  // Refuses the request that is being received, or closes if there is none.
  void Shed(ConnectionEnd end);
  // Closes at once. Idempotent.
  void Close(ConnectionEnd end);
  // Closes without a word to the owner.
  void Detach();

  // Whether bytes have arrived that weren't read yet.
  bool HasUnreadBytes() const;

 private:
  void Receive();
  // Reads on and forgets the bytes.
  void Discard();
  void OnReceived(const asio::error_code& error, std::size_t size);
  // Reads requests from the buffer, as far as they may be.
  void ReadBuffer();
  // `used`: bytes that the reader has just taken.
  void OnReaderState(std::size_t used);
  void ServeRequest();
  void Refuse(int status,
              ResultCode code,
              const std::string& message,
              ConnectionEnd end);
  void Respond(std::uint64_t request, ServerResponse response);
  void Send(ServerResponse response, bool is_head_request);
  void ContinueSending();
  void OnSent();
  void SetPhase(ConnectionPhase phase);
  void UpdateBytes();
  bool is_closed() const { return owner_ == nullptr; }

  const std::uint64_t id_;
  asio::ip::tcp::socket socket_;
  Owner* owner_;  // Null once closed.
  ConnectionPhase phase_ = ConnectionPhase::kIdle;
  RequestReader reader_;
  std::vector<char> buffer_;
  std::size_t buffer_begin_ = 0;  // The bytes that weren't parsed yet.
  std::size_t buffer_end_ = 0;
  bool receiving_ = false;
  bool reading_buffer_ = false;
  std::uint64_t request_ = 0;  // Number of the request that is served.
  bool is_head_request_ = false;
  bool keep_alive_ = true;
  bool is_http_1_0_ = false;
  std::size_t served_bytes_ = 0;  // Held by the request that is served.
  std::string sending_head_;
  std::string sending_body_;
  std::size_t sent_ = 0;
  ConnectionEnd end_after_sending_ = ConnectionEnd::kResponded;
};

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_SERVER_CONNECTION_H_
