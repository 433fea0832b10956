#ifndef APP_DISCOVERY_DUTY_H_
#define APP_DISCOVERY_DUTY_H_

#include <functional>
#include <variant>

#include "app/dispatch_duty.h"
#include "discovery/server_directory.h"
#include "discovery/store_follower.h"
#include "framework/duty_thread.h"

namespace limpetrudder {

// Events of the discovery duty.

struct StoreReplied {
  FeedReply reply;
};

using DiscoveryEvent = std::variant<StoreReplied>;

// Follows the store and tells the dispatch duty which routes are in force and
// which servers there are. Not thread safe.
class DiscoveryDuty {
 public:
  using Mailbox = DutyThread<DiscoveryEvent, DiscoveryDuty>;

  // Carries out a call on the store and hands the reply over, on any thread.
  using StorePort =
      std::function<void(const FeedCall&, std::function<void(FeedReply)>)>;

  DiscoveryDuty(StoreFollowerSettings settings, StorePort store);

  // Call before the thread runs.
  void SetMailboxes(Mailbox* own, DispatchDuty::Mailbox* dispatch);

  void Handle(DiscoveryEvent event, Time now);
  Time Turn(Time now);

 private:
  void OnBatch(const FeedBatch& batch, Time now);
  void TellDispatch();
  void NoteContact();

  StoreFollower follower_;
  ServerDirectory directory_;
  const StorePort store_;
  Mailbox* mailbox_ = nullptr;
  DispatchDuty::Mailbox* dispatch_ = nullptr;
  bool was_in_contact_ = false;
  bool told_once_ = false;
};

}  // namespace limpetrudder

#endif  // APP_DISCOVERY_DUTY_H_
