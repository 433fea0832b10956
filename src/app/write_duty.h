#ifndef APP_WRITE_DUTY_H_
#define APP_WRITE_DUTY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "app/instance_state.h"
#include "app/search_duty.h"
#include "framework/duty_thread.h"
#include "membership/revision_guard.h"
#include "net/http_server.h"
#include "net/peer_client.h"
#include "net/peer_server.h"
#include "net/target_client.h"
#include "once/key_ledger.h"
#include "once/write_router.h"

namespace limpetrudder {

// Events of the write duty, besides ConfigChanged and FleetChanged.

struct CallerWrite {
  WriteAction action = WriteAction::kRun;
  WriteRequest request;
  Responder respond;
};
struct PeerWriteCall {
  PeerWrite write;
  std::function<void(PeerWriteReply)> reply;
};
struct ForwardedWriteEnded {
  std::string request_id;
  std::optional<PeerWriteReply> reply;
};
struct StopWrites {
  // Called on the duty's thread with the request ids that are still running.
  std::function<void(std::vector<std::string>)> report;
};

using WriteEvent = std::variant<CallerWrite,
                                PeerWriteCall,
                                WriteRunResult,
                                ForwardedWriteEnded,
                                ConfigChanged,
                                FleetChanged,
                                StopWrites>;

// Runs writes that must run at most once: keeps the ledger of the keys that
// this instance issued, and passes other writes on to the issuers of theirs.
// Not thread safe.
class WriteDuty {
 public:
  using Mailbox = DutyThread<WriteEvent, WriteDuty>;

  // All pointers must outlive this object.
  WriteDuty(KeyLedgerSettings settings,
            std::string data_centre,
            InstanceState* front,
            TargetClient* targets,
            PeerClient* peers);

  // The mailbox through which results come back. Call before the thread runs.
  void SetMailbox(Mailbox* mailbox) { mailbox_ = mailbox; }

  void Handle(WriteEvent event, Time now);
  Time Turn(Time now);

 private:
  // Who waits for the outcome of a write.
  struct Waiter {
    std::string key;
    Responder respond;                          // A caller, or
    std::function<void(PeerWriteReply)> reply;  // a peer.
  };

  // A write that is being run, and the servers left to try.
  struct Run {
    WriteRequest request;
    std::string shard;
    std::vector<std::string> addresses;
  };

  void On(CallerWrite event, Time now);
  void On(PeerWriteCall event, Time now);
  void On(WriteRunResult event, Time now);
  void On(ForwardedWriteEnded event, Time now);
  void On(const ConfigChanged& event, Time now);
  void On(const FleetChanged& event, Time now);
  void On(const StopWrites& event, Time now);

  void RunHere(WriteAction action, WriteRequest request, Time now);
  void Forward(WriteAction action,
               const std::string& address,
               WriteRequest request,
               Time now);
  void IssueKey(const WriteRequest& request, Time now);
  void Begin(const RunWrite& action, Time now);
  void TryNextServer(const std::string& key, Time now);
  void Reply(const std::string& request_id, const WriteOutcome& outcome);
  void CarryOut(Time now);
  bool RefusesWork(Time now);
  std::string HomeFor(const std::string& collection) const;
  std::vector<std::string> ServersFor(const WriteRequest& request,
                                      std::string* shard) const;

  const std::string instance_;
  const std::string data_centre_;
  KeyLedger ledger_;
  InstanceState* const front_;
  TargetClient* const targets_;
  PeerClient* const peers_;
  Mailbox* mailbox_ = nullptr;
  RevisionGuard guard_;
  std::shared_ptr<const ConfigInForce> config_;
  std::vector<Instance> instances_;
  std::unordered_map<std::string, Waiter> waiters_;  // By request id.
  std::unordered_map<std::string, Run> runs_;        // By key.
  bool stopping_ = false;
};

}  // namespace limpetrudder

#endif  // APP_WRITE_DUTY_H_
