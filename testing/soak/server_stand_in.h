#ifndef TESTING_SOAK_SERVER_STAND_IN_H_
#define TESTING_SOAK_SERVER_STAND_IN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <asio.hpp>

#include "framework/random.h"
#include "framework/time.h"
#include "net/http_server.h"

namespace limpetrudder::testbed {

// The faults that a stand-in server can simulate.
enum class ServerFault {
  kNone,
  kSlow,     // Takes ten times as long.
  kRefuse,   // Refuses 70% of the requests with 503 and Not-Executed.
  kFail,     // Executes requests and responds with 500.
  kHang,     // Executes requests and never responds.
  kBackoff,  // Refuses all requests with a Retry-After of kBackoffTime.
};

inline constexpr EnumNames<ServerFault, 6> kServerFaultNames{{
    {ServerFault::kNone, "none"},
    {ServerFault::kSlow, "slow"},
    {ServerFault::kRefuse, "refuse"},
    {ServerFault::kFail, "fail"},
    {ServerFault::kHang, "hang"},
    {ServerFault::kBackoff, "backoff"},
}};

// A request with this last part of its path crashes each server that runs it.
inline constexpr char kDeadlyPath[] = "deadly";

// Counts the requests that reached all stand-in servers together.
struct ServerCounters {
  // Executions by "REQUEST_ID@SERVICE".
  std::map<std::string, int> runs;
  std::uint64_t arrivals = 0;
  std::uint64_t misdirected = 0;  // Meant for another server.
  // Arrivals at draining servers after their drain deadline.
  std::uint64_t arrivals_after_drain = 0;
  // Arrivals at servers in backoff beyond those that each instance may send
  // before it learns of the backoff.
  std::uint64_t arrivals_during_backoff = 0;
  std::vector<Time> deadly_arrivals;  // Times of requests of death.
};

// A small stand-in for one server. Its signature and records are computed from
// its service and the request id, so that a response can be checked. Runs on
// the thread of its io_context.
class ServerStandIn {
 public:
  // Listens on `port`; instances are told `public_port`, that of its proxy.
  ServerStandIn(asio::io_context* context,
                std::string id,
                std::string service,
                std::uint16_t port,
                std::uint16_t public_port,
                ServerCounters* counters,
                std::uint64_t seed);

  // The value that the server writes into the store under its key.
  std::string StoreValue(std::uint64_t sequence) const;

  // `instances`: how many instances have to learn of a backoff, each from a
  // refusal of its own.
  void SetFault(ServerFault fault, int instances);
  void SetDraining(bool draining);
  bool draining() const { return draining_; }
  // Sets the handler that is called when a request of death crashes the server.
  void SetCrashHandler(std::function<void()> handler) {
    on_crash_ = std::move(handler);
  }
  // The server is a new process from now on.
  void Restart() { ++start_time_ms_; }
  // Requests that arrive later than `deadline` while the server drains are
  // counted in arrivals_after_drain.
  void SetDrainDeadline(Time deadline) { drain_deadline_ = deadline; }

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }

 private:
  void OnRequest(const ServerRequest& request, Responder respond);
  void CountBackoffArrival();
  // Calls the crash handler a little later.
  void Crash();

  asio::io_context* const context_;
  const std::string id_;
  const std::string service_;
  const std::uint16_t public_port_;
  ServerCounters* const counters_;
  Random random_;
  ServerFault fault_ = ServerFault::kNone;
  bool draining_ = false;
  Time drain_deadline_ = kNever;
  int running_ = 0;
  std::int64_t start_time_ms_ = 1;
  int instances_ = 0;
  Time backoff_start_{};
  int backoff_arrivals_ = 0;
  std::function<void()> on_crash_;
  HttpServer http_;
};

// The records and the signature of the part with which a server of `service`
// responds to `request_id`.
std::string PartRecords(const std::string& service,
                        const std::string& request_id);
std::string PartSignature(const std::string& service,
                          const std::string& request_id);

}  // namespace limpetrudder::testbed

#endif  // TESTING_SOAK_SERVER_STAND_IN_H_
