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
#include "testing/shared_http.h"

namespace limpetrudder::testbed {

struct CatalogueItem {
  std::string id;
  std::string title;
};

// How one stand-in server behaves; most of it can be changed while it runs.
struct TargetBehaviour {
  int slots = 2;
  int connections = 25;
  double connect_cost_ms = 5;
  double service_ms = 10;      // Mean.
  double service_sigma = 0.4;  // Of the log-normal distribution.
  double straggler_share = 0.01;
  double straggler_factor = 8;
  double slow_factor = 1;  // Of the whole server.
  int queue = 200;         // Beyond it, load is shed.
  int cold_requests = 0;   // How many take cold_factor as long.
  double cold_factor = 4;
  int health_lag_ms = 0;
  int advance_ms = 0;      // Time from one index version to the next.
  int advance_lag_ms = 0;  // How much later than others.
  std::uint64_t map_epoch = 1;
  bool draining = false;
  bool frozen = false;
  bool crossed = false;  // Answers name the attempt before.
  std::string redirect;  // Writes are answered by a redirect to here.
};

// A small stand-in for one target: slots with a queue before them, a service
// time, index versions, and the faults that the tests need.
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
  // port), and "silence_share" (that share of the connections open now carries
  // nothing any more).
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
  void Accept(const ServerRequest& request, Responder respond, bool write);
  void OnCancel(const Json& body, const Responder& respond);
  void StartJobs();
  void Run(const std::shared_ptr<Job>& job);
  void FinishJob(const std::shared_ptr<Job>& job);
  void Answer(const Responder& respond, int status, Json body);
  Json SearchAnswer(const Job& job);
  Json Report();
  Json LaggedReport();
  Json Held() const;
  std::uint64_t NewestVersion() const;
  double SampleServiceMs();
  bool IsSilent(std::uint64_t connection) const;

  asio::io_context* const context_;
  const std::string name_;
  const std::string shard_;
  TargetBehaviour behaviour_;
  const std::vector<CatalogueItem> items_;
  Random random_;
  SharedHttp http_;
  const std::chrono::steady_clock::time_point born_;
  std::deque<std::shared_ptr<Job>> waiting_;
  std::vector<std::shared_ptr<Job>> running_;
  std::set<std::uint64_t> seen_connections_;
  std::set<std::uint64_t> silent_connections_;
  std::vector<std::pair<ServerRequest, Responder>> held_back_;
  std::deque<PastReport> reports_;
  std::string last_attempt_;
  std::map<std::string, int> writes_;  // How often each key ran.
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_TARGET_STAND_IN_H_
