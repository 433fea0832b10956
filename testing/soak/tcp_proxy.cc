#include "testing/soak/tcp_proxy.h"

#include <cstring>
#include <utility>

namespace limpetrudder::testbed {
namespace {

// Of answers that never end: one in two never ends its head, the other its
// body.
constexpr char kOpenHead[] = "HTTP/1.1 200 OK\r\nServer-Stamp: ";
constexpr char kClosedHead[] = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n";

}  // namespace

TcpProxy::TcpProxy(asio::io_context* context,
                   std::uint16_t port,
                   std::uint16_t target_port)
    : context_(context),
      target_port_(target_port),
      acceptor_(*context,
                Tcp::endpoint(asio::ip::address_v4::loopback(), port)) {
  Accept();
}

void TcpProxy::Accept() {
  acceptor_.async_accept(
      [this](const asio::error_code& error, Tcp::socket socket) {
        if (error)
          return;
        Accept();
        auto link = std::make_shared<Link>(std::move(socket), context_);
        if (mode_ == ProxyMode::kRefuse)
          return Close(link, /*reset=*/true);
        links_.push_back(link);
        link->far.async_connect(
            Tcp::endpoint(asio::ip::address_v4::loopback(), target_port_),
            [this, link](const asio::error_code& connect_error) {
              if (connect_error)
                return Close(link, /*reset=*/true);
              Pump(link, /*up=*/true);
              Pump(link, /*up=*/false);
            });
      });
}

void TcpProxy::Pump(const LinkPtr& link, bool up) {
  auto& from = up ? link->near : link->far;
  auto& buffer = up ? link->up : link->down;
  from.async_read_some(asio::buffer(buffer), [this, link, up](
                                                 const asio::error_code& error,
                                                 std::size_t size) {
    if (error)
      return Close(link, error != asio::error::eof);
    const bool dropped =
        mode_ == ProxyMode::kSilent || (mode_ == ProxyMode::kOneWay && !up);
    if (dropped)
      return Pump(link, up);
    if (mode_ == ProxyMode::kEndless && up)
      return AnswerEndlessly(link);
    if (mode_ != ProxyMode::kDelay)
      return Pass(link, up, size);
    auto timer = std::make_shared<asio::steady_timer>(*context_);
    timer->expires_after(kProxyDelay);
    timer->async_wait([this, link, up, size, timer](const asio::error_code&) {
      Pass(link, up, size);
    });
  });
}

void TcpProxy::Pass(const LinkPtr& link, bool up, std::size_t size) {
  auto& to = up ? link->far : link->near;
  auto& buffer = up ? link->up : link->down;
  asio::async_write(
      to, asio::buffer(buffer.data(), size),
      [this, link, up](const asio::error_code& error, std::size_t) {
        if (error)
          return Close(link, /*reset=*/true);
        if (link->endless && !up)
          return Pass(link, up, link->down.size());
        Pump(link, up);
      });
}

void TcpProxy::AnswerEndlessly(const LinkPtr& link) {
  const char* head = ++endless_ % 2 == 0 ? kOpenHead : kClosedHead;
  link->endless = true;
  link->down.fill('x');
  asio::async_write(link->near, asio::buffer(head, std::strlen(head)),
                    [this, link](const asio::error_code& error, std::size_t) {
                      if (error)
                        return Close(link, /*reset=*/true);
                      Pass(link, /*up=*/false, link->down.size());
                    });
}

void TcpProxy::Close(const LinkPtr& link, bool reset) {
  asio::error_code ignored;
  for (Tcp::socket* socket : {&link->near, &link->far}) {
    if (reset)
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

void TcpProxy::ResetAll() {
  for (const auto& weak : std::exchange(links_, {})) {
    if (const LinkPtr link = weak.lock())
      Close(link, /*reset=*/true);
  }
}

}  // namespace limpetrudder::testbed
