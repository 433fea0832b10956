#ifndef NET_TESTS_RAW_SERVER_H_
#define NET_TESTS_RAW_SERVER_H_

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <asio.hpp>

namespace limpetrudder {

// Returned by a behaviour to reset the connection without a response.
inline constexpr char kResetConnection[] = "\x01reset";

// The first byte of a response after which the connection ends. This byte isn't
// sent.
inline constexpr char kCloseAfterResponse = '\x02';
inline constexpr char kResetAfterResponse = '\x03';
// Closes the server's side only and reads nothing more.
inline constexpr char kShutDownAfterResponse = '\x04';
// As kShutDownAfterResponse, followed by a reset.
inline constexpr char kShutDownAndResetAfterResponse = '\x05';

// A TCP server with scripted behaviour. `on_request` gets the number of the
// request on its connection, counted from 1, and returns the bytes to send. An
// empty string closes the connection without a response.
class RawServer {
 public:
  using Behaviour = std::function<std::string(int request_on_connection)>;

  explicit RawServer(Behaviour on_request)
      : on_request_(std::move(on_request)),
        acceptor_(
            context_,
            asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~RawServer() {
    context_.stop();
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  // Sends bytes that no request asked for on the connection opened last.
  // Returns once they are sent.
  void SendUnasked(const std::string& bytes) {
    std::promise<void> sent;
    asio::post(context_, [&] {
      if (const auto connection = last_connection_.lock())
        asio::write(connection->socket, asio::buffer(bytes));
      sent.set_value();
    });
    sent.get_future().wait();
  }

  int requests() const { return requests_; }
  int connections() const { return connections_; }
  // How many connections were closed, reset or shut down.
  int ended_connections() const { return ended_connections_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket open) : socket(std::move(open)) {}
    asio::ip::tcp::socket socket;
    asio::streambuf buffer;
    int requests = 0;
  };

  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error,
                                  asio::ip::tcp::socket socket) {
      if (error)
        return;
      ++connections_;
      const auto connection = std::make_shared<Connection>(std::move(socket));
      last_connection_ = connection;
      Read(connection);
      Accept();
    });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    asio::async_read_until(
        connection->socket, connection->buffer, "\r\n\r\n",
        [this, connection](const asio::error_code& error, std::size_t bytes) {
          if (error)
            return;
          connection->buffer.consume(bytes);
          ++requests_;
          const std::string response = on_request_(++connection->requests);
          if (IsLast(response)) {
            SendLast(connection, response);
            return;
          }
          asio::write(connection->socket, asio::buffer(response));
          connection->buffer.consume(connection->buffer.size());
          Read(connection);
        });
  }

  static bool IsLast(const std::string& response) {
    return response.empty() || response == kResetConnection ||
           (response.front() >= kCloseAfterResponse &&
            response.front() <= kShutDownAndResetAfterResponse);
  }

  // Sends what is behind the first byte of `response`, and ends the connection.
  void SendLast(const std::shared_ptr<Connection>& connection,
                const std::string& response) {
    asio::ip::tcp::socket& socket = connection->socket;
    const char first =
        response.empty() ? kCloseAfterResponse : response.front();
    if (response != kResetConnection && !response.empty())
      asio::write(socket, asio::buffer(response.substr(1)));
    const bool shuts_down = first == kShutDownAfterResponse ||
                            first == kShutDownAndResetAfterResponse;
    if (shuts_down)
      socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    if (first == kShutDownAfterResponse) {
      half_closed_ = connection;
    } else {
      if (first != kCloseAfterResponse)
        socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
    }
    ++ended_connections_;
  }

  const Behaviour on_request_;
  asio::io_context context_{1};
  asio::ip::tcp::acceptor acceptor_;
  std::weak_ptr<Connection> last_connection_;
  std::shared_ptr<Connection> half_closed_;  // Kept open.
  std::atomic<int> requests_{0};
  std::atomic<int> connections_{0};
  std::atomic<int> ended_connections_{0};
  std::thread thread_;
};

inline std::string HttpOkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace limpetrudder

#endif  // NET_TESTS_RAW_SERVER_H_
