#ifndef TESTING_STAND_IN_HTTP_SERVER_H_
#define TESTING_STAND_IN_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio.hpp>

#include "net/http_server.h"

namespace limpetrudder::testbed {

// The HTTP server of a stand-in. Several may share one io_context; all methods
// and handlers run on its thread.
class StandInHttpServer {
 public:
  using Handler = std::function<void(ServerRequest, Responder)>;

  StandInHttpServer(asio::io_context* context,
                    const std::string& address,
                    Handler handler);
  ~StandInHttpServer();

  void Open();
  void Close();

  int connections() const;
  int max_connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_STAND_IN_HTTP_SERVER_H_
