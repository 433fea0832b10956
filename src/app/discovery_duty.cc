#include "app/discovery_duty.h"

#include <algorithm>
#include <utility>

#include "framework/logger.h"

namespace limpetrudder {

DiscoveryDuty::DiscoveryDuty(StoreFollowerSettings settings, StorePort store)
    : follower_(settings), store_(std::move(store)) {}

void DiscoveryDuty::SetMailboxes(Mailbox* own,
                                 DispatchDuty::Mailbox* dispatch) {
  mailbox_ = own;
  dispatch_ = dispatch;
}

void DiscoveryDuty::Handle(DiscoveryEvent event, Time now) {
  auto& replied = std::get<StoreReplied>(event);
  const auto batch = follower_.OnReply(std::move(replied.reply), now);
  NoteContact();
  if (batch)
    OnBatch(*batch, now);
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
    }
  }
  if (batch.whole)
    directory_.OnListing(listed, now);
  if (routes)
    dispatch_->PostResult(RoutesChanged{std::move(routes)});
}

void DiscoveryDuty::TellDispatch() {
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
    store_(*call, [mailbox = mailbox_](FeedReply reply) {
      mailbox->PostResult(StoreReplied{std::move(reply)});
    });
  }
  return std::min(next, grace_ends);
}

}  // namespace limpetrudder
