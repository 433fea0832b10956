#ifndef TESTING_PLATFORM_STAND_IN_H_
#define TESTING_PLATFORM_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "testing/stand_in_http_server.h"

namespace limpetrudder::testbed {

// A small stand-in for the platform: a key-value service with compare-and-swap,
// leases and watches, and a list of instances and targets that may be outdated.
// Faults are set over HTTP while it runs. docs/PROTOCOLS.md describes both.
class PlatformStandIn {
 public:
  PlatformStandIn(asio::io_context* context, const std::string& address);

  void Open() { http_.Open(); }

 private:
  using Json = nlohmann::json;

  struct Item {
    std::uint64_t revision = 0;
    std::string value;
    std::uint64_t lease = 0;
  };

  struct Watch {
    std::string key;
    std::uint64_t after = 0;
    std::chrono::steady_clock::time_point expiry;
    Responder respond;
  };

  void OnRequest(ServerRequest request, Responder respond);
  void OnAdmin(const ServerRequest& request, const Responder& respond);
  void HandleCall(const ServerRequest& request, Responder respond);
  ServerResponse Write(const Json& body, bool erase, Responder* respond);
  ServerResponse GrantOrRenewLease(const std::string& path, const Json& body);
  ServerResponse VisibleList();
  void Put(const std::string& key, std::string value, std::uint64_t lease);
  void NotifyWatches(const std::string& key);
  void ScheduleExpiry();
  void ExpireWatchesAndLeases();

  asio::io_context* const context_;
  asio::steady_timer expiry_timer_;
  StandInHttpServer http_;
  std::map<std::string, Item> items_;
  std::list<Watch> watches_;
  struct ActiveLease {
    std::chrono::milliseconds ttl{0};
    std::chrono::steady_clock::time_point expiry;
  };
  std::map<std::uint64_t, ActiveLease> leases_;
  std::uint64_t next_lease_ = 1;
  std::uint64_t last_revision_ = 0;

  // A version of the list. Readers see the one that was current list_lag_ ago.
  struct ListVersion {
    std::chrono::steady_clock::time_point at;
    Json list;
  };
  std::deque<ListVersion> list_versions_;
  std::chrono::milliseconds list_lag_{0};

  bool outage_ = false;
  std::chrono::milliseconds delay_{0};
  int lose_replies_ = 0;
  std::map<std::string, std::uint64_t> calls_;
  std::map<std::string, std::string> saved_values_;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_PLATFORM_STAND_IN_H_
