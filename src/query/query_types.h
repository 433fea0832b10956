#ifndef QUERY_QUERY_TYPES_H_
#define QUERY_QUERY_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/config_types.h"
#include "framework/enum_names.h"
#include "framework/result_code.h"
#include "framework/time.h"
#include "routing/server_state.h"
#include "routing/snapshot.h"

namespace limpetrudder {

using QueryId = std::uint64_t;
using AttemptId = std::uint64_t;
using BatchId = std::uint64_t;

struct Hit {
  std::string id;
  std::string title;
  double score = 0;
};

// Whether servers executed the caller's request. A refusal reports kNotRun only
// if no server was sent any part of the request.
enum class Execution { kNotRun, kRun, kUnknown };

inline constexpr EnumNames<Execution, 3> kExecutionNames{{
    {Execution::kNotRun, "not_run"},
    {Execution::kRun, "run"},
    {Execution::kUnknown, "unknown"},
}};

struct SearchRequest {
  std::string request_id;
  std::string collection;
  std::string terms;
  std::uint32_t limit = 10;  // Maximum number of hits to return.
  std::string caller;
  CallerClass caller_class = CallerClass::kBrowse;
  Time deadline{};
  bool explain = false;
  // Non-empty if an instance in another data centre requests only these shards.
  std::vector<std::string> only_shards;
  Snapshot pinned;  // {0, 0}: the coordinator chooses the snapshot.
};

struct MissingShard {
  std::string shard;
  ResultCode reason = ResultCode::kOk;
};

struct Coverage {
  std::uint32_t shards_total = 0;
  std::uint32_t shards_answered = 0;
  std::vector<MissingShard> missing;

  bool complete() const { return shards_answered == shards_total; }
};

// The result of one shard; exchanged between data centres.
struct ShardAnswer {
  std::string shard;
  ResultCode code = ResultCode::kOk;
  Snapshot snapshot;
  Duration snapshot_age{0};
  std::vector<Snapshot> held;  // By the servers of the answering side.
  std::vector<Hit> hits;
};

// The kinds of decision that the engine records for a query.
enum class DecisionKind {
  kPinned,
  kSent,
  kQueued,
  kHedged,
  kHedgeLeftOut,
  kExplored,
  kRetried,
  kAnswered,
  kRefused,
  kSilent,
  kCancelled,
  kRepinned,
  kAskedDataCentre,
  kForwarded,
  kGaveUp,
  kTailCut,
};

inline constexpr EnumNames<DecisionKind, 16> kDecisionKindNames{{
    {DecisionKind::kPinned, "pinned"},
    {DecisionKind::kSent, "sent"},
    {DecisionKind::kQueued, "queued"},
    {DecisionKind::kHedged, "hedged"},
    {DecisionKind::kHedgeLeftOut, "hedge_left_out"},
    {DecisionKind::kExplored, "explored"},
    {DecisionKind::kRetried, "retried"},
    {DecisionKind::kAnswered, "answered"},
    {DecisionKind::kRefused, "refused"},
    {DecisionKind::kSilent, "silent"},
    {DecisionKind::kCancelled, "cancelled"},
    {DecisionKind::kRepinned, "repinned"},
    {DecisionKind::kAskedDataCentre, "asked_data_centre"},
    {DecisionKind::kForwarded, "forwarded"},
    {DecisionKind::kGaveUp, "gave_up"},
    {DecisionKind::kTailCut, "tail_cut"},
}};

struct Decision {
  Duration at{0};  // Time since the request started.
  DecisionKind kind = DecisionKind::kSent;
  std::string shard;
  std::string target;  // A server, an instance or a data centre.
  AttemptId attempt = 0;
  ResultCode reason = ResultCode::kOk;
};

struct SearchAnswer {
  std::string request_id;
  ResultCode code = ResultCode::kOk;
  Execution execution = Execution::kNotRun;
  std::vector<Hit> hits;
  Snapshot snapshot;
  Duration snapshot_age{0};
  Coverage coverage;
  Duration retry_after{0};  // If above zero, the time to wait before a retry.
  Duration took{0};
  std::uint32_t sub_queries = 0;  // Total number of requests sent to servers.
  // Requests among `sub_queries` that added load: hedges, optional requests,
  // and retries of attempts that a server may have run.
  std::uint32_t extra_sub_queries = 0;
  std::vector<Decision> decisions;
  std::vector<ShardAnswer> shard_answers;  // For only_shards requests.
};

// The outcome of one attempt at a server.
struct AttemptResult {
  AttemptId attempt = 0;
  ResultCode code = ResultCode::kOk;  // kOk, or why the attempt failed.
  bool has_report = false;
  ServerReport report;
  ShardAnswer answer;  // Valid if `code` is kOk.
  Duration retry_after{0};
};

// Actions that the engine's owner carries out.

struct SendAttempt {
  AttemptId attempt = 0;
  std::string server;
  std::string address;
  std::string shard;
  std::string terms;
  std::uint32_t limit = 0;
  Snapshot snapshot;
  Time deadline{};
  bool fresh_connection = false;
};

struct CancelAttempt {
  AttemptId attempt = 0;
  std::string address;
  bool close_connection = false;  // Also close the attempt's connection.
};

struct ProbeServer {
  std::string collection;
  std::string server;
  std::string address;
};

// Requests several shards of one query from an instance in another data centre.
struct SendBatch {
  BatchId batch = 0;
  std::string peer;  // Name of the instance.
  SearchRequest request;
};

struct ForwardSearch {
  QueryId query = 0;
  std::string peer;
  SearchRequest request;
};

struct ReplySearch {
  QueryId query = 0;
  SearchAnswer answer;
};

using QueryAction = std::variant<SendAttempt,
                                 CancelAttempt,
                                 ProbeServer,
                                 SendBatch,
                                 ForwardSearch,
                                 ReplySearch>;

}  // namespace limpetrudder

#endif  // QUERY_QUERY_TYPES_H_
