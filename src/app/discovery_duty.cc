#include "app/discovery_duty.h"

#include <algorithm>
#include <utility>

#include "framework/clock.h"
#include "framework/logger.h"

namespace limpetrudder {

DiscoveryDuty::DiscoveryDuty(DiscoverySettings settings, DiscoveryPorts ports)
    : engine_(std::move(settings)), ports_(std::move(ports)) {}

void DiscoveryDuty::SetMailboxes(Mailbox* own,
                                 DispatchDuty::Mailbox* dispatch) {
  mailbox_ = own;
  dispatch_ = dispatch;
}

void DiscoveryDuty::Handle(DiscoveryEvent event, Time now) {
  std::visit([&](auto&& e) { On(std::forward<decltype(e)>(e), now); },
             std::move(event));
  Execute();
}

Time DiscoveryDuty::Turn(Time now) {
  const Time next = engine_.Turn(now);
  Execute();
  return next;
}

void DiscoveryDuty::On(StoreReplied event, Time now) {
  engine_.OnStoreReply(std::move(event.reply), now);
}

void DiscoveryDuty::On(const LeaseReplied& event, Time now) {
  engine_.OnLeaseReply(event.reply, now);
}

void DiscoveryDuty::On(const LeaveStore&, Time) {
  engine_.Leave();
}

void DiscoveryDuty::On(PassedOn event, Time now) {
  if (event.reply.status != FeedStatus::kOk)
    Log(LogLevel::kWarning, "feed_failed",
        {{"from", event.from},
         {"reason", NameOf(kFeedRequestReasonNames, event.reason)}});
  engine_.OnFeedResponse(event.from, event.reason, std::move(event.reply), now);
}

void DiscoveryDuty::On(const NewerRoutesSeen& event, Time now) {
  engine_.OnNewerRoutes(event.instance, event.routes_version, now);
}

void DiscoveryDuty::On(InstanceAsked event, Time now) {
  const std::uint64_t id = next_question_++;
  asking_[id] = std::move(event.respond);
  engine_.OnFeedRequest(id, event.question, now);
}

void DiscoveryDuty::Execute() {
  for (auto& action : engine_.TakeActions()) {
    std::visit([this](auto&& a) { Do(std::forward<decltype(a)>(a)); },
               std::move(action));
  }
}

void DiscoveryDuty::Do(const CallStore& action) {
  ports_.read(action.call, [mailbox = mailbox_](FeedReply reply) {
    mailbox->PostResult(StoreReplied{std::move(reply)});
  });
}

void DiscoveryDuty::Do(const CallLease& action) {
  ports_.lease(action.call, [mailbox = mailbox_](const LeaseReply& reply) {
    mailbox->PostResult(LeaseReplied{reply});
  });
}

void DiscoveryDuty::Do(const RequestFeed& action) {
  if (action.reason == FeedRequestReason::kNewerRoutes) {
    Log(LogLevel::kInfo, "routes_outdated",
        {{"version", engine_.routes_version()},
         {"newer_at", action.instance.name}});
  }
  ports_.ask(action.instance, action.request,
             [mailbox = mailbox_, from = action.instance.name,
              reason = action.reason](FeedReply reply) {
               mailbox->PostResult(PassedOn{from, reason, std::move(reply)});
             });
}

void DiscoveryDuty::Do(const SendFeedResponse& action) {
  const auto respond = asking_.extract(action.id);
  respond.mapped()(engine_.MakeFeedResponse(action.request, SteadyNow()));
}

void DiscoveryDuty::Do(RoutesUpdated action) {
  dispatch_->PostResult(RoutesChanged{std::move(action.routes)});
}

void DiscoveryDuty::Do(ServersUpdated action) {
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
  dispatch_->PostResult(ServersChanged{std::move(action.change)});
}

void DiscoveryDuty::Do(InstancesUpdated action) {
  Log(LogLevel::kInfo, "instances_changed",
      {{"instances", action.instances.size()}, {"reader", action.reads_store}});
  dispatch_->PostResult(InstancesChanged{std::move(action.instances)});
}

void DiscoveryDuty::Do(const StoreReachabilityChanged& action) {
  Log(action.reachable ? LogLevel::kInfo : LogLevel::kWarning,
      action.reachable ? "store_regained" : "store_lost",
      {{"era", action.position.era}, {"revision", action.position.revision}});
}

void DiscoveryDuty::Do(const StoreRestored& action) {
  Log(LogLevel::kWarning, "store_restored",
      {{"known_era", action.known.era},
       {"known_revision", action.known.revision},
       {"era", action.restored.era},
       {"revision", action.restored.revision},
       {"routes_version", engine_.routes_version()}});
}

void DiscoveryDuty::Do(const SourceOutdated& action) {
  Log(LogLevel::kWarning, "feed_outdated",
      {{"from", action.from},
       {"its_era", action.position.era},
       {"its_revision", action.position.revision},
       {"era", action.known.era},
       {"revision", action.known.revision}});
}

void DiscoveryDuty::Do(const FirstRoutesHeld& action) {
  Log(LogLevel::kWarning, "first_routes_held",
      {{"version", action.version}, {"asked", action.requests}});
}

}  // namespace limpetrudder
