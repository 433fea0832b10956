#ifndef APP_CONTROL_DUTY_H_
#define APP_CONTROL_DUTY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "app/instance_state.h"
#include "app/search_duty.h"
#include "app/settings.h"
#include "app/write_duty.h"
#include "config/distributor.h"
#include "config/publisher.h"
#include "framework/duty_thread.h"
#include "membership/membership.h"
#include "membership/revision_guard.h"
#include "net/peer_client.h"
#include "net/peer_server.h"
#include "net/platform_client.h"

namespace limpetrudder {

// Events that the control duty handles.

struct PeerProbeCall {
  PeerProbe probe;
  std::function<void(PeerProbeReply)> reply;
};
struct PeerPullCall {
  PeerPull pull;
  std::function<void(PeerPullReply)> reply;
};
struct MemberProbeEnded {
  std::uint64_t probe = 0;  // 0 if it only announces a revision.
  std::string address;
  Time sent_at{};
  std::optional<PeerProbeReply> reply;
};
struct PullEnded {
  std::string address;
  bool parts_requested = false;  // Otherwise the manifest was requested.
  std::optional<PeerPullReply> reply;
};
struct RootRead {
  KvReply reply;
  bool watch = false;
};
struct PlatformPartRead {
  std::string name;
  KvReply reply;
};
struct PlatformListRead {
  std::optional<PlatformList> list;
};
struct PublishReply {
  std::uint64_t job = 0;
  KvReply reply;
};
struct SubmitChange {
  Change change;
  Responder respond;
};
struct HistoryRequest {
  Responder respond;
};
struct HistoryRead {
  KvReply reply;
  Responder respond;
};
struct DocumentRequest {
  Responder respond;
};
struct StatusRequest {
  Responder respond;
};
struct RevisionPollReply {
  std::uint64_t poll = 0;
  std::string address;
  std::optional<PeerProbeReply> reply;
};
struct LeaveFleet {};

using ControlEvent = std::variant<PeerProbeCall,
                                  PeerPullCall,
                                  MemberProbeEnded,
                                  PullEnded,
                                  RootRead,
                                  PlatformPartRead,
                                  PlatformListRead,
                                  PublishReply,
                                  SubmitChange,
                                  HistoryRequest,
                                  HistoryRead,
                                  DocumentRequest,
                                  StatusRequest,
                                  RevisionPollReply,
                                  LeaveFleet>;

// Maintains the member table and the configuration of one instance, publishes
// operators' changes, and notifies the other duties of changes. Not thread
// safe.
class ControlDuty {
 public:
  using Mailbox = DutyThread<ControlEvent, ControlDuty>;

  // All pointers must outlive this object.
  ControlDuty(const Settings& settings,
              std::uint64_t incarnation,
              InstanceState* instance_state,
              PlatformClient* platform,
              PeerClient* peers);

  // Sets the mailbox that receives the results of calls to other processes and
  // those of the duties to notify. Call before the thread starts.
  void SetMailboxes(Mailbox* own,
                    SearchDuty::Mailbox* search,
                    WriteDuty::Mailbox* write);

  void Handle(ControlEvent event, Time now);
  Time Tick(Time now);

 private:
  struct PublishJob {
    std::unique_ptr<Publisher> publisher;
    SplitDocument document;
    Responder respond;
    Time next_call_at = kNever;  // When the next call is due.
  };

  // A request for the revision in force, sent to all instances of this data
  // centre and to one relay of each other data centre.
  struct RevisionPoll {
    std::size_t pending = 0;  // Replies still missing.
    // By peer address; nothing if the peer didn't reply.
    std::map<std::string, std::optional<std::uint64_t>> revisions;
    std::function<void(const RevisionPoll&, Time)> done;
  };

  // The servers that a relay reported as leaving, and when.
  struct RelayLeavingList {
    std::set<std::string> servers;
    Time received{};
  };

  void On(PeerProbeCall event, Time now);
  void On(const PeerPullCall& event, Time now);
  void On(const MemberProbeEnded& event, Time now);
  void On(const PullEnded& event, Time now);
  void On(const RootRead& event, Time now);
  void On(const PlatformPartRead& event, Time now);
  void On(const PlatformListRead& event, Time now);
  void On(const PublishReply& event, Time now);
  void On(SubmitChange event, Time now);
  void On(HistoryRequest event, Time now);
  void On(const HistoryRead& event, Time now);
  void On(const DocumentRequest& event, Time now);
  void On(StatusRequest event, Time now);
  void On(const RevisionPollReply& event, Time now);
  void On(const LeaveFleet& event, Time now);

  void ExecuteActions(Time now);
  void Execute(const FetchManifest& action, Time now);
  void Execute(const FetchParts& action, Time now);
  void Execute(const AnnounceRevision& action, Time now);
  void Execute(const ApplyConfig& action, Time now);
  void Execute(const ConfigAlarm& action, Time now);

  void SendMemberProbe(const SendProbe& probe, Time now);
  void ProbeForPeer(const PeerProbe& probe,
                    std::function<void(PeerProbeReply)> reply);
  void OnPeerRevision(const std::string& address,
                      std::uint64_t revision,
                      Time sent_at,
                      Time now);
  void RunPublishJobs(Time now);
  void FinishPublish(std::uint64_t id, Time now);
  void SyncWithPlatform(Time now);
  void ReadRoot(bool watch);
  void MergeLeavingLists(Time now);
  void PostFleetChanged();
  void PollRevisions(std::function<void(const RevisionPoll&, Time)> done,
                     Time now);
  void FinishPoll(std::uint64_t id, Time now);
  void BeginPublish(SubmitChange event,
                    std::uint64_t highest_revision,
                    Time now);
  std::string WriteStatus(const RevisionPoll& poll) const;
  PeerProbe MakeProbe() const;

  const Settings settings_;
  InstanceState* const instance_state_;
  PlatformClient* const platform_;
  PeerClient* const peers_;
  Mailbox* mailbox_ = nullptr;
  SearchDuty::Mailbox* search_mailbox_ = nullptr;
  WriteDuty::Mailbox* write_mailbox_ = nullptr;

  Membership membership_;
  Distributor distributor_;
  RevisionGuard guard_;
  std::map<std::uint64_t, PublishJob> jobs_;
  std::map<std::uint64_t, RevisionPoll> polls_;
  std::map<std::string, RelayLeavingList> leaving_by_relay_;  // By instance.
  std::set<std::string> merged_leaving_;
  std::set<std::string> own_leaving_;
  PartTexts platform_parts_;
  std::size_t platform_parts_pending_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t root_kv_revision_ = 0;
  bool root_read_pending_ = false;
  bool list_pending_ = false;
  bool listed_once_ = false;
  bool platform_up_ = false;
  bool has_left_ = false;
  Time next_root_read_{};
  Time next_list_{};
  Time next_merge_{};
};

}  // namespace limpetrudder

#endif  // APP_CONTROL_DUTY_H_
