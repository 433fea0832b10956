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

// Events of the control duty.

struct PeerProbeCall {
  PeerProbe probe;
  std::function<void(PeerProbeReply)> reply;
};
struct PeerPullCall {
  PeerPull pull;
  std::function<void(PeerPullReply)> reply;
};
struct MemberProbeEnded {
  std::uint64_t probe = 0;
  std::string address;
  Time asked{};
  std::optional<PeerProbeReply> reply;
};
struct PullEnded {
  std::string address;
  bool parts = false;  // Parts were asked for, not the manifest.
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
struct PublishStep {
  std::uint64_t job = 0;
  KvReply reply;
};
struct SubmitChange {
  Change change;
  Responder respond;
};
struct HistoryQuestion {
  Responder respond;
};
struct HistoryRead {
  KvReply reply;
  Responder respond;
};
struct DocumentQuestion {
  Responder respond;
};
struct StatusQuestion {
  Responder respond;
};
struct RevisionAnswer {
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
                                  PublishStep,
                                  SubmitChange,
                                  HistoryQuestion,
                                  HistoryRead,
                                  DocumentQuestion,
                                  StatusQuestion,
                                  RevisionAnswer,
                                  LeaveFleet>;

// Keeps the member table and the configuration of one instance, publishes
// operators' changes, and tells the other duties what changed. Not thread safe.
class ControlDuty {
 public:
  using Mailbox = DutyThread<ControlEvent, ControlDuty>;

  // All pointers must outlive this object.
  ControlDuty(const Settings& settings,
              std::uint64_t incarnation,
              InstanceState* front,
              PlatformClient* platform,
              PeerClient* peers);

  // Call before the thread runs.
  void SetMailboxes(Mailbox* own,
                    SearchDuty::Mailbox* search,
                    WriteDuty::Mailbox* write);

  void Handle(ControlEvent event, Time now);
  Time Turn(Time now);

 private:
  struct PublishJob {
    std::unique_ptr<Publisher> publisher;
    SplitDocument document;
    Responder respond;
    Time call_at = kNever;  // When the next call is due.
  };

  // A question for their revisions to all instances of the data centre and a
  // relay of each other one.
  struct RevisionPoll {
    std::size_t left = 0;
    std::map<std::string, std::optional<std::uint64_t>> revisions;
    std::function<void(const RevisionPoll&, Time)> done;
  };

  struct ListedLeaving {
    std::set<std::string> servers;
    Time heard{};
  };

  void On(PeerProbeCall event, Time now);
  void On(const PeerPullCall& event, Time now);
  void On(const MemberProbeEnded& event, Time now);
  void On(const PullEnded& event, Time now);
  void On(const RootRead& event, Time now);
  void On(const PlatformPartRead& event, Time now);
  void On(const PlatformListRead& event, Time now);
  void On(const PublishStep& event, Time now);
  void On(SubmitChange event, Time now);
  void On(HistoryQuestion event, Time now);
  void On(const HistoryRead& event, Time now);
  void On(const DocumentQuestion& event, Time now);
  void On(StatusQuestion event, Time now);
  void On(const RevisionAnswer& event, Time now);
  void On(const LeaveFleet& event, Time now);

  void CarryOut(Time now);
  void Carry(const FetchManifest& action, Time now);
  void Carry(const FetchParts& action, Time now);
  void Carry(const AnnounceRevision& action, Time now);
  void Carry(const ApplyConfig& action, Time now);
  void Carry(const ConfigAlarm& action, Time now);

  void SendMemberProbe(const SendProbe& probe, Time now);
  void ProbeForPeer(const PeerProbe& probe,
                    std::function<void(PeerProbeReply)> reply);
  void OnPeerRevision(const std::string& address,
                      std::uint64_t revision,
                      Time asked,
                      Time now);
  void RunPublishJobs(Time now);
  void FinishJob(std::uint64_t id, Time now);
  void FollowPlatform(Time now);
  void ReadRoot(bool watch);
  void MergeLeaving(Time now);
  void ShareFleet();
  void AskRevisions(std::function<void(const RevisionPoll&, Time)> done,
                    Time now);
  void FinishPoll(std::uint64_t id, Time now);
  void BeginPublish(SubmitChange event,
                    std::uint64_t highest_revision,
                    Time now);
  std::string WriteStatus(const RevisionPoll& poll) const;
  PeerProbe MakeProbe() const;

  const Settings settings_;
  InstanceState* const front_;
  PlatformClient* const platform_;
  PeerClient* const peers_;
  Mailbox* mailbox_ = nullptr;
  SearchDuty::Mailbox* search_ = nullptr;
  WriteDuty::Mailbox* write_ = nullptr;

  Membership membership_;
  Distributor distributor_;
  RevisionGuard guard_;
  std::map<std::uint64_t, PublishJob> jobs_;
  std::map<std::uint64_t, RevisionPoll> polls_;
  std::map<std::string, ListedLeaving> leaving_by_relay_;
  std::set<std::string> listed_leaving_;
  std::set<std::string> own_list_;
  PartTexts platform_parts_;
  std::size_t platform_parts_left_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t root_kv_revision_ = 0;
  bool watching_ = false;
  bool listing_ = false;
  bool listed_once_ = false;
  bool platform_up_ = false;
  bool left_ = false;
  Time next_watch_{};
  Time next_list_{};
  Time next_merge_{};
};

}  // namespace limpetrudder

#endif  // APP_CONTROL_DUTY_H_
