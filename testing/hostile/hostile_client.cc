#include "testing/hostile/hostile_client.h"

#include <utility>

namespace limpetrudder::testbed {

HostileClient::HostileClient(asio::io_context* context,
                             std::uint16_t port,
                             ClientScript script,
                             bool reads_responses)
    : socket_(*context),
      port_(port),
      script_(std::move(script)),
      reads_responses_(reads_responses) {}

void HostileClient::Start() {
  socket_.async_connect(
      {asio::ip::address_v4::loopback(), port_},
      [self = shared_from_this()](const asio::error_code& error) {
        if (error) {
          self->done_ = true;
          return;
        }
        self->SendNextStep();
        if (self->reads_responses_)
          self->Receive();
      });
}

void HostileClient::Close() {
  asio::error_code ignored;
  socket_.close(ignored);
  done_ = true;
}

void HostileClient::SendNextStep() {
  sending_ = script_(step_++);
  if (sending_.empty()) {
    done_ = true;
    return;
  }
  asio::async_write(
      socket_, asio::buffer(sending_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
        if (error)
          self->done_ = true;
        else
          self->SendNextStep();
      });
}

void HostileClient::Receive() {
  socket_.async_read_some(
      asio::buffer(received_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
        // NOTE The socket stays open after the other side has closed; this
        // crowd never closes first.
        if (error) {
          self->done_ = true;
          return;
        }
        self->was_answered_ = true;
        self->Receive();
      });
}

}  // namespace limpetrudder::testbed
