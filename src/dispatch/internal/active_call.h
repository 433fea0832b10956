#ifndef DISPATCH_INTERNAL_ACTIVE_CALL_H_
#define DISPATCH_INTERNAL_ACTIVE_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatch_types.h"
#include "dispatch/internal/region_filter.h"
#include "dispatch/internal/server_table.h"
#include "routing/route_table.h"

namespace limpetrudder::detail {

enum class SubQueryState { kOpen, kAnswered, kFailed };

// The request for one shard's part of a call, or the whole request of a call to
// one server.
struct SubQuery {
  ServerGroup* group = nullptr;
  SubQueryState state = SubQueryState::kOpen;
  std::vector<AttemptId> pending_attempts;
  std::vector<const ServerLoad*> tried_servers;
  std::shared_ptr<ServerLoad> reserved;  // Gets the first attempt, if set.
  std::string last_server;
  std::uint32_t attempts = 0;
  std::uint32_t runs = 0;                // Attempts that ran or may have.
  std::uint32_t delivered_attempts = 0;  // Attempts that reached a server.
  bool queued = false;                   // In its group's queue.
  Time queued_at{};
  Duration queued_for{0};  // Before the attempt.
  bool delegated = false;  // To another instance.
  Time hedge_at = kNever;
  Time hedge_held_until{};  // At the latest; see IsStraggler().
  std::string signature;
  std::string body;
  ResultCode code = ResultCode::kOk;  // Why the last attempt failed.

  // Whether nothing has been done for it, as when its call was refused.
  bool not_started() const {
    return state == SubQueryState::kOpen && attempts == 0 && !queued &&
           !delegated;
  }
};

// Sub-queries of a call that are delegated to one coordinator near their
// servers.
struct Batch {
  AttemptId attempt = 0;  // 0: the batch has ended.
  std::vector<std::size_t> sub_queries;
};

// A caller's request that has no final answer yet.
struct ActiveCall {
  CallRequest call;
  std::shared_ptr<const RouteTable> table;  // Keeps `route` alive.
  const Route* route = nullptr;
  // The account for which it is made, null for none; `table` keeps it alive.
  const ClientAccount* account = nullptr;
  // The regions of `route` and, if it was forwarded or newer routes came into
  // force meanwhile, of the other versions of the route as well.
  RegionFilter region_filter;
  Time received{};
  Time deadline{};   // The final answer is sent by then.
  Time answer_by{};  // An answer sent by then meets the latency target.
  Time wake_at = kNever;
  // Not 0: the whole call was forwarded to a coordinator, which hasn't
  // answered.
  AttemptId coordinator_attempt = 0;
  bool was_forwarded = false;  // Whole, to any coordinator.
  // Set while the call waits for a sign of life of the coordinator chosen for
  // it, until `candidate_until`.
  std::shared_ptr<ServerLoad> candidate;
  Time candidate_until = kNever;
  std::uint32_t silent_candidates = 0;
  // Data centres of the instances that refused it since they reach too few
  // servers.
  std::vector<std::string> unreachable_from;
  // Instances that were to serve it instead of this one and refused it for
  // other reasons, as when they stop.
  std::vector<std::string> refused_by;
  // It waits for a token of its account's limit.
  bool awaits_token = false;
  Time token_valid_until{};  // Of the one that it got.
  std::vector<SubQuery> sub_queries;
  std::vector<Batch> batches;
  // Set once the latency target has passed and the pending attempts are
  // recorded as late.
  bool target_passed = false;
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;
  std::string digest;  // Of the request; empty until it is needed.
  std::uint32_t broken_attempts = 0;  // By servers that broke off.
  // Set while attempts wait for a check whether servers crashed under it.
  Time suspended_until = kNever;
  // A check whether a server that answered it survives that has begun.
  bool survival_checked = false;
  // Servers may crash under it, so it is sent to one of them at a time until
  // one has answered.
  bool trial = false;
  Time trial_claimed_at = Time::min();
  // The instance that is to try it; empty: this one.
  std::string trial_owner;
  std::optional<TargetReply> final_reply;  // Used for calls to one server.
  CallRecord record;

  // The account's priority precedes the route's; 0 is the most urgent.
  std::uint32_t priority() const {
    return account != nullptr && account->priority ? *account->priority
                                                   : route->priority;
  }

  bool is_idempotent() const { return route->kind == RequestKind::kIdempotent; }

  // Whether it is a batch that another instance delegated.
  bool is_partial() const { return !call.only_shards.empty(); }

  // Number of attempts for all of its sub-queries.
  std::uint32_t attempts_started() const {
    std::uint32_t attempts = 0;
    for (const SubQuery& sub_query : sub_queries)
      attempts += sub_query.attempts + (sub_query.delegated ? 1 : 0);
    return attempts;
  }

  // Whether it was sent to any server or instance.
  bool was_sent() const { return attempts_started() > 0 || was_forwarded; }

  // Whether any server has run it or may have.
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
