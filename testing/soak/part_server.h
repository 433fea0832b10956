#ifndef TESTING_SOAK_PART_SERVER_H_
#define TESTING_SOAK_PART_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <asio.hpp>

#include "framework/random.h"
#include "framework/time.h"
#include "net/http_server.h"

namespace limpetrudder::testbed {

// How a stand-in server misbehaves.
enum class ServerFault {
  kNone,
  kSlow,     // Ten times as long.
  kRefuse,   // Says that it didn't run most requests.
  kFail,     // Runs requests and answers 500.
  kHang,     // Runs requests and answers nothing.
  kBackoff,  // Refuses all and asks to be left alone for kBackoffTime.
};

inline constexpr EnumNames<ServerFault, 6> kServerFaultNames{{
    {ServerFault::kNone, "none"},
    {ServerFault::kSlow, "slow"},
    {ServerFault::kRefuse, "refuse"},
    {ServerFault::kFail, "fail"},
    {ServerFault::kHang, "hang"},
    {ServerFault::kBackoff, "backoff"},
}};

// What all stand-in servers saw.
struct ServerLedger {
  std::map<std::string, int> runs;  // By request id.
  std::uint64_t arrivals = 0;
  std::uint64_t misdirected = 0;
  // Arrivals at servers that had said long before that they leave.
  std::uint64_t late_arrivals = 0;
  // Arrivals at servers that had asked all their callers to be left alone.
  std::uint64_t pressed_arrivals = 0;
};

// A small stand-in for one server that answers with a signature and records
// which follow from its service and the request, so that an answer can be
// checked. Runs on the thread of its io_context.
class PartServer {
 public:
  PartServer(asio::io_context* context,
             std::string id,
             std::string service,
             std::uint16_t port,
             ServerLedger* ledger,
             std::uint64_t seed);

  // The entry that it writes into the store.
  std::string Entry(std::uint64_t sequence) const;

  // `callers`: how many instances may learn of a backoff by one refusal each.
  void SetFault(ServerFault fault, int callers);
  void SetDraining(bool draining);
  bool draining() const { return draining_; }
  // Work for which new arrivals count as late, if it drains.
  void SetDrainBound(Time late_after) { late_after_ = late_after; }

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }

 private:
  void OnRequest(const ServerRequest& request, Responder respond);
  void CountBackoffArrival();

  asio::io_context* const context_;
  const std::string id_;
  const std::string service_;
  const std::uint16_t port_;
  ServerLedger* const ledger_;
  Random random_;
  ServerFault fault_ = ServerFault::kNone;
  bool draining_ = false;
  Time late_after_ = kNever;
  int running_ = 0;
  std::int64_t started_ms_ = 1;
  int callers_ = 0;
  Time backoff_began_{};
  int backoff_arrivals_ = 0;
  HttpServer http_;
};

// The records of a service's part for a request, and how a part is signed.
std::string PartRecords(const std::string& service,
                        const std::string& request_id);
std::string PartSignature(const std::string& service,
                          const std::string& request_id);

}  // namespace limpetrudder::testbed

#endif  // TESTING_SOAK_PART_SERVER_H_
