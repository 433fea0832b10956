#ifndef APP_DISCOVERY_DUTY_H_
#define APP_DISCOVERY_DUTY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "app/dispatch_duty.h"
#include "discovery/feed_log.h"
#include "discovery/feed_source.h"
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
struct PassedOn {
  std::string from;
  FeedReply reply;
  bool ahead = false;  // Asked out of turn, since it has newer routes.
};
struct NewerRoutesSeen {
  std::string instance;
  std::uint64_t routes_version = 0;
};
struct FeedQuestion {
  std::uint64_t after = 0;
  std::function<void(const FeedReply&)> respond;
};

using DiscoveryEvent = std::variant<StoreReplied,
                                    LeaseReplied,
                                    LeaveStore,
                                    PassedOn,
                                    NewerRoutesSeen,
                                    FeedQuestion>;

// How the duty reaches the store and other instances: each carries out a call
// and hands the reply over, on any thread. `decode` reads an item of the store;
// one of no concern, or with a fault that it has logged, gives nothing.
struct DiscoveryPorts {
  std::function<void(const FeedCall&, std::function<void(FeedReply)>)> read;
  std::function<void(const LeaseCall&, std::function<void(LeaseReply)>)> lease;
  std::function<void(const InstanceEntry&,
                     std::uint64_t after,
                     std::function<void(FeedReply)>)>
      ask;
  std::function<std::optional<FeedItem>(const RawItem&)> decode;
};

// Follows the store or a reader of it, passes on what it learns, keeps this
// instance registered there, and tells the dispatch duty which routes are in
// force and which servers and instances there are. Not thread safe.
class DiscoveryDuty {
 public:
  using Mailbox = DutyThread<DiscoveryEvent, DiscoveryDuty>;

  DiscoveryDuty(StoreFollowerSettings settings,
                InstanceEntry own,
                const std::map<std::string, std::string>& regions,
                DiscoveryPorts ports);

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
  void On(FeedQuestion event, Time now);
  void OnBatch(const FeedBatch& batch, Time now);
  void ApplyItem(const RawItem& item,
                 FeedItem decoded,
                 std::vector<ServerEntry>* listed,
                 Time now);
  void CallStore(Time now, Time* next);
  void AskInstance(Time now, Time* next);
  void AskFeed(const InstanceEntry& instance, bool ahead);
  void AnswerQuestions(Time now, Time* next);
  FeedReply AnswerSince(std::uint64_t after, Time now) const;
  void TellDispatch();
  void NoteContact();

  StoreFollower follower_;
  Registrar registrar_;
  ServerDirectory directory_;
  std::map<std::string, InstanceEntry> instances_;
  bool instances_changed_ = false;
  FeedSource source_;
  FeedLog log_;
  const DiscoveryPorts ports_;
  Mailbox* mailbox_ = nullptr;
  DispatchDuty::Mailbox* dispatch_ = nullptr;
  // A question of another instance that waits for news.
  struct WaitingQuestion {
    FeedQuestion question;
    Time until{};
  };
  std::vector<WaitingQuestion> waiting_;
  std::shared_ptr<const RouteTable> routes_;
  bool was_in_contact_ = false;
};

}  // namespace limpetrudder

#endif  // APP_DISCOVERY_DUTY_H_
