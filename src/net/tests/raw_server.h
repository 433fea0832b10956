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

// The first byte of a response after which the connection is closed or reset.
// This byte isn't sent.
inline constexpr char kCloseAfterResponse = '\x02';
inline constexpr char kResetAfterResponse = '\x03';

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
          std::string response = on_request_(++connection->requests);
          const char first = response.empty() ? '\0' : response.front();
          const bool reset =
              response == kResetConnection || first == kResetAfterResponse;
          if (first == kCloseAfterResponse || first == kResetAfterResponse)
            asio::write(connection->socket, asio::buffer(response.substr(1)));
          if (reset)
            connection->socket.set_option(asio::socket_base::linger(true, 0));
          if (response.empty() || reset || first == kCloseAfterResponse) {
            connection->socket.close();
            return;
          }
          asio::write(connection->socket, asio::buffer(response));
          connection->buffer.consume(connection->buffer.size());
          Read(connection);
        });
  }

  const Behaviour on_request_;
  asio::io_context context_{1};
  asio::ip::tcp::acceptor acceptor_;
  std::weak_ptr<Connection> last_connection_;
  std::atomic<int> requests_{0};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

inline std::string HttpOkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace limpetrudder

#endif  // NET_TESTS_RAW_SERVER_H_
