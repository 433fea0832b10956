#ifndef NET_TESTS_POOL_FIXTURE_H_
#define NET_TESTS_POOL_FIXTURE_H_

#include <chrono>
#include <deque>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <asio.hpp>

#include "net/target_pool.h"

namespace limpetrudder {

// A pool on the test's thread, and the responses that it returned.
class PoolFixture {
 public:
  PoolFixture()
      : pool_(&context_, {"Echo-Id"}, [this](PoolResponse response) {
          responses_.push_back(std::move(response));
        }) {}

  PoolResponse Ask(const std::string& address,
                   const std::string& echo = "id",
                   bool fresh = false) {
    pool_.Send(MakeRequest(address, echo, fresh));
    return Next();
  }

  PoolRequest MakeRequest(const std::string& address,
                          const std::string& echo,
                          bool fresh) {
    PoolRequest request;
    request.id = next_++;
    request.server = "server";
    request.address = address;
    request.bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    request.echo = echo;
    request.fresh_connection = fresh;
    return request;
  }

  PoolResponse Next() {
    Run([this] { return !responses_.empty(); });
    REQUIRE_FALSE(responses_.empty());
    PoolResponse response = std::move(responses_.front());
    responses_.pop_front();
    return response;
  }

  template <typename Condition>
  void Run(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_for(std::chrono::milliseconds(5));
    }
  }

  TargetPool& pool() { return pool_; }
  bool has_response() const { return !responses_.empty(); }

 private:
  asio::io_context context_{1};
  std::deque<PoolResponse> responses_;
  TargetPool pool_;
  std::uint64_t next_ = 1;
};

inline std::string BuildResponse(const std::string& body,
                                 const std::string& extra_headers = "") {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + extra_headers + "\r\n" + body;
}

}  // namespace limpetrudder

#endif  // NET_TESTS_POOL_FIXTURE_H_
