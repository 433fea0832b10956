#include "app/internal/http_call.h"

#include <future>

namespace limpetrudder {

HttpResponse CallAndWait(const HttpCall& call) {
  HttpClient client(1);
  client.Start();
  HttpRequest request;
  request.tag = 1;
  request.method = call.method;
  request.address = call.address;
  request.path = call.path;
  request.body = call.body;
  request.timeout = call.timeout;
  // NOTE A command must be sent only once. libcurl resends a request by itself
  // if a reused connection turns out to be dead.
  request.own_connection = true;
  if (!call.token.empty())
    request.headers.push_back("Authorization: Bearer " + call.token);
  std::promise<HttpResponse> response_promise;
  client.Send(std::move(request), [&](HttpResponse response) {
    response_promise.set_value(std::move(response));
  });
  HttpResponse response = response_promise.get_future().get();
  client.Stop();
  return response;
}

}  // namespace limpetrudder
