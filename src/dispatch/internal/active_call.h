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

enum class LegState { kOpen, kAnswered, kFailed };

// One shard's part of a call, or the whole of a call to one server.
struct Leg {
  ServerGroup* group = nullptr;
  LegState state = LegState::kOpen;
  std::vector<SendId> open_sends;
  std::vector<const ServerLoad*> asked;
  std::shared_ptr<ServerLoad> reserved;  // To be asked first.
  std::string last_server;
  std::uint32_t sends = 0;
  std::uint32_t runs = 0;      // Sends that ran or may have.
  std::uint32_t arrivals = 0;  // Sends that reached a server.
  bool waiting = false;        // In its group's queue.
  Time waiting_since{};
  Duration waited{0};      // In the queue, before its sends.
  bool delegated = false;  // Another instance asks the servers.
  Time hedge_at = kNever;
  std::string signature;
  std::string body;
  ResultCode code = ResultCode::kOk;  // Why the last send gave no answer.

  // Whether nothing was decided about it, as when its call was refused.
  bool is_untouched() const {
    return state == LegState::kOpen && sends == 0 && !waiting && !delegated;
  }
};

// Legs of a call that another instance, nearer to their servers, gathers.
struct Batch {
  SendId send = 0;  // 0: it has ended.
  std::vector<std::size_t> legs;
};

// A caller's request that has no final answer yet.
struct ActiveCall {
  CallRequest call;
  std::shared_ptr<const RouteTable> table;  // Keeps `route` alive.
  const Route* route = nullptr;
  Time received{};
  Time deadline{};   // The final answer leaves by then.
  Time answer_by{};  // An answer that leaves by then is within the target.
  Time wake = kNever;
  SendId home_send = 0;  // Not 0: a home gathers the parts, and has no answer.
  std::vector<Leg> legs;
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
    if (home_send != 0)
      return true;
    for (const Leg& leg : legs) {
      if (leg.runs > 0 || leg.delegated || !leg.open_sends.empty())
        return true;
    }
    return false;
  }
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_ACTIVE_CALL_H_
