#ifndef TESTING_SHARED_HTTP_H_
#define TESTING_SHARED_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio.hpp>

#include "net/http_server.h"

namespace limpetrudder::testbed {

// An HTTP port of a stand-in. Many share the thread of one io_context; all
// methods run there.
class SharedHttp {
 public:
  using Handler = std::function<void(ServerRequest, Responder)>;

  SharedHttp(asio::io_context* context,
             const std::string& address,
             Handler handler);
  ~SharedHttp();

  void Open();
  void Close();

  int connections() const;
  int most_connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_SHARED_HTTP_H_
