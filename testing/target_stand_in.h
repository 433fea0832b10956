#ifndef TESTING_TARGET_STAND_IN_H_
#define TESTING_TARGET_STAND_IN_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "framework/random.h"
#include "testing/stand_in_http_server.h"

namespace limpetrudder::testbed {

struct CatalogueItem {
  std::string id;
  std::string title;
};

// How one stand-in server behaves; most fields can be changed while it runs.
struct TargetBehaviour {
  int slots = 2;
  int connections = 25;
  double connect_cost_ms = 5;
  double service_ms = 10;      // Mean.
  double service_sigma = 0.4;  // Of the log-normal distribution.
  double straggler_share = 0.01;
  double straggler_factor = 8;
  double slow_factor = 1;  // Applies to all requests.
  int queue = 200;         // Requests beyond it are shed.
  int cold_requests = 0;   // Next requests that take cold_factor as long.
  double cold_factor = 4;
  int health_lag_ms = 0;
  int advance_ms = 0;      // Interval between index versions.
  int advance_lag_ms = 0;  // Delay behind other servers.
  std::uint64_t map_epoch = 1;
  bool draining = false;
  bool frozen = false;
  bool crossed = false;  // Responses name the previous attempt.
  std::string redirect;  // Non-empty: writes get status 307.
};

// A small stand-in for one target: a queue of requests and slots that execute
// them, a service time, index versions, and the faults that the tests need.
class TargetStandIn {
 public:
  TargetStandIn(asio::io_context* context,
                std::string name,
                const std::string& address,
                std::string shard,
                TargetBehaviour behaviour,
                std::vector<CatalogueItem> items,
                std::uint64_t seed);

  void Open() { http_.Open(); }

  // Applies the fields of `json` to the behaviour; also "dead" (closes the
  // port), and "silence_share" (requests on that share of the connections seen
  // so far are ignored from now on).
  void Change(const nlohmann::json& json);

  nlohmann::json Counters() const;
  const std::string& name() const { return name_; }

 private:
  using Json = nlohmann::json;

  struct Job {
    std::string attempt;
    Json request;
    Responder respond;
    bool write = false;
    bool running = false;
    std::shared_ptr<asio::steady_timer> timer;
  };

  struct PastReport {
    std::chrono::steady_clock::time_point at;
    Json report;
  };

  void OnRequest(ServerRequest request, Responder respond);
  void HandleWork(const ServerRequest& request, Responder respond, bool write);
  void OnCancel(const Json& body, const Responder& respond);
  void StartJobs();
  void Run(const std::shared_ptr<Job>& job);
  void FinishJob(const std::shared_ptr<Job>& job);
  void Respond(const Responder& respond, int status, Json body);
  Json SearchResponse(const Job& job);
  Json Report();
  Json LaggedReport();
  Json HeldSnapshots() const;
  std::uint64_t NewestVersion() const;
  double SampleServiceMs();
  bool IsSilent(std::uint64_t connection) const;

  asio::io_context* const context_;
  const std::string name_;
  const std::string shard_;
  TargetBehaviour behaviour_;
  const std::vector<CatalogueItem> items_;
  Random random_;
  StandInHttpServer http_;
  std::deque<std::shared_ptr<Job>> waiting_;
  std::vector<std::shared_ptr<Job>> running_;
  std::set<std::uint64_t> seen_connections_;
  std::set<std::uint64_t> silent_connections_;
  std::vector<std::pair<ServerRequest, Responder>> frozen_requests_;
  std::deque<PastReport> reports_;
  std::string last_attempt_;
  std::map<std::string, int> runs_by_key_;  // Executions of each key.
  std::map<std::string, std::uint64_t> counters_;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_TARGET_STAND_IN_H_
