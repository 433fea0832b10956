#ifndef DISPATCH_INTERNAL_ACTIVE_CALL_H_
#define DISPATCH_INTERNAL_ACTIVE_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatch_types.h"
#include "dispatch/internal/server_table.h"
#include "routing/route_table.h"

namespace limpetrudder::detail {

enum class SubQueryState { kOpen, kAnswered, kFailed };

// One shard's part of a call, or the whole of a call to one server.
struct SubQuery {
  ServerGroup* group = nullptr;
  SubQueryState state = SubQueryState::kOpen;
  std::vector<AttemptId> pending_attempts;
  std::vector<const ServerLoad*> tried_servers;
  std::shared_ptr<ServerLoad> reserved;  // To be asked first.
  std::string last_server;
  std::uint32_t attempts = 0;
  std::uint32_t runs = 0;      // Sends that ran or may have.
  std::uint32_t arrivals = 0;  // Sends that reached a server.
  bool queued = false;         // In its group's queue.
  Time queued_at{};
  Duration queued_for{0};  // In the queue, before its sends.
  bool delegated = false;  // Another instance asks the servers.
  Time hedge_at = kNever;
  std::string signature;
  std::string body;
  ResultCode code = ResultCode::kOk;  // Why the last send gave no answer.

  // Whether nothing was decided about it, as when its call was refused.
  bool not_started() const {
    return state == SubQueryState::kOpen && attempts == 0 && !queued &&
           !delegated;
  }
};

// Legs of a call that another instance, nearer to their servers, gathers.
struct Batch {
  AttemptId attempt = 0;  // 0: it has ended.
  std::vector<std::size_t> sub_queries;
};

// A caller's request that has no final answer yet.
struct ActiveCall {
  CallRequest call;
  std::shared_ptr<const RouteTable> table;  // Keeps `route` alive.
  const Route* route = nullptr;
  Time received{};
  Time deadline{};   // The final answer leaves by then.
  Time answer_by{};  // An answer that leaves by then is within the target.
  Time wake_at = kNever;
  AttemptId coordinator_attempt =
      0;  // Not 0: a home gathers the parts, and has no answer.
  std::vector<SubQuery> sub_queries;
  std::vector<Batch> batches;
  bool target_passed = false;  // And its open sends are known to be late.
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;
  std::optional<TargetReply> final_reply;  // Of the one server asked.
  CallRecord record;

  bool may_repeat() const { return route->kind == RequestKind::kIdempotent; }

  // Whether another instance asked for some of the parts only.
  bool is_partial() const { return !call.only_shards.empty(); }

  // Whether any server ran it or may have.
  bool may_have_run() const {
    if (coordinator_attempt != 0)
      return true;
    for (const SubQuery& sub_query : sub_queries) {
      if (sub_query.runs > 0 || sub_query.delegated ||
          !sub_query.pending_attempts.empty())
        return true;
    }
    return false;
  }
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_ACTIVE_CALL_H_
