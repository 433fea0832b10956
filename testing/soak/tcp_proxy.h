#ifndef TESTING_SOAK_TCP_PROXY_H_
#define TESTING_SOAK_TCP_PROXY_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <asio.hpp>

#include "framework/enum_names.h"
#include "framework/time.h"

namespace limpetrudder::testbed {

// The network faults that a proxy can simulate.
enum class ProxyMode {
  kPass,
  kDelay,    // Each chunk is delayed by kProxyDelay.
  kSilent,   // Drops all data; connections stay open.
  kOneWay,   // Forwards requests and drops responses.
  kRefuse,   // Resets new connections at once.
  kEndless,  // Responds to requests with a response that never ends.
  // Some responses follow bytes that answer no request: late responses without
  // an id, one without a valid status, or text.
  kOddBytes,
};

inline constexpr EnumNames<ProxyMode, 7> kProxyModeNames{{
    {ProxyMode::kPass, "pass"},
    {ProxyMode::kDelay, "delay"},
    {ProxyMode::kSilent, "silent"},
    {ProxyMode::kOneWay, "one_way"},
    {ProxyMode::kRefuse, "refuse"},
    {ProxyMode::kEndless, "endless"},
    {ProxyMode::kOddBytes, "odd_bytes"},
}};

inline constexpr Duration kProxyDelay = Millis(120);
inline constexpr Duration kCutDelay = Millis(80);

// A loopback TCP proxy that injects network faults. Runs on the thread of its
// io_context.
class TcpProxy {
 public:
  TcpProxy(asio::io_context* context,
           std::uint16_t port,
           std::uint16_t target_port);

  void SetMode(ProxyMode mode) { mode_ = mode; }
  // Resets all open connections.
  void ResetAll();

  // As if the server's process had ended: resets all open connections, and new
  // ones are refused until Open().
  void Shut();
  void Open();

  // Separates the clients that `is_cut` tells by their ports and the proxy's:
  // their new connections get the mode `mode` and, if `cuts_open`, their open
  // ones too.
  // A new connection is judged after kCutDelay.
  using ClientFilter =
      std::function<bool(std::uint16_t client_port, std::uint16_t proxy_port)>;
  void CutClients(ClientFilter is_cut, ProxyMode mode, bool cuts_open);
  void ReconnectClients();

 private:
  using Tcp = asio::ip::tcp;

  struct Connection {
    Connection(Tcp::socket client_socket, asio::io_context* context)
        : client(std::move(client_socket)), server(*context) {}
    Tcp::socket client;
    Tcp::socket server;
    std::array<char, 16384> request_buffer{};
    std::array<char, 16384> response_buffer{};
    bool answered = false;  // Has forwarded a response that echoes an id.
    bool endless = false;
    bool cut = false;  // Has the mode `cut_mode_`.
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept();
  ProxyMode ModeOf(const Connection& connection) const {
    return connection.cut ? cut_mode_ : mode_;
  }
  bool IsCut(const Connection& connection) const;
  void Connect(const ConnectionPtr& connection);
  void ReadNext(const ConnectionPtr& connection, bool to_server);
  void Forward(const ConnectionPtr& connection,
               bool to_server,
               std::size_t size);
  // Returns the bytes to send before the next `size` bytes of a response.
  std::string_view OddBytesBefore(Connection* connection, std::size_t size);
  void SendEndlessResponse(const ConnectionPtr& connection);
  static void Close(const ConnectionPtr& connection, bool reset);

  asio::io_context* const context_;
  const Tcp::endpoint endpoint_;
  const std::uint16_t target_port_;
  Tcp::acceptor acceptor_;
  ProxyMode mode_ = ProxyMode::kPass;
  ClientFilter is_cut_;
  ProxyMode cut_mode_ = ProxyMode::kPass;
  int endless_responses_ = 0;      // Endless responses started so far.
  std::size_t odd_responses_ = 0;  // Responses in the mode kOddBytes so far.
  std::vector<std::weak_ptr<Connection>> connections_;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_SOAK_TCP_PROXY_H_
