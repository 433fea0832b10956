#ifndef APP_DISCOVERY_DUTY_H_
#define APP_DISCOVERY_DUTY_H_

#include <functional>
#include <map>
#include <string>
#include <variant>

#include "app/dispatch_duty.h"
#include "discovery/registrar.h"
#include "discovery/server_directory.h"
#include "discovery/store_follower.h"
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

using DiscoveryEvent = std::variant<StoreReplied, LeaseReplied, LeaveStore>;

// How the duty reaches the store: each carries out a call and hands the reply
// over, on any thread.
struct StorePort {
  std::function<void(const FeedCall&, std::function<void(FeedReply)>)> read;
  std::function<void(const LeaseCall&, std::function<void(LeaseReply)>)> lease;
};

// Follows the store, keeps this instance registered there, and tells the
// dispatch duty which routes are in force and which servers and instances there
// are. Not thread safe.
class DiscoveryDuty {
 public:
  using Mailbox = DutyThread<DiscoveryEvent, DiscoveryDuty>;

  DiscoveryDuty(StoreFollowerSettings settings,
                InstanceEntry own,
                StorePort store);

  // Call before the thread runs.
  void SetMailboxes(Mailbox* own, DispatchDuty::Mailbox* dispatch);

  void Handle(DiscoveryEvent event, Time now);
  Time Turn(Time now);

 private:
  void On(StoreReplied event, Time now);
  void On(const LeaseReplied& event, Time now);
  void On(const LeaveStore& event, Time now);
  void OnBatch(const FeedBatch& batch, Time now);
  void TellDispatch();
  void NoteContact();

  StoreFollower follower_;
  Registrar registrar_;
  ServerDirectory directory_;
  std::map<std::string, InstanceEntry> instances_;
  bool instances_changed_ = false;
  const StorePort store_;
  Mailbox* mailbox_ = nullptr;
  DispatchDuty::Mailbox* dispatch_ = nullptr;
  bool was_in_contact_ = false;
};

}  // namespace limpetrudder

#endif  // APP_DISCOVERY_DUTY_H_
