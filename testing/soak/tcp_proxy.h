#ifndef TESTING_SOAK_TCP_PROXY_H_
#define TESTING_SOAK_TCP_PROXY_H_

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

#include "framework/enum_names.h"
#include "framework/time.h"

namespace limpetrudder::testbed {

// What a proxy does to the connections through it.
enum class ProxyMode {
  kPass,
  kDelay,    // Each piece waits kProxyDelay.
  kSilent,   // Nothing passes; connections stay open.
  kOneWay,   // Requests pass, answers don't.
  kRefuse,   // New connections are closed at once.
  kEndless,  // Requests get an answer that never ends.
};

inline constexpr EnumNames<ProxyMode, 6> kProxyModeNames{{
    {ProxyMode::kPass, "pass"},
    {ProxyMode::kDelay, "delay"},
    {ProxyMode::kSilent, "silent"},
    {ProxyMode::kOneWay, "one_way"},
    {ProxyMode::kRefuse, "refuse"},
    {ProxyMode::kEndless, "endless"},
}};

inline constexpr Duration kProxyDelay = Millis(120);

// A loopback proxy that harms what passes through it. Runs on the thread of its
// io_context.
class TcpProxy {
 public:
  TcpProxy(asio::io_context* context,
           std::uint16_t port,
           std::uint16_t target_port);

  void SetMode(ProxyMode mode) { mode_ = mode; }
  // Resets the connections that are open.
  void ResetAll();

 private:
  using Tcp = asio::ip::tcp;

  struct Link {
    Link(Tcp::socket near_end, asio::io_context* context)
        : near(std::move(near_end)), far(*context) {}
    Tcp::socket near;
    Tcp::socket far;
    std::array<char, 16384> up{};
    std::array<char, 16384> down{};
    bool endless = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void Accept();
  void Pump(const LinkPtr& link, bool up);
  void Pass(const LinkPtr& link, bool up, std::size_t size);
  void AnswerEndlessly(const LinkPtr& link);
  static void Close(const LinkPtr& link, bool reset);

  asio::io_context* const context_;
  const std::uint16_t target_port_;
  Tcp::acceptor acceptor_;
  ProxyMode mode_ = ProxyMode::kPass;
  int endless_ = 0;  // Answers that never end.
  std::vector<std::weak_ptr<Link>> links_;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_SOAK_TCP_PROXY_H_
