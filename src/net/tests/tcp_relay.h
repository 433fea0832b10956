#ifndef NET_TESTS_TCP_RELAY_H_
#define NET_TESTS_TCP_RELAY_H_

#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio.hpp>

namespace limpetrudder {

// A TCP proxy that forwards bytes between its own port and a target port and
// can cut the connections.
class TcpRelay {
 public:
  explicit TcpRelay(std::uint16_t target)
      : target_(asio::ip::make_address("127.0.0.1"), target),
        acceptor_(
            context_,
            asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~TcpRelay() {
    context_.stop();
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  // Closes all connections. New ones are still accepted.
  void Cut() {
    asio::post(context_, [this] {
      for (const auto& link : links_) {
        asio::error_code ignored;
        link->client.close(ignored);
        link->server.close(ignored);
      }
      links_.clear();
    });
  }

 private:
  using Socket = asio::ip::tcp::socket;
  using Buffer = std::array<char, 16384>;

  struct Link {
    Link(Socket open, asio::io_context* context)
        : client(std::move(open)), server(*context) {}
    Socket client;
    Socket server;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](const asio::error_code& error, Socket socket) {
          if (error)
            return;
          auto link = std::make_shared<Link>(std::move(socket), &context_);
          asio::error_code failed;
          link->server.connect(target_, failed);
          if (!failed) {
            links_.push_back(link);
            Forward(link, &link->client, &link->server);
            Forward(link, &link->server, &link->client);
          }
          Accept();
        });
  }

  void Forward(const std::shared_ptr<Link>& link, Socket* from, Socket* to) {
    auto buffer = std::make_shared<Buffer>();
    from->async_read_some(
        asio::buffer(*buffer),
        [this, link, from, to, buffer](const asio::error_code& error,
                                       std::size_t bytes) {
          asio::error_code failed = error;
          if (!failed)
            asio::write(*to, asio::buffer(buffer->data(), bytes), failed);
          if (!failed)
            return Forward(link, from, to);
          asio::error_code ignored;
          link->client.close(ignored);
          link->server.close(ignored);
        });
  }

  asio::io_context context_{1};
  const asio::ip::tcp::endpoint target_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Link>> links_;
  std::thread thread_;
};

}  // namespace limpetrudder

#endif  // NET_TESTS_TCP_RELAY_H_
