// Compares the CPU time of a request through the pool of connections to servers
// with that through the libcurl client. Measures the whole process, which
// includes the server side; that is the same for both.

#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>

#include <asio.hpp>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/target_pool.h"

namespace limpetrudder::testbed {
namespace {

constexpr int kRequests = 40000;
constexpr std::size_t kConcurrency = 20;
constexpr std::uint16_t kPort = 47811;

double CpuMicros() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

const std::string kAddress = "127.0.0.1:" + std::to_string(kPort);

void RunPool() {
  asio::io_context context{1};
  int done = 0;
  int sent = 0;
  std::function<void()> send;
  TargetPool pool(&context, {"Request-Id"}, [&](const PoolResponse&) {
    if (++done == kRequests)
      context.stop();
    send();
  });
  send = [&] {
    if (sent == kRequests)
      return;
    PoolRequest request;
    request.id = static_cast<std::uint64_t>(++sent);
    request.server = "server";
    request.address = kAddress;
    request.bytes = "GET /x HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\n\r\n";
    pool.Send(std::move(request));
  };
  for (std::size_t i = 0; i < kConcurrency; ++i)
    send();
  context.run();
}

void RunCurl() {
  HttpClient client(kConcurrency * 2);
  client.Start();
  std::atomic<int> done{0};
  std::atomic<int> sent{0};
  std::function<void()> send = [&] {
    const int number = ++sent;
    if (number > kRequests)
      return;
    HttpRequest request;
    request.tag = static_cast<std::uint64_t>(number);
    request.address = kAddress;
    request.path = "/x";
    request.headers = {"Request-Id: a"};
    request.timeout = Seconds(5);
    client.Send(std::move(request), [&](const HttpResponse&) {
      ++done;
      send();
    });
  };
  for (std::size_t i = 0; i < kConcurrency; ++i)
    send();
  while (done < kRequests)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  client.Stop();
}

void Measure(const char* name, const std::function<void()>& run) {
  const double before = CpuMicros();
  run();
  std::printf("%s: %.1f us of processor a request, both sides\n", name,
              (CpuMicros() - before) / kRequests);
}

}  // namespace
}  // namespace limpetrudder::testbed

int main() {
  using namespace limpetrudder;
  HttpServer server(
      {"127.0.0.1", testbed::kPort},
      [](const ServerRequest&, const Responder& respond) {
        ServerResponse response;
        response.body = std::string(1000, 'x');
        respond(std::move(response));
      },
      nullptr);
  if (!server.Start())
    return 1;
  for (int round = 0; round < 3; ++round) {
    testbed::Measure("pool", testbed::RunPool);
    testbed::Measure("libcurl", testbed::RunCurl);
  }
  return 0;
}
