#include "app/discovery_duty.h"

#include <algorithm>
#include <utility>

#include "framework/logger.h"
#include "net/feed_client.h"

namespace limpetrudder {
namespace {

// Questions that wait; beyond them an instance is answered at once.
constexpr std::size_t kMostWaiting = 512;

}  // namespace

DiscoveryDuty::DiscoveryDuty(StoreFollowerSettings settings,
                             InstanceEntry own,
                             const std::map<std::string, std::string>& regions,
                             DiscoveryPorts ports)
    : follower_(settings),
      registrar_(own, settings.seed),
      source_(own, regions, settings.seed),
      ports_(std::move(ports)) {}

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

void DiscoveryDuty::On(PassedOn event, Time now) {
  const bool failed = event.reply.status != FeedStatus::kOk;
  if (failed)
    Log(LogLevel::kWarning, "feed_failed", {{"from", event.from}});
  if (event.ahead)
    source_.OnAheadEnded();
  else if (failed)
    source_.OnFailure(event.from, now);
  else
    source_.OnAnswer(event.from, event.reply.age, now);
  if (failed)
    return;
  if (const auto batch = follower_.OnPassedOn(std::move(event.reply), now))
    OnBatch(*batch, now);
}

void DiscoveryDuty::On(const NewerRoutesSeen& event, Time now) {
  if (routes_ && routes_->version() >= event.routes_version)
    return;
  const auto instance = source_.AskAhead(event.instance, now);
  if (!instance)
    return;
  Log(LogLevel::kInfo, "routes_outdated",
      {{"version", routes_ ? routes_->version() : 0},
       {"newer", event.routes_version},
       {"seen_at", event.instance}});
  AskFeed(*instance, /*ahead=*/true);
}

void DiscoveryDuty::On(FeedQuestion event, Time now) {
  if (log_.HasNewsSince(event.after) || waiting_.size() >= kMostWaiting)
    return event.respond(AnswerSince(event.after, now));
  waiting_.push_back({std::move(event), now + kFeedWait});
}

void DiscoveryDuty::On(const LeaseReplied& event, Time now) {
  registrar_.OnReply(event.reply, now);
}

void DiscoveryDuty::On(const LeaveStore&, Time) {
  if (const auto call = registrar_.Leave())
    ports_.lease(*call, [](const LeaseReply&) {});
}

void DiscoveryDuty::NoteContact() {
  if (follower_.in_contact() == was_in_contact_)
    return;
  was_in_contact_ = follower_.in_contact();
  Log(was_in_contact_ ? LogLevel::kInfo : LogLevel::kWarning,
      was_in_contact_ ? "store_regained" : "store_lost",
      {{"revision", follower_.revision()}});
}

void DiscoveryDuty::OnBatch(const FeedBatch& batch, Time now) {
  if (batch.store_back)
    directory_.OnStoreBack(now);
  if (batch.whole) {
    log_.Reset(batch.items, follower_.revision());
    instances_.clear();
    instances_changed_ = true;
  }
  std::vector<ServerEntry> listed;
  for (const auto& item : batch.items) {
    const std::string* before = batch.whole ? nullptr : log_.Find(item.key);
    if (before != nullptr && item.value && *before == *item.value)
      continue;
    if (auto decoded = ports_.decode(item)) {
      ApplyItem(item, std::move(*decoded), batch.whole ? &listed : nullptr,
                now);
    }
  }
  if (batch.whole)
    directory_.OnListing(listed, now);
  log_.Advance(follower_.revision());
}

// `listed` collects the servers of a whole listing; null: `item` is a change.
void DiscoveryDuty::ApplyItem(const RawItem& item,
                              FeedItem decoded,
                              std::vector<ServerEntry>* listed,
                              Time now) {
  bool changed = true;
  if (auto* table = std::get_if<std::shared_ptr<const RouteTable>>(&decoded)) {
    if (!routes_ || (*table)->version() > routes_->version()) {
      routes_ = std::move(*table);
      dispatch_->PostResult(RoutesChanged{routes_});
    }
  } else if (const auto* server = std::get_if<ServerEntry>(&decoded)) {
    if (listed != nullptr)
      listed->push_back(*server);
    else
      changed = directory_.OnEntry(*server);
  } else if (const auto* gone = std::get_if<ServerGone>(&decoded)) {
    if (listed == nullptr)
      directory_.OnRemoved(gone->id, now);
  } else if (const auto* instance = std::get_if<InstanceEntry>(&decoded)) {
    InstanceEntry& known = instances_[instance->name];
    instances_changed_ = instances_changed_ || !(known == *instance);
    known = *instance;
  } else if (const auto* left = std::get_if<InstanceGone>(&decoded)) {
    instances_changed_ = instances_.erase(left->name) > 0 || instances_changed_;
  }
  if (listed == nullptr)
    log_.Add(item, changed);
}

void DiscoveryDuty::TellDispatch() {
  if (std::exchange(instances_changed_, false)) {
    InstancesChanged event;
    for (const auto& [name, instance] : instances_)
      event.instances.push_back(instance);
    source_.Update(event.instances);
    Log(LogLevel::kInfo, "instances_changed",
        {{"instances", event.instances.size()},
         {"reader", source_.is_reader()}});
    dispatch_->PostResult(std::move(event));
  }
  DirectoryChange change = directory_.TakeChange();
  if (change.empty())
    return;
  for (const auto& entry : change.updated) {
    Log(LogLevel::kDebug, "server_entry",
        {{"server", entry.id},
         {"service", entry.service},
         {"address", entry.address},
         {"draining", entry.draining},
         {"sequence", entry.sequence}});
  }
  Log(LogLevel::kInfo, "servers_changed",
      {{"updated", change.updated.size()},
       {"removed", change.removed},
       {"draining",
        std::count_if(change.updated.begin(), change.updated.end(),
                      [](const ServerEntry& entry) { return entry.draining; })},
       {"revision", follower_.revision()}});
  dispatch_->PostResult(ServersChanged{std::move(change)});
}

FeedReply DiscoveryDuty::AnswerSince(std::uint64_t after, Time now) const {
  FeedReply reply = log_.Since(after);
  reply.age = follower_.heard() == Time::min() ? FeedSource::kFresh * 2
                                               : now - follower_.heard();
  return reply;
}

void DiscoveryDuty::AnswerQuestions(Time now, Time* next) {
  std::erase_if(waiting_, [&](WaitingQuestion& waiting) {
    const std::uint64_t after = waiting.question.after;
    if (now < waiting.until && !log_.HasNewsSince(after)) {
      *next = std::min(*next, waiting.until);
      return false;
    }
    waiting.question.respond(AnswerSince(after, now));
    return true;
  });
}

void DiscoveryDuty::CallStore(Time now, Time* next) {
  const Time heard = follower_.heard();
  if (!source_.ShouldReadStore(heard, now)) {
    *next = std::min(*next, source_.NextOwnRead(heard) + Millis(1));
    return;
  }
  Time due = kNever;
  if (const auto call = follower_.Turn(now, &due)) {
    source_.OnOwnRead(now);
    ports_.read(*call, [mailbox = mailbox_](FeedReply reply) {
      mailbox->PostResult(StoreReplied{std::move(reply)});
    });
  }
  *next = std::min(*next, due);
}

void DiscoveryDuty::AskInstance(Time now, Time* next) {
  Time due = kNever;
  const auto instance =
      source_.Ask(follower_.heard(), follower_.in_contact(), now, &due);
  *next = std::min(*next, due);
  if (instance)
    AskFeed(*instance, /*ahead=*/false);
}

void DiscoveryDuty::AskFeed(const InstanceEntry& instance, bool ahead) {
  ports_.ask(
      instance, follower_.revision(),
      [mailbox = mailbox_, from = instance.name, ahead](FeedReply reply) {
        mailbox->PostResult(PassedOn{from, std::move(reply), ahead});
      });
}

Time DiscoveryDuty::Turn(Time now) {
  Time next = directory_.Turn(now);
  TellDispatch();
  CallStore(now, &next);
  AskInstance(now, &next);
  AnswerQuestions(now, &next);
  Time next_lease = kNever;
  if (const auto call = registrar_.Turn(now, &next_lease)) {
    ports_.lease(*call, [mailbox = mailbox_](const LeaseReply& reply) {
      mailbox->PostResult(LeaseReplied{reply});
    });
  }
  return std::min(next, next_lease);
}

}  // namespace limpetrudder
