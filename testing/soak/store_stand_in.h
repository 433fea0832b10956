#ifndef TESTING_SOAK_STORE_STAND_IN_H_
#define TESTING_SOAK_STORE_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "framework/time.h"
#include "net/http_server.h"

namespace limpetrudder::testbed {

// A small stand-in for the platform's store: items under keys with one revision
// counter, changes since a revision, transactions, leases. Runs on the thread
// of its io_context.
class StoreStandIn {
 public:
  StoreStandIn(asio::io_context* context, std::uint16_t port);

  void Put(const std::string& key, const std::string& value);
  void Erase(const std::string& key);

  // Faults.
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  // Does as it is told, but the answer is lost.
  void SetLosing(bool losing) { losing_ = losing; }
  void ForgetHistory();
  // Comes back from a copy that is at least `age` old, if there is one; its era
  // rises, and what was written since, leases too, is gone.
  void Restore(Duration age);
  // Keeps a copy, and the last ones before it.
  void KeepCopy();

  std::uint64_t calls() const { return calls_; }

 private:
  using Json = nlohmann::json;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };

  void OnRequest(const ServerRequest& request, const Responder& respond);
  ServerResponse Answer(const ServerRequest& request);
  ServerResponse List(const ServerRequest& request) const;
  ServerResponse Changes(const ServerRequest& request) const;
  ServerResponse Commit(const Json& body);
  ServerResponse Grant(const Json& body);
  ServerResponse Renew(std::uint64_t lease);
  void EndLease(std::uint64_t lease);
  void Write(const std::string& key, std::string value, std::uint64_t lease);
  void ExpireLeases();

  struct Lease {
    Duration ttl{0};
    Time until{};
  };

  // What a copy holds.
  struct State {
    Time at{};
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t next_lease = 1;
  };

  HttpServer http_;
  State state_;
  std::deque<State> copies_;
  std::deque<Json> history_;
  std::uint64_t floor_ = 1;
  std::uint64_t era_ = 1;
  std::uint64_t calls_ = 0;
  bool refusing_ = false;
  bool losing_ = false;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_SOAK_STORE_STAND_IN_H_
