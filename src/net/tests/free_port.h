#ifndef NET_TESTS_FREE_PORT_H_
#define NET_TESTS_FREE_PORT_H_

#include <cstdint>

#include <asio.hpp>

namespace limpetrudder {

// Returns a port of the loopback address that is free at the moment.
inline std::uint16_t FreePort() {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(
      context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint().port();
}

}  // namespace limpetrudder

#endif  // NET_TESTS_FREE_PORT_H_
