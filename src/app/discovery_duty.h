#ifndef APP_DISCOVERY_DUTY_H_
#define APP_DISCOVERY_DUTY_H_

#include <functional>
#include <map>
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
struct DeregisterInstance {};
struct FeedResponseReceived {
  std::string from;
  FeedRequestReason reason = FeedRequestReason::kFollow;
  FeedReply reply;
};
struct NewerRoutesSeen {
  std::string instance;
  std::uint64_t routes_version = 0;
};
struct FeedRequestReceived {
  FeedRequest request;
  std::function<void(const FeedReply&)> respond;
};

using DiscoveryEvent = std::variant<StoreReplied,
                                    LeaseReplied,
                                    DeregisterInstance,
                                    FeedResponseReceived,
                                    NewerRoutesSeen,
                                    FeedRequestReceived>;

// Functions that call the store and other instances. Each makes one call and
// passes the reply to the given handler, on any thread.
struct DiscoveryTransport {
  std::function<void(const FeedCall&, std::function<void(FeedReply)>)>
      read_store;
  std::function<void(const LeaseCall&, std::function<void(LeaseReply)>)>
      call_lease;
  std::function<void(const InstanceEntry&,
                     const FeedRequest&,
                     std::function<void(FeedReply)>)>
      request_feed;
};

// Runs the discovery engine: executes its actions, logs its state changes and
// passes the routes in force, the servers and the instances to the dispatch
// duty. Not thread safe.
class DiscoveryDuty {
 public:
  using Mailbox = DutyThread<DiscoveryEvent, DiscoveryDuty>;

  DiscoveryDuty(DiscoverySettings settings, DiscoveryTransport transport);

  // Sets the mailboxes of this duty and of the dispatch duty, which must
  // outlive all use of this object. Call before the thread runs.
  void SetMailboxes(Mailbox* own, DispatchDuty::Mailbox* dispatch);

  void Handle(DiscoveryEvent event, Time now);
  Time Tick(Time now);

 private:
  void On(StoreReplied event, Time now);
  void On(const LeaseReplied& event, Time now);
  void On(const DeregisterInstance& event, Time now);
  void On(FeedResponseReceived event, Time now);
  void On(const NewerRoutesSeen& event, Time now);
  void On(FeedRequestReceived event, Time now);

  void ExecuteActions();
  void Execute(const CallStore& action);
  void Execute(const CallLease& action);
  void Execute(const RequestFeed& action);
  void Execute(const SendFeedResponse& action);
  void Execute(RoutesUpdated action);
  void Execute(const RoutesConfirmed& action);
  void Execute(ServersUpdated action);
  void Execute(EvacuationsUpdated action);
  void Execute(InstancesUpdated action);
  void Execute(const StoreReachabilityChanged& action);
  void Execute(const StoreRestored& action);
  void Execute(const SourceOutdated& action);
  void Execute(const FirstRoutesHeld& action);

  const std::map<std::string, std::string> regions_;  // By data centre.
  DiscoveryEngine engine_;
  const DiscoveryTransport transport_;
  Mailbox* own_mailbox_ = nullptr;
  DispatchDuty::Mailbox* dispatch_mailbox_ = nullptr;
  // The responders to feed requests of other instances, by request id.
  std::unordered_map<std::uint64_t, std::function<void(const FeedReply&)>>
      pending_requests_;
  std::uint64_t next_request_id_ = 1;
};

}  // namespace limpetrudder

#endif  // APP_DISCOVERY_DUTY_H_
