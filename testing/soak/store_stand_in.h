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

// A small stand-in for the platform's store: key-value items with one revision
// counter, changes since a revision, transactions and leases. Runs on the
// thread of its io_context.
class StoreStandIn {
 public:
  StoreStandIn(asio::io_context* context, std::uint16_t port);

  void Put(const std::string& key, const std::string& value);
  void Erase(const std::string& key);
  // Forgets the oldest changes while there are more than are kept.
  void TrimHistory();

  // Refuses every request with 503.
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  // Executes requests, but never responds.
  void SetLosingReplies(bool losing) { losing_replies_ = losing; }
  // Drops the change history: requests for changes since an older revision get
  // 410.
  void CompactHistory();
  // Restores the newest copy that is at least `age` old, else the oldest one;
  // does nothing without a copy. The era rises, and whatever was written since
  // the copy, leases too, is lost.
  void Restore(Duration age);
  // Saves a copy of the state; the last 30 copies are kept.
  void SaveCopy();

  std::uint64_t calls() const { return calls_; }

 private:
  using Json = nlohmann::json;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };

  void OnRequest(const ServerRequest& request, const Responder& respond);
  ServerResponse HandleRequest(const ServerRequest& request);
  ServerResponse List(const ServerRequest& request) const;
  ServerResponse Changes(const ServerRequest& request) const;
  ServerResponse Commit(const Json& body);
  ServerResponse Grant(const Json& body);
  ServerResponse Renew(std::uint64_t lease);
  void EndLease(std::uint64_t lease);
  void Record(Json change);
  void Write(const std::string& key, std::string value, std::uint64_t lease);
  void ExpireLeases();

  struct Lease {
    Duration ttl{0};
    Time expiry{};
  };

  // The state that SaveCopy saves.
  struct State {
    Time saved_at{};
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t next_lease = 1;
  };

  HttpServer http_;
  State state_;
  std::deque<State> copies_;
  std::deque<Json> history_;
  std::size_t history_bytes_ = 0;
  std::uint64_t compacted_revision_ = 1;
  std::uint64_t era_ = 1;
  std::uint64_t calls_ = 0;
  bool refusing_ = false;
  bool losing_replies_ = false;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_SOAK_STORE_STAND_IN_H_
