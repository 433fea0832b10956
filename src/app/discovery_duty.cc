#include "app/discovery_duty.h"

#include <algorithm>
#include <utility>

#include "framework/logger.h"

namespace limpetrudder {

DiscoveryDuty::DiscoveryDuty(StoreFollowerSettings settings,
                             InstanceEntry own,
                             StorePort store)
    : follower_(settings),
      registrar_(std::move(own), settings.seed),
      store_(std::move(store)) {}

void DiscoveryDuty::SetMailboxes(Mailbox* own,
                                 DispatchDuty::Mailbox* dispatch) {
  mailbox_ = own;
  dispatch_ = dispatch;
}

void DiscoveryDuty::Handle(DiscoveryEvent event, Time now) {
  std::visit([&](auto&& e) { On(std::forward<decltype(e)>(e), now); },
             std::move(event));
}

void DiscoveryDuty::On(StoreReplied event, Time now) {
  const auto batch = follower_.OnReply(std::move(event.reply), now);
  NoteContact();
  if (batch)
    OnBatch(*batch, now);
}

void DiscoveryDuty::On(const LeaseReplied& event, Time now) {
  registrar_.OnReply(event.reply, now);
}

void DiscoveryDuty::On(const LeaveStore&, Time) {
  if (const auto call = registrar_.Leave())
    store_.lease(*call, [](const LeaseReply&) {});
}

void DiscoveryDuty::NoteContact() {
  if (follower_.in_contact() == was_in_contact_)
    return;
  was_in_contact_ = follower_.in_contact();
  Log(was_in_contact_ ? LogLevel::kInfo : LogLevel::kWarning,
      was_in_contact_ ? "store_regained" : "store_lost");
}

void DiscoveryDuty::OnBatch(const FeedBatch& batch, Time now) {
  if (batch.store_back)
    directory_.OnStoreBack(now);
  std::vector<ServerEntry> listed;
  std::shared_ptr<const RouteTable> routes;
  if (batch.whole) {
    instances_.clear();
    instances_changed_ = true;
  }
  for (const auto& item : batch.items) {
    if (const auto* table =
            std::get_if<std::shared_ptr<const RouteTable>>(&item)) {
      if (!routes || (*table)->version() > routes->version())
        routes = *table;
    } else if (const auto* server = std::get_if<ServerEntry>(&item)) {
      if (batch.whole)
        listed.push_back(*server);
      else
        directory_.OnEntry(*server);
    } else if (const auto* gone = std::get_if<ServerGone>(&item)) {
      directory_.OnRemoved(gone->id, now);
    } else if (const auto* instance = std::get_if<InstanceEntry>(&item)) {
      InstanceEntry& known = instances_[instance->name];
      instances_changed_ = instances_changed_ || !(known == *instance);
      known = *instance;
    } else if (const auto* left = std::get_if<InstanceGone>(&item)) {
      instances_changed_ =
          instances_.erase(left->name) > 0 || instances_changed_;
    }
  }
  if (batch.whole)
    directory_.OnListing(listed, now);
  if (routes)
    dispatch_->PostResult(RoutesChanged{std::move(routes)});
}

void DiscoveryDuty::TellDispatch() {
  if (std::exchange(instances_changed_, false)) {
    InstancesChanged event;
    for (const auto& [name, instance] : instances_)
      event.instances.push_back(instance);
    Log(LogLevel::kInfo, "instances_changed",
        {{"instances", event.instances.size()}});
    dispatch_->PostResult(std::move(event));
  }
  DirectoryChange change = directory_.TakeChange();
  if (change.empty())
    return;
  for (const auto& entry : change.updated) {
    Log(LogLevel::kInfo, "server_entry",
        {{"server", entry.id},
         {"service", entry.service},
         {"address", entry.address},
         {"draining", entry.draining},
         {"sequence", entry.sequence}});
  }
  for (const auto& id : change.removed)
    Log(LogLevel::kInfo, "server_gone", {{"server", id}});
  dispatch_->PostResult(ServersChanged{std::move(change)});
}

Time DiscoveryDuty::Turn(Time now) {
  const Time grace_ends = directory_.Turn(now);
  TellDispatch();
  Time next = kNever;
  if (const auto call = follower_.Turn(now, &next)) {
    store_.read(*call, [mailbox = mailbox_](FeedReply reply) {
      mailbox->PostResult(StoreReplied{std::move(reply)});
    });
  }
  Time next_lease = kNever;
  if (const auto call = registrar_.Turn(now, &next_lease)) {
    store_.lease(*call, [mailbox = mailbox_](const LeaseReply& reply) {
      mailbox->PostResult(LeaseReplied{reply});
    });
  }
  return std::min({next, next_lease, grace_ends});
}

}  // namespace limpetrudder
