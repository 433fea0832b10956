#include "testing/soak/tcp_proxy.h"

#include <cstring>
#include <utility>

namespace limpetrudder::testbed {
namespace {

// Endless responses alternate between a head and a body that never ends.
constexpr char kUnfinishedHead[] = "HTTP/1.1 200 OK\r\nServer-Stamp: ";
constexpr char kFinishedHead[] = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n";

// Sent in turn before every kOddInterval-th response. Only a connection on
// which the server has echoed an id gets them.
constexpr std::array<std::string_view, 4> kOddBytes{
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nServer-Stamp: late\r\nContent-Length: 16\r\n\r\n"
    "zzzzzzzzzzzzzzzz",
    "HTTP/1.1 000 None\r\nServer-Stamp: none\r\nContent-Length: 0\r\n\r\n",
    "odd bytes\r\n\r\n",
};
constexpr std::size_t kOddInterval = 5;
constexpr std::string_view kResponseStart = "HTTP/1.1 ";
constexpr std::string_view kIdHeader = "\r\nRequest-Id: ";

}  // namespace

TcpProxy::TcpProxy(asio::io_context* context,
                   std::uint16_t port,
                   std::uint16_t target_port)
    : context_(context),
      endpoint_(asio::ip::address_v4::loopback(), port),
      target_port_(target_port),
      acceptor_(*context, endpoint_) {
  Accept();
}

void TcpProxy::Shut() {
  acceptor_.close();
  ResetAll();
}

void TcpProxy::Open() {
  acceptor_ = Tcp::acceptor(*context_, endpoint_);
  Accept();
}

void TcpProxy::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error,
                                Tcp::socket socket) {
    if (error)
      return;
    Accept();
    auto connection = std::make_shared<Connection>(std::move(socket), context_);
    if (!is_cut_)
      return Connect(connection);
    auto timer = std::make_shared<asio::steady_timer>(*context_);
    timer->expires_after(kCutDelay);
    timer->async_wait([this, connection, timer](const asio::error_code&) {
      connection->cut = IsCut(*connection);
      Connect(connection);
    });
  });
}

void TcpProxy::Connect(const ConnectionPtr& connection) {
  if (ModeOf(*connection) == ProxyMode::kRefuse)
    return Close(connection, /*reset=*/true);
  connections_.push_back(connection);
  connection->server.async_connect(
      Tcp::endpoint(asio::ip::address_v4::loopback(), target_port_),
      [this, connection](const asio::error_code& error) {
        if (error)
          return Close(connection, /*reset=*/true);
        ReadNext(connection, /*to_server=*/true);
        ReadNext(connection, /*to_server=*/false);
      });
}

void TcpProxy::ReadNext(const ConnectionPtr& connection, bool to_server) {
  auto& from = to_server ? connection->client : connection->server;
  auto& buffer =
      to_server ? connection->request_buffer : connection->response_buffer;
  from.async_read_some(asio::buffer(buffer), [this, connection, to_server](
                                                 const asio::error_code& error,
                                                 std::size_t size) {
    if (error)
      return Close(connection, error != asio::error::eof);
    const ProxyMode mode = ModeOf(*connection);
    const bool dropped = mode == ProxyMode::kSilent ||
                         (mode == ProxyMode::kOneWay && !to_server);
    if (dropped)
      return ReadNext(connection, to_server);
    if (mode == ProxyMode::kEndless && to_server)
      return SendEndlessResponse(connection);
    if (mode != ProxyMode::kDelay)
      return Forward(connection, to_server, size);
    auto timer = std::make_shared<asio::steady_timer>(*context_);
    timer->expires_after(kProxyDelay);
    timer->async_wait(
        [this, connection, to_server, size, timer](const asio::error_code&) {
          Forward(connection, to_server, size);
        });
  });
}

void TcpProxy::Forward(const ConnectionPtr& connection,
                       bool to_server,
                       std::size_t size) {
  auto& to = to_server ? connection->server : connection->client;
  auto& buffer =
      to_server ? connection->request_buffer : connection->response_buffer;
  const std::string_view odd =
      to_server ? std::string_view() : OddBytesBefore(connection.get(), size);
  const std::array<asio::const_buffer, 2> bytes{
      asio::buffer(odd.data(), odd.size()), asio::buffer(buffer.data(), size)};
  asio::async_write(to, bytes,
                    [this, connection, to_server](const asio::error_code& error,
                                                  std::size_t) {
                      if (error)
                        return Close(connection, /*reset=*/true);
                      if (connection->endless && !to_server)
                        return Forward(connection, to_server,
                                       connection->response_buffer.size());
                      ReadNext(connection, to_server);
                    });
}

std::string_view TcpProxy::OddBytesBefore(Connection* connection,
                                          std::size_t size) {
  const std::string_view bytes(connection->response_buffer.data(), size);
  if (!bytes.starts_with(kResponseStart))
    return {};
  const bool answered = connection->answered;
  connection->answered |= bytes.find(kIdHeader) != std::string_view::npos;
  if (!answered || ModeOf(*connection) != ProxyMode::kOddBytes ||
      ++odd_responses_ % kOddInterval != 0) {
    return {};
  }
  return kOddBytes[odd_responses_ / kOddInterval % kOddBytes.size()];
}

void TcpProxy::SendEndlessResponse(const ConnectionPtr& connection) {
  const char* head =
      ++endless_responses_ % 2 == 0 ? kUnfinishedHead : kFinishedHead;
  connection->endless = true;
  connection->response_buffer.fill('x');
  asio::async_write(
      connection->client, asio::buffer(head, std::strlen(head)),
      [this, connection](const asio::error_code& error, std::size_t) {
        if (error)
          return Close(connection, /*reset=*/true);
        Forward(connection, /*to_server=*/false,
                connection->response_buffer.size());
      });
}

void TcpProxy::Close(const ConnectionPtr& connection, bool reset) {
  asio::error_code ignored;
  for (Tcp::socket* socket : {&connection->client, &connection->server}) {
    if (reset)
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

void TcpProxy::ResetAll() {
  for (const auto& weak : std::exchange(connections_, {})) {
    if (const ConnectionPtr connection = weak.lock())
      Close(connection, /*reset=*/true);
  }
}

bool TcpProxy::IsCut(const Connection& connection) const {
  asio::error_code error;
  const auto client = connection.client.remote_endpoint(error);
  return is_cut_ && !error &&
         is_cut_(client.port(), acceptor_.local_endpoint().port());
}

void TcpProxy::CutClients(ClientFilter is_cut, ProxyMode mode, bool cuts_open) {
  is_cut_ = std::move(is_cut);
  cut_mode_ = mode;
  if (!cuts_open)
    return;
  for (const auto& weak : connections_) {
    const ConnectionPtr connection = weak.lock();
    if (!connection || !IsCut(*connection))
      continue;
    connection->cut = true;
    if (mode == ProxyMode::kRefuse)
      Close(connection, /*reset=*/true);
  }
}

void TcpProxy::ReconnectClients() {
  is_cut_ = nullptr;
  for (const auto& weak : connections_) {
    const ConnectionPtr connection = weak.lock();
    if (connection && connection->cut)
      Close(connection, /*reset=*/true);
  }
}

}  // namespace limpetrudder::testbed
