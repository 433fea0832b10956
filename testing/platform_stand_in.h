#ifndef TESTING_PLATFORM_STAND_IN_H_
#define TESTING_PLATFORM_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "testing/shared_http.h"

namespace limpetrudder::testbed {

// A small stand-in for the platform: a key-value service with compare-and-swap,
// leases and watches, and a list of instances and targets that lags. Faults are
// set over HTTP while it runs. docs/PROTOCOLS.md describes both.
class PlatformStandIn {
 public:
  PlatformStandIn(asio::io_context* context, const std::string& address);

  void Open() { http_.Open(); }

 private:
  using Json = nlohmann::json;

  struct Entry {
    std::uint64_t revision = 0;
    std::string value;
    std::uint64_t lease = 0;
  };

  struct Watch {
    std::string key;
    std::uint64_t after = 0;
    std::chrono::steady_clock::time_point until;
    Responder respond;
  };

  void OnRequest(ServerRequest request, Responder respond);
  void OnAdmin(const ServerRequest& request, const Responder& respond);
  void OnCall(const ServerRequest& request, Responder respond);
  ServerResponse Write(const Json& body, bool erase, Responder* respond);
  ServerResponse Lease(const std::string& path, const Json& body);
  ServerResponse List();
  void Store(const std::string& key, std::string value, std::uint64_t lease);
  void WakeWatches(const std::string& key);
  void ScheduleTick();
  void Tick();

  asio::io_context* const context_;
  asio::steady_timer tick_;
  SharedHttp http_;
  std::map<std::string, Entry> entries_;
  std::list<Watch> watches_;
  struct ActiveLease {
    std::chrono::milliseconds ttl{0};
    std::chrono::steady_clock::time_point until;
  };
  std::map<std::uint64_t, ActiveLease> leases_;
  std::uint64_t next_lease_ = 1;
  std::uint64_t last_revision_ = 0;

  // What the list shows is as old as the lag.
  struct Listed {
    std::chrono::steady_clock::time_point at;
    Json list;
  };
  std::deque<Listed> lists_;
  std::chrono::milliseconds list_lag_{0};

  bool outage_ = false;
  std::chrono::milliseconds delay_{0};
  int lose_replies_ = 0;
  std::map<std::string, std::uint64_t> calls_;
  std::map<std::string, std::string> saved_;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_PLATFORM_STAND_IN_H_
