#ifndef APP_DISCOVERY_DUTY_H_
#define APP_DISCOVERY_DUTY_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <variant>

#include "app/dispatch_duty.h"
#include "discovery/discovery_engine.h"
#include "framework/duty_thread.h"

namespace limpetrudder {

// Events of the discovery duty.

struct StoreReplied {
  FeedReply reply;
};
struct LeaseReplied {
  LeaseReply reply;
};
struct LeaveStore {};
struct PassedOn {
  std::string from;
  FeedRequestReason reason = FeedRequestReason::kFollow;
  FeedReply reply;
};
struct NewerRoutesSeen {
  std::string instance;
  std::uint64_t routes_version = 0;
};
struct InstanceAsked {
  FeedRequest question;
  std::function<void(const FeedReply&)> respond;
};

using DiscoveryEvent = std::variant<StoreReplied,
                                    LeaseReplied,
                                    LeaveStore,
                                    PassedOn,
                                    NewerRoutesSeen,
                                    InstanceAsked>;

// How the duty reaches the store and other instances: each carries out a call
// and hands the reply over, on any thread.
struct DiscoveryPorts {
  std::function<void(const FeedCall&, std::function<void(FeedReply)>)> read;
  std::function<void(const LeaseCall&, std::function<void(LeaseReply)>)> lease;
  std::function<void(const InstanceEntry&,
                     const FeedRequest&,
                     std::function<void(FeedReply)>)>
      ask;
};

// Carries out what the discovery engine decides, logs each change of what it
// believes, and tells the dispatch duty which routes are in force and which
// servers and instances there are. Not thread safe.
class DiscoveryDuty {
 public:
  using Mailbox = DutyThread<DiscoveryEvent, DiscoveryDuty>;

  DiscoveryDuty(DiscoverySettings settings, DiscoveryPorts ports);

  // Call before the thread runs.
  void SetMailboxes(Mailbox* own, DispatchDuty::Mailbox* dispatch);

  void Handle(DiscoveryEvent event, Time now);
  Time Turn(Time now);

 private:
  void On(StoreReplied event, Time now);
  void On(const LeaseReplied& event, Time now);
  void On(const LeaveStore& event, Time now);
  void On(PassedOn event, Time now);
  void On(const NewerRoutesSeen& event, Time now);
  void On(InstanceAsked event, Time now);

  void Execute();
  void Do(const CallStore& action);
  void Do(const CallLease& action);
  void Do(const RequestFeed& action);
  void Do(const SendFeedResponse& action);
  void Do(RoutesUpdated action);
  void Do(ServersUpdated action);
  void Do(InstancesUpdated action);
  void Do(const StoreReachabilityChanged& action);
  void Do(const StoreRestored& action);
  void Do(const SourceOutdated& action);
  void Do(const FirstRoutesHeld& action);

  DiscoveryEngine engine_;
  const DiscoveryPorts ports_;
  Mailbox* mailbox_ = nullptr;
  DispatchDuty::Mailbox* dispatch_ = nullptr;
  // Who waits for an answer, by question.
  std::unordered_map<std::uint64_t, std::function<void(const FeedReply&)>>
      asking_;
  std::uint64_t next_question_ = 1;
};

}  // namespace limpetrudder

#endif  // APP_DISCOVERY_DUTY_H_
