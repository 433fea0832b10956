#ifndef APP_INTERNAL_HTTP_CALL_H_
#define APP_INTERNAL_HTTP_CALL_H_

#include <string>

#include "net/http_client.h"

namespace limpetrudder {

struct HttpCall {
  std::string method = "GET";
  std::string address;  // "IP:PORT".
  std::string path;
  std::string token;
  std::string body;
  Duration timeout = Seconds(30);
};

// Sends one request and blocks until its response or the timeout. Thread safe.
HttpResponse CallAndWait(const HttpCall& call);

}  // namespace limpetrudder

#endif  // APP_INTERNAL_HTTP_CALL_H_
