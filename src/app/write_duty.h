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

// Events that the write duty handles, besides ConfigChanged and FleetChanged.

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
// Refuses new writes from now on; running ones finish.
struct StopWrites {
  // Called on the duty's thread with the ids of the requests still running.
  std::function<void(std::vector<std::string>)> report;
};

using WriteEvent = std::variant<CallerWrite,
                                PeerWriteCall,
                                WriteRunResult,
                                ForwardedWriteEnded,
                                ConfigChanged,
                                FleetChanged,
                                StopWrites>;

// Runs writes that must run at most once. Keeps the ledger of the keys that
// this instance issued and forwards each other write to the instance that
// issued its key. Not thread safe.
class WriteDuty {
 public:
  using Mailbox = DutyThread<WriteEvent, WriteDuty>;

  // All pointers must outlive this object.
  WriteDuty(KeyLedgerSettings settings,
            std::string data_centre,
            InstanceState* instance_state,
            TargetClient* targets,
            PeerClient* peers);

  // Sets the mailbox that receives the results of calls to other processes.
  // Call before the thread starts.
  void SetMailbox(Mailbox* mailbox) { mailbox_ = mailbox; }

  void Handle(WriteEvent event, Time now);
  Time Tick(Time now);

 private:
  // Where the outcome of a write goes. One of the two callbacks is set.
  struct PendingReply {
    std::string key;
    Responder respond;                          // To a caller.
    std::function<void(PeerWriteReply)> reply;  // To a peer.
  };

  // A running write and the servers not yet tried, in reverse order of
  // preference.
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

  void HandleLocally(WriteAction action, WriteRequest request, Time now);
  void Forward(WriteAction action,
               const std::string& address,
               WriteRequest request,
               Time now);
  void IssueKey(const WriteRequest& request, Time now);
  void StartRun(const RunWrite& action, Time now);
  void TryNextServer(const std::string& key, Time now);
  void Reply(const std::string& request_id, const WriteOutcome& outcome);
  void ExecuteActions(Time now);
  bool MustRefuseWork(Time now);
  std::string CoordinatorFor(const std::string& collection) const;
  std::vector<std::string> ServerAddressesFor(const WriteRequest& request,
                                              std::string* shard) const;

  const std::string instance_;
  const std::string data_centre_;
  KeyLedger ledger_;
  InstanceState* const instance_state_;
  TargetClient* const targets_;
  PeerClient* const peers_;
  Mailbox* mailbox_ = nullptr;
  RevisionGuard guard_;
  std::shared_ptr<const ConfigInForce> config_;
  std::vector<Instance> instances_;
  // By request id.
  std::unordered_map<std::string, PendingReply> pending_replies_;
  std::unordered_map<std::string, Run> runs_;  // By key.
  bool stopping_ = false;
};

}  // namespace limpetrudder

#endif  // APP_WRITE_DUTY_H_
