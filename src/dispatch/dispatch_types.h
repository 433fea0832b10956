#ifndef DISPATCH_DISPATCH_TYPES_H_
#define DISPATCH_DISPATCH_TYPES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "framework/enum_names.h"
#include "framework/result_code.h"
#include "framework/time.h"

namespace limpetrudder {

using CallId = std::uint64_t;     // One request of a caller.
using AttemptId = std::uint64_t;  // One request to a server.

struct HeaderField {
  std::string name;
  std::string value;
};

// A caller's request as it is passed on. Immutable, shared by all sends.
struct RequestMessage {
  std::string request_id;
  std::string method;
  std::string host;
  std::string target;  // Path and query.
  std::vector<HeaderField> headers;
  std::string body;
};

struct CallRequest {
  CallId id = 0;
  std::shared_ptr<const RequestMessage> message;
  Duration caller_timeout{0};  // 0: the caller names none.
  bool new_connection = false;
  bool forwarded = false;  // By another instance; never forwarded again.
  // Set if forwarded: the time in which an answer has its full worth, and the
  // version of the routes at the other instance.
  Duration target_left{0};
  std::uint64_t routes_version = 0;
  // Of a delegated call: the shards that are wanted, whatever the route names.
  // Its answer has a signature, perhaps empty, for each of them.
  std::vector<std::string> only_shards;
  // How many of them may be missing when the time for the target is up; with
  // more the answer waits, since the whole query would fail without them.
  std::uint32_t max_missing = 0;
  // Records of its answer; 0: as many as the route says.
  std::uint32_t top_records = 0;
};

// What a server says of its load beside an answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  double slowness = 1;  // How long work takes there now, against the usual.
};

// A process of a server that said in an answer that it is leaving.
struct LeavingServer {
  std::string id;
  std::int64_t started_ms = 0;  // Unix time of its start, as in its entry.
};

enum class AttemptOutcome {
  kAnswered,
  kNotSent,             // No connection; no byte of the request left.
  kBroken,              // It may have run; there is no whole answer.
  kConnectionRejected,  // As kBroken, by a reset of the connection just opened
                        // for it: a server takes so many connections, and no
                        // more.
  kTooLarge,  // As kBroken, by an answer that went on beyond its limit.
};

struct TargetReply {
  AttemptId attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kBroken;
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  bool not_executed = false;        // The server says that it didn't run it.
  bool misdirected = false;         // Another server has the address now.
  bool leaving = false;             // The server says that it is leaving.
  std::optional<Duration> backoff;  // It asks for no requests for so long.
  std::string signature;  // Names the run; empty if the server gave none.
  std::vector<std::string> part_signatures;  // From a home.
  std::uint32_t missing_parts = 0;           // From a home.
  std::vector<std::uint32_t> missing_runs;   // Of each, from a home.
  std::optional<Duration> retry_after;       // From a home.
  std::uint64_t newer_routes = 0;  // A home's version if it is newer than ours.
  std::vector<LeavingServer> leaving_servers;  // That a home heard of lately.
  // Queue delay at a home's servers, against the time that a query has to
  // spare.
  double queue_pressure = 0;
  std::optional<LoadReport> load;
  Duration connect_time{0};  // 0: the connection was open.
};

// A final answer to a caller.
struct CallReply {
  int status = 200;
  std::vector<HeaderField> headers;
  std::string body;
  std::vector<std::string> part_signatures;  // Of a merged answer.
  std::uint32_t missing_parts = 0;
  // Of a delegated call: servers that ran each missing part, or may have.
  std::vector<std::uint32_t> missing_runs;
  std::optional<Duration> retry_after;
  // This instance's version, if a forwarded call came under an older one.
  std::uint64_t newer_routes = 0;
  // Heard of lately, for the instance that forwarded the call.
  std::vector<LeavingServer> leaving_servers;
  double queue_pressure = 0;  // Likewise, of its route.
  bool from_server = false;   // Status, headers and body are a server's.
};

// A server's answer to a probe of its health.
struct ProbeReply {
  bool healthy = false;
  bool leaving = false;
  std::optional<Duration> backoff;
};

// Whether a forwarded call that ended with `code` was refused by the instance
// itself: nothing was sent, and the one that forwarded it gathers by itself.
constexpr bool IsForwardRefusal(ResultCode code) {
  return code == ResultCode::kNotReady || code == ResultCode::kRevisionTooLow ||
         code == ResultCode::kRoutesOutdated;
}

// What became of one shard, or of the one server asked, for the log.
struct SubQueryRecord {
  std::string service;
  std::string server;  // The last one asked.
  std::uint32_t attempts = 0;
  ResultCode code = ResultCode::kOk;
};

// Why a call ended as it did, for the log.
struct CallRecord {
  std::string request_id;
  std::string route;
  std::uint64_t routes_version = 0;
  int status = 0;
  ResultCode code = ResultCode::kOk;
  Duration took{0};
  bool forwarded = false;  // By another instance, whose caller it is.
  bool late = false;       // It took longer than its latency target here.
  std::uint32_t parts = 0;
  std::uint32_t parts_wanted = 0;
  std::string coordinator;  // That gathered the parts; empty: this instance.
  std::uint32_t delegated = 0;  // Parts asked of instances nearer to them.
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  std::uint32_t cross_region_attempts =
      0;                                  // Sends to servers of other regions.
  std::uint32_t cross_region_hedges = 0;  // Hedges among them.
  std::uint32_t rejections = 0;
  std::uint32_t budget_refusals = 0;  // Sends left out for want of budget.
  std::vector<SubQueryRecord> failed_sub_queries;
};

// What the engine asks its owner to do.

struct SendToServer {
  AttemptId attempt = 0;
  std::string server;
  std::string address;
  std::shared_ptr<const RequestMessage> message;
  Duration time_left{0};
  bool fresh_connection = false;   // Or one that was used a moment ago.
  std::size_t max_body_bytes = 0;  // Of the answer.
};

// Has another instance gather the parts of a query, or only those of `shards`.
struct ForwardCall {
  AttemptId attempt = 0;
  std::string coordinator;
  std::string address;
  std::shared_ptr<const RequestMessage> message;
  Duration time_left{0};
  Duration target_left{0};
  std::uint64_t routes_version = 0;
  std::vector<std::string> shards;
  std::uint32_t max_missing = 0;
  std::uint32_t top_records = 0;
};

// Another instance has newer routes; they are to be had from it at once.
struct FetchRoutes {
  std::string instance;
  std::uint64_t routes_version = 0;
};

struct AbortAttempt {
  AttemptId attempt = 0;
};

struct ProbeHealth {
  std::string server;
  std::string address;
  std::string path;
};

// Asks another instance whether it is alive.
struct PingInstance {
  std::string name;
  std::string address;
};

struct CompleteCall {
  CallId call = 0;
  CallReply reply;
  CallRecord record;
};

// The engine's belief about a server changed.
struct ServerStateChange {
  std::string server;
  std::string service;
  ResultCode reason = ResultCode::kOk;  // kOk: it takes work again.
  std::optional<Duration>
      since_last_response;  // Since its last answer, if any came.
  std::uint32_t in_flight = 0;
};

// A server asked to be left alone for a while, or that time is over.
struct BackoffChange {
  std::string server;
  std::string service;
  bool active = false;
  Duration backoff{0};
};

// Some queries of a shard set are refused from now on, or none are any more.
struct AdmissionChange {
  std::string shard;  // The set's first one.
  bool limited = false;
  double share = 1;     // Of the queries that are taken.
  double pressure = 0;  // Queue delay against the time to spare.
};

// The requests to a server are paced from now on, or aren't any more.
struct PacingChange {
  std::string server;
  std::string service;
  bool paced = false;
  double rate = 0;  // Requests a second of this instance.
  std::uint32_t in_flight = 0;
};

using DispatchAction = std::variant<SendToServer,
                                    ForwardCall,
                                    FetchRoutes,
                                    PingInstance,
                                    AbortAttempt,
                                    ProbeHealth,
                                    CompleteCall,
                                    ServerStateChange,
                                    BackoffChange,
                                    AdmissionChange,
                                    PacingChange>;

}  // namespace limpetrudder

#endif  // DISPATCH_DISPATCH_TYPES_H_
