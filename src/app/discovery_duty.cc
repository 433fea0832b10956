#include "app/discovery_duty.h"

#include <algorithm>
#include <utility>

#include "framework/clock.h"
#include "framework/logger.h"

namespace limpetrudder {

DiscoveryDuty::DiscoveryDuty(DiscoverySettings settings,
                             DiscoveryTransport transport)
    : regions_(settings.regions),
      engine_(std::move(settings)),
      transport_(std::move(transport)) {}

void DiscoveryDuty::SetMailboxes(Mailbox* own,
                                 DispatchDuty::Mailbox* dispatch) {
  own_mailbox_ = own;
  dispatch_mailbox_ = dispatch;
}

void DiscoveryDuty::Handle(DiscoveryEvent event, Time now) {
  std::visit([&](auto&& e) { On(std::forward<decltype(e)>(e), now); },
             std::move(event));
  ExecuteActions();
}

Time DiscoveryDuty::Tick(Time now) {
  const Time next = engine_.Tick(now);
  ExecuteActions();
  return next;
}

void DiscoveryDuty::On(StoreReplied event, Time now) {
  engine_.OnStoreReply(std::move(event.reply), now);
}

void DiscoveryDuty::On(const LeaseReplied& event, Time now) {
  engine_.OnLeaseReply(event.reply, now);
}

void DiscoveryDuty::On(const DeregisterInstance&, Time) {
  engine_.Leave();
}

void DiscoveryDuty::On(FeedResponseReceived event, Time now) {
  if (event.reply.status != FeedStatus::kOk)
    Log(LogLevel::kWarning, "feed_failed",
        {{"from", event.from},
         {"reason", NameOf(kFeedRequestReasonNames, event.reason)}});
  engine_.OnFeedResponse(event.from, event.reason, std::move(event.reply), now);
}

void DiscoveryDuty::On(const NewerRoutesSeen& event, Time now) {
  engine_.OnNewerRoutes(event.instance, event.routes_version, now);
}

void DiscoveryDuty::On(FeedRequestReceived event, Time now) {
  const std::uint64_t id = next_request_id_++;
  pending_requests_[id] = std::move(event.respond);
  engine_.OnFeedRequest(id, event.request, now);
}

void DiscoveryDuty::ExecuteActions() {
  for (auto& action : engine_.TakeActions()) {
    std::visit([this](auto&& a) { Execute(std::forward<decltype(a)>(a)); },
               std::move(action));
  }
}

void DiscoveryDuty::Execute(const CallStore& action) {
  transport_.read_store(action.call, [mailbox = own_mailbox_](FeedReply reply) {
    mailbox->PostResult(StoreReplied{std::move(reply)});
  });
}

void DiscoveryDuty::Execute(const CallLease& action) {
  transport_.call_lease(action.call,
                        [mailbox = own_mailbox_](const LeaseReply& reply) {
                          mailbox->PostResult(LeaseReplied{reply});
                        });
}

void DiscoveryDuty::Execute(const RequestFeed& action) {
  if (action.reason == FeedRequestReason::kNewerRoutes) {
    Log(LogLevel::kInfo, "routes_outdated",
        {{"version", engine_.routes_version()},
         {"newer_at", action.instance.name}});
  }
  transport_.request_feed(action.instance, action.request,
                          [mailbox = own_mailbox_, from = action.instance.name,
                           reason = action.reason](FeedReply reply) {
                            mailbox->PostResult(FeedResponseReceived{
                                from, reason, std::move(reply)});
                          });
}

void DiscoveryDuty::Execute(const SendFeedResponse& action) {
  const auto respond = pending_requests_.extract(action.id);
  respond.mapped()(engine_.MakeFeedResponse(action.request, SteadyNow()));
}

void DiscoveryDuty::Execute(RoutesUpdated action) {
  dispatch_mailbox_->PostResult(RoutesChanged{std::move(action.routes)});
}

void DiscoveryDuty::Execute(const RoutesConfirmed& action) {
  dispatch_mailbox_->PostResult(RoutesStillLatest{action.at});
}

void DiscoveryDuty::Execute(ServersUpdated action) {
  const auto& updated = action.change.updated;
  for (const auto& entry : updated) {
    Log(LogLevel::kDebug, "server_entry",
        {{"server", entry.id},
         {"service", entry.service},
         {"address", entry.address},
         {"draining", entry.draining},
         {"sequence", entry.sequence}});
  }
  Log(LogLevel::kInfo, "servers_changed",
      {{"updated", updated.size()},
       {"removed", action.change.removed},
       {"draining",
        std::count_if(updated.begin(), updated.end(),
                      [](const ServerEntry& entry) { return entry.draining; })},
       {"era", action.position.era},
       {"revision", action.position.revision}});
  dispatch_mailbox_->PostResult(ServersChanged{std::move(action.change)});
}

void DiscoveryDuty::Execute(EvacuationsUpdated action) {
  Log(LogLevel::kWarning, "evacuations_changed",
      {{"data_centres", action.data_centres},
       {"era", action.position.era},
       {"revision", action.position.revision}});
  for (const auto& data_centre : action.data_centres) {
    if (regions_.count(data_centre) == 0) {
      Log(LogLevel::kWarning, "evacuation_unknown",
          {{"data_centre", data_centre}});
    }
  }
  dispatch_mailbox_->PostResult(
      EvacuationsChanged{std::move(action.data_centres)});
}

void DiscoveryDuty::Execute(InstancesUpdated action) {
  Log(LogLevel::kInfo, "instances_changed",
      {{"instances", action.instances.size()}, {"reader", action.reads_store}});
  dispatch_mailbox_->PostResult(InstancesChanged{std::move(action.instances)});
}

void DiscoveryDuty::Execute(const StoreReachabilityChanged& action) {
  Log(action.reachable ? LogLevel::kInfo : LogLevel::kWarning,
      action.reachable ? "store_regained" : "store_lost",
      {{"era", action.position.era}, {"revision", action.position.revision}});
}

void DiscoveryDuty::Execute(const StoreRestored& action) {
  Log(LogLevel::kWarning, "store_restored",
      {{"known_era", action.known.era},
       {"known_revision", action.known.revision},
       {"era", action.restored.era},
       {"revision", action.restored.revision},
       {"routes_version", engine_.routes_version()}});
}

void DiscoveryDuty::Execute(const SourceOutdated& action) {
  Log(LogLevel::kWarning, "feed_outdated",
      {{"from", action.from},
       {"its_era", action.position.era},
       {"its_revision", action.position.revision},
       {"era", action.known.era},
       {"revision", action.known.revision}});
}

void DiscoveryDuty::Execute(const FirstRoutesHeld& action) {
  Log(LogLevel::kWarning, "first_routes_held",
      {{"version", action.version}, {"asked", action.requests}});
}

}  // namespace limpetrudder
