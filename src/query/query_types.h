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

// What became of the caller's request; a refusal says kNotRun only if no server
// was asked to run any of it.
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
  std::uint32_t limit = 10;  // Most hits to return.
  std::string caller;
  CallerClass caller_class = CallerClass::kBrowse;
  Time deadline{};
  bool explain = false;
  // Set by another data centre's instance that asks for some shards only.
  std::vector<std::string> only_shards;
  Snapshot pinned;  // {0, 0}: let the home choose.
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

// What one shard answered; exchanged between data centres.
struct ShardAnswer {
  std::string shard;
  ResultCode code = ResultCode::kOk;
  Snapshot snapshot;
  Duration snapshot_age{0};
  std::vector<Snapshot> held;  // By the servers that were asked.
  std::vector<Hit> hits;
};

// Why the engine did what it did, one entry for each decision.
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
  Duration at{0};  // Since the request began.
  DecisionKind kind = DecisionKind::kSent;
  std::string shard;
  std::string target;  // A server or a data centre.
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
  Duration retry_after{0};  // Above zero: when to come back.
  Duration took{0};
  std::uint32_t sub_queries = 0;  // Requests sent to servers in all.
  // Those among them that added load: hedges, spare requests, and retries of
  // what a server didn't give back.
  std::uint32_t extra_sub_queries = 0;
  std::vector<Decision> decisions;
  std::vector<ShardAnswer> shard_answers;  // For only_shards requests.
};

// How a server answered one attempt.
struct AttemptResult {
  AttemptId attempt = 0;
  ResultCode code = ResultCode::kOk;  // kOk, or why there is no answer.
  bool has_report = false;
  ServerReport report;
  ShardAnswer answer;  // If code is kOk.
  Duration retry_after{0};
};

// What the engine asks its owner to do.

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
  bool close_connection = false;  // Give up on the connection as well.
};

struct ProbeServer {
  std::string collection;
  std::string server;
  std::string address;
};

struct SendBatch {
  BatchId batch = 0;
  std::string peer;  // Name of an instance there.
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
