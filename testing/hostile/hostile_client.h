#ifndef TESTING_HOSTILE_HOSTILE_CLIENT_H_
#define TESTING_HOSTILE_HOSTILE_CLIENT_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio.hpp>

namespace limpetrudder::testbed {

// Returns the bytes to send at a step, from 0 on; none when there are no more.
using ClientScript = std::function<std::string(int step)>;

// One connection of a crowd: sends the bytes of its script as fast as they are
// taken, then leaves the connection open. Not thread safe.
class HostileClient : public std::enable_shared_from_this<HostileClient> {
 public:
  HostileClient(asio::io_context* context,
                std::uint16_t port,
                ClientScript script,
                bool reads_responses);

  HostileClient(const HostileClient&) = delete;
  HostileClient& operator=(const HostileClient&) = delete;

  // Call once.
  void Start();
  void Close();

  // Whether everything was sent, or the other side has closed.
  bool done() const { return done_; }
  // Whether the other side has sent anything.
  bool was_answered() const { return was_answered_; }

 private:
  void SendNextStep();
  void Receive();

  asio::ip::tcp::socket socket_;
  const std::uint16_t port_;
  const ClientScript script_;
  const bool reads_responses_;
  int step_ = 0;
  std::string sending_;
  std::array<char, 4096> received_{};
  bool done_ = false;
  bool was_answered_ = false;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_HOSTILE_HOSTILE_CLIENT_H_
