#include "app/control_duty.h"

#include <algorithm>
#include <utility>

#include "app/internal/json_api.h"
#include "framework/hash.h"
#include "framework/http_status.h"
#include "framework/logger.h"
#include "query/answer_json.h"

namespace limpetrudder {
namespace {

constexpr Duration kProbeTimeout = Millis(400);
constexpr Duration kPullTimeout = Millis(800);
constexpr Duration kPlatformRetry = Millis(500);
constexpr Duration kPlatformRetryNonRelay = Seconds(5);
constexpr Duration kListInterval = Seconds(1);
constexpr Duration kRootReadCheckInterval = Millis(200);
constexpr Duration kMergeInterval = Seconds(1);
constexpr Duration kLeavingListLifetime = Seconds(30);
constexpr std::size_t kMaxPeersProbedAfterFreeze = 3;

}  // namespace

ControlDuty::ControlDuty(const Settings& settings,
                         std::uint64_t incarnation,
                         InstanceState* instance_state,
                         PlatformClient* platform,
                         PeerClient* peers)
    : settings_(settings),
      instance_state_(instance_state),
      platform_(platform),
      peers_(peers),
      membership_({settings.instance, settings.data_centre,
                   settings.peer_address, incarnation,
                   Hash64(settings.instance, incarnation)}),
      distributor_(Hash64(settings.instance, incarnation + 1)) {
  membership_.OnSeeds(settings.seeds, Time());
}

void ControlDuty::SetMailboxes(Mailbox* own,
                               SearchDuty::Mailbox* search,
                               WriteDuty::Mailbox* write) {
  mailbox_ = own;
  search_mailbox_ = search;
  write_mailbox_ = write;
}

void ControlDuty::Handle(ControlEvent event, Time now) {
  std::visit([&](auto& typed) { On(std::move(typed), now); }, event);
  ExecuteActions(now);
}

Time ControlDuty::Tick(Time now) {
  if (guard_.OnTick(now)) {
    Log(LogLevel::kWarning, "frozen", {{"revision", distributor_.revision()}});
    std::size_t probed = 0;
    for (const auto& address : membership_.LocalPeers()) {
      if (probed++ == kMaxPeersProbedAfterFreeze)
        break;
      Execute(AnnounceRevision{address, distributor_.revision()}, now);
    }
  }
  Time next = membership_.Tick(now);
  if (now >= next_merge_) {
    next_merge_ = now + kMergeInterval;
    MergeLeavingLists(now);
  }
  next = std::min(next, distributor_.Tick(now));
  SyncWithPlatform(now);
  RunPublishJobs(now);
  ExecuteActions(now);
  next = std::min({next, next_merge_, next_root_read_, next_list_});
  for (const auto& [id, job] : jobs_)
    next = std::min(next, job.next_call_at);
  return std::max(next, now + Millis(1));
}

void ControlDuty::ExecuteActions(Time now) {
  for (const auto& probe : membership_.TakeProbes())
    SendMemberProbe(probe, now);
  if (membership_.TakeChanged())
    PostFleetChanged();
  if (membership_.joined())
    instance_state_->SetJoined();
  for (const auto& action : distributor_.TakeActions())
    std::visit([&](const auto& typed) { Execute(typed, now); }, action);
}

void ControlDuty::PostFleetChanged() {
  const std::vector<Instance> live = membership_.Live();
  instance_state_->metrics().Set("instances_live",
                                 static_cast<std::int64_t>(live.size()));
  distributor_.SetPeers({membership_.LocalPeers(), membership_.RemoteRelays()});
  search_mailbox_->PostResult(FleetChanged{live});
  write_mailbox_->PostResult(FleetChanged{live});
}

PeerProbe ControlDuty::MakeProbe() const {
  PeerProbe probe;
  probe.revision = distributor_.revision();
  if (!own_leaving_.empty() || membership_.IsRelay())
    probe.leaving.emplace(own_leaving_.begin(), own_leaving_.end());
  return probe;
}

void ControlDuty::SendMemberProbe(const SendProbe& action, Time now) {
  PeerProbe probe = MakeProbe();
  probe.message = action.message;
  const bool indirect = !action.message.indirect_address.empty();
  peers_->Probe(
      action.address, probe, indirect ? kProbeTimeout * 2 : kProbeTimeout,
      [mailbox = mailbox_, id = action.probe, address = action.address,
       now](std::optional<PeerProbeReply> reply) {
        mailbox->PostResult(
            MemberProbeEnded{id, address, now, std::move(reply)});
      });
}

void ControlDuty::On(PeerProbeCall event, Time now) {
  const PeerProbe& probe = event.probe;
  if (!probe.message.indirect_address.empty())
    ProbeForPeer(probe, event.reply);
  const ProbeResponse answer = membership_.OnProbe(probe.message, now);
  distributor_.OnPeerRevision(probe.message.from.peer_address, probe.revision,
                              now);
  if (probe.leaving) {
    leaving_by_relay_[probe.message.from.name] = {
        {probe.leaving->begin(), probe.leaving->end()}, now};
    MergeLeavingLists(now);
  }
  if (probe.message.indirect_address.empty())
    event.reply({answer, distributor_.revision(), true});
}

void ControlDuty::ProbeForPeer(const PeerProbe& probe,
                               std::function<void(PeerProbeReply)> reply) {
  PeerProbe direct = MakeProbe();
  direct.message = probe.message;
  direct.message.indirect_address.clear();
  const std::uint64_t revision = distributor_.revision();
  peers_->Probe(probe.message.indirect_address, direct, kProbeTimeout,
                [reply = std::move(reply),
                 revision](std::optional<PeerProbeReply> result) {
                  if (result)
                    reply(std::move(*result));
                  else
                    reply({ProbeResponse(), revision, false});
                });
}

void ControlDuty::OnPeerRevision(const std::string& address,
                                 std::uint64_t revision,
                                 Time sent_at,
                                 Time now) {
  distributor_.OnPeerRevision(address, revision, now);
  if (revision <= distributor_.revision())
    instance_state_->RecordConfirmation(sent_at);
}

void ControlDuty::On(const MemberProbeEnded& event, Time now) {
  if (!event.reply || !event.reply->reached) {
    if (event.probe != 0)
      membership_.OnProbeFailed(event.probe, now);
    return;
  }
  if (event.probe != 0)
    membership_.OnProbeResponse(event.probe, event.reply->answer, now);
  OnPeerRevision(event.address, event.reply->revision, event.sent_at, now);
}

void ControlDuty::On(const PeerPullCall& event, Time) {
  PeerPullReply reply;
  reply.manifest = distributor_.manifest();
  for (const auto& name : event.pull.parts) {
    const auto found = distributor_.texts().find(name);
    if (found != distributor_.texts().end())
      reply.parts.insert(*found);
  }
  if (!event.pull.parts.empty())
    reply.manifest.parts.clear();
  event.reply(std::move(reply));
}

void ControlDuty::On(const PullEnded& event, Time now) {
  if (!event.reply)
    return distributor_.OnFetchFailed(event.address);
  if (event.parts_requested)
    distributor_.OnParts(event.address, event.reply->parts, now);
  else
    distributor_.OnManifest(event.address, event.reply->manifest, now);
}

void ControlDuty::Execute(const FetchManifest& action, Time) {
  peers_->Pull(
      action.peer, {}, kPullTimeout,
      [mailbox = mailbox_,
       address = action.peer](std::optional<PeerPullReply> reply) {
        mailbox->PostResult(PullEnded{address, false, std::move(reply)});
      });
}

void ControlDuty::Execute(const FetchParts& action, Time) {
  if (!action.peer.empty()) {
    peers_->Pull(
        action.peer, {action.names}, kPullTimeout,
        [mailbox = mailbox_,
         address = action.peer](std::optional<PeerPullReply> reply) {
          mailbox->PostResult(PullEnded{address, true, std::move(reply)});
        });
    return;
  }
  platform_parts_.clear();
  platform_parts_pending_ = action.names.size();
  for (const auto& name : action.names) {
    platform_->Call(
        {KvCallKind::kRead, PartKey(name), std::string(), 0},
        [mailbox = mailbox_, name](KvReply reply) {
          mailbox->PostResult(PlatformPartRead{name, std::move(reply)});
        });
  }
}

void ControlDuty::On(const PlatformPartRead& event, Time now) {
  if (event.reply.status == KvStatus::kOk) {
    platform_parts_[event.name] =
        std::make_shared<const std::string>(event.reply.value);
  }
  if (platform_parts_pending_ > 0 && --platform_parts_pending_ == 0)
    distributor_.OnParts(std::string(), platform_parts_, now);
}

void ControlDuty::Execute(const AnnounceRevision& action, Time now) {
  PeerProbe probe = MakeProbe();
  probe.message.from = membership_.Table().front();
  probe.revision = action.revision;
  peers_->Probe(action.peer, probe, kProbeTimeout,
                [mailbox = mailbox_, address = action.peer,
                 now](std::optional<PeerProbeReply> reply) {
                  mailbox->PostResult(
                      MemberProbeEnded{0, address, now, std::move(reply)});
                });
}

void ControlDuty::Execute(const ApplyConfig& action, Time) {
  instance_state_->SetConfig(action.config);
  instance_state_->metrics().Set(
      "revision", static_cast<std::int64_t>(action.config->revision));
  Log(LogLevel::kInfo, "config_in_force",
      {{"revision", action.config->revision}});
  search_mailbox_->PostResult(ConfigChanged{action.config});
  write_mailbox_->PostResult(ConfigChanged{action.config});
}

void ControlDuty::Execute(const ConfigAlarm& action, Time) {
  instance_state_->metrics().Add("alarms." + std::string(NameOf(action.code)));
  Log(LogLevel::kError, "config_alarm",
      {{"code", NumberOf(action.code)}, {"message", action.message}});
}

void ControlDuty::SyncWithPlatform(Time now) {
  const bool relay = membership_.IsRelay();
  // NOTE Only relays watch the platform; other instances read it only while
  // they have no configuration at all. A new instance asks its peers first,
  // which saves the platform one read per part at each restart.
  const bool only_instance = listed_once_ && membership_.Live().size() <= 1;
  const bool needs_root = (membership_.joined() || only_instance) &&
                          (relay || distributor_.revision() == 0);
  if (needs_root && !root_read_pending_ && now >= next_root_read_) {
    root_read_pending_ = true;
    ReadRoot(/*watch=*/relay && root_kv_revision_ > 0);
  }
  if (now >= next_list_ && !list_pending_) {
    next_list_ = now + kListInterval;
    if (relay || membership_.Live().size() <= 1) {
      list_pending_ = true;
      platform_->List([mailbox = mailbox_](std::optional<PlatformList> list) {
        mailbox->PostResult(PlatformListRead{std::move(list)});
      });
    }
  }
  if (!needs_root || root_read_pending_)
    next_root_read_ = now + kRootReadCheckInterval;
}

void ControlDuty::ReadRoot(bool watch) {
  const KvCall call{watch ? KvCallKind::kWatch : KvCallKind::kRead, kRootKey,
                    std::string(), root_kv_revision_};
  platform_->Call(call, [mailbox = mailbox_, watch](KvReply reply) {
    mailbox->PostResult(RootRead{std::move(reply), watch});
  });
}

void ControlDuty::On(const RootRead& event, Time now) {
  root_read_pending_ = false;
  next_root_read_ = now;
  const KvStatus status = event.reply.status;
  platform_up_ =
      status != KvStatus::kUnavailable && status != KvStatus::kUnknown;
  instance_state_->metrics().Set("platform_up", platform_up_ ? 1 : 0);
  if (status == KvStatus::kUnchanged)
    return;
  if (status != KvStatus::kOk) {
    next_root_read_ =
        now + (membership_.IsRelay() ? kPlatformRetry : kPlatformRetryNonRelay);
    root_kv_revision_ = 0;
    return;
  }
  root_kv_revision_ = event.reply.revision;
  const auto root = limpetrudder::ReadRoot(event.reply.value);
  if (!root) {
    Execute(ConfigAlarm{root.error().code, root.error().message}, now);
    next_root_read_ = now + kPlatformRetry;
    return;
  }
  distributor_.OnPlatformRoot(root.assume_value().manifest, now);
}

void ControlDuty::On(const PlatformListRead& event, Time now) {
  list_pending_ = false;
  listed_once_ = true;
  if (!event.list)
    return;
  membership_.OnSeeds(event.list->instances, now);
  const std::set<std::string> leaving(event.list->leaving_targets.begin(),
                                      event.list->leaving_targets.end());
  const bool changed = leaving != own_leaving_;
  own_leaving_ = leaving;
  leaving_by_relay_[settings_.instance] = {leaving, now};
  MergeLeavingLists(now);
  if (!changed)
    return;
  for (const auto& address : membership_.LocalPeers())
    Execute(AnnounceRevision{address, distributor_.revision()}, now);
}

void ControlDuty::MergeLeavingLists(Time now) {
  std::erase_if(leaving_by_relay_, [&](const auto& entry) {
    return now - entry.second.received >= kLeavingListLifetime;
  });
  std::set<std::string> all;
  for (const auto& [relay, listed] : leaving_by_relay_)
    all.insert(listed.servers.begin(), listed.servers.end());
  if (all == merged_leaving_)
    return;
  merged_leaving_ = all;
  search_mailbox_->PostResult(LeavingChanged{std::move(all)});
}

void ControlDuty::On(SubmitChange event, Time now) {
  // NOTE The revision known here may be too low if this instance is new and the
  // platform was restored from an older copy; peers may know a higher one.
  auto shared_event = std::make_shared<SubmitChange>(std::move(event));
  PollRevisions(
      [this, shared_event](const RevisionPoll& poll, Time poll_end) {
        std::uint64_t highest = distributor_.revision();
        for (const auto& [address, revision] : poll.revisions)
          highest = std::max(highest, revision.value_or(0));
        BeginPublish(std::move(*shared_event), highest, poll_end);
      },
      now);
}

void ControlDuty::BeginPublish(SubmitChange event,
                               std::uint64_t highest_revision,
                               Time now) {
  const std::uint64_t id = next_id_++;
  PublishJob job;
  job.document = event.change.document;
  job.respond = std::move(event.respond);
  job.publisher =
      std::make_unique<Publisher>(std::move(event.change), highest_revision);
  job.next_call_at = now;
  jobs_[id] = std::move(job);
  RunPublishJobs(now);
}

void ControlDuty::RunPublishJobs(Time now) {
  for (auto& [id, job] : jobs_) {
    if (job.next_call_at > now)
      continue;
    job.next_call_at = kNever;
    platform_->Call(*job.publisher->next_call(),
                    [mailbox = mailbox_, id = id](KvReply reply) {
                      mailbox->PostResult(PublishReply{id, std::move(reply)});
                    });
  }
}

void ControlDuty::On(const PublishReply& event, Time now) {
  const auto found = jobs_.find(event.job);
  if (found == jobs_.end())
    return;
  PublishJob& job = found->second;
  const bool failed = event.reply.status == KvStatus::kUnavailable ||
                      event.reply.status == KvStatus::kUnknown;
  job.publisher->OnReply(event.reply);
  if (job.publisher->outcome())
    return FinishPublish(event.job, now);
  job.next_call_at = failed ? now + job.publisher->delay() : now;
  RunPublishJobs(now);
}

void ControlDuty::FinishPublish(std::uint64_t id, Time now) {
  PublishJob job = std::move(jobs_.at(id));
  jobs_.erase(id);
  const PublishOutcome& outcome = *job.publisher->outcome();
  Log(LogLevel::kInfo, "change_submitted",
      {{"code", NumberOf(outcome.code)}, {"revision", outcome.revision}});
  nlohmann::ordered_json body;
  body["code"] = WriteCode(outcome.code);
  body["revision"] = outcome.revision;
  body["message"] = outcome.message;
  if (!outcome.since_base.empty()) {
    body["since_base"] = nlohmann::ordered_json::array();
    for (const auto& record : outcome.since_base)
      body["since_base"].push_back(
          nlohmann::ordered_json(WriteChangeRecord(record)));
  }
  job.respond({HttpStatusOf(outcome.code), body.dump()});
  if (outcome.code != ResultCode::kOk ||
      outcome.revision <= distributor_.revision()) {
    return;
  }
  // NOTE This instance already holds all parts of the new configuration, so it
  // applies it without waiting for a relay.
  Manifest manifest = job.document.manifest;
  manifest.revision = outcome.revision;
  distributor_.OnPlatformRoot(manifest, now);
  distributor_.OnParts(std::string(), job.document.texts, now);
}

void ControlDuty::On(HistoryRequest event, Time) {
  platform_->Call(
      {KvCallKind::kRead, kRootKey, std::string(), 0},
      [mailbox = mailbox_, respond = std::move(event.respond)](KvReply reply) {
        mailbox->PostResult(HistoryRead{std::move(reply), respond});
      });
}

void ControlDuty::On(const HistoryRead& event, Time) {
  if (event.reply.status == KvStatus::kNotFound)
    return event.respond({http_status::kOk, R"({"history":[]})"});
  const auto root = limpetrudder::ReadRoot(event.reply.value);
  if (event.reply.status != KvStatus::kOk || !root) {
    return event.respond(Refusal(ResultCode::kPlatformUnavailable,
                                 "the history can't be read now"));
  }
  nlohmann::ordered_json body;
  body["history"] = nlohmann::ordered_json::array();
  for (const auto& record : root.assume_value().history)
    body["history"].push_back(
        nlohmann::ordered_json(WriteChangeRecord(record)));
  event.respond({http_status::kOk, body.dump()});
}

void ControlDuty::On(const DocumentRequest& event, Time) {
  if (distributor_.revision() == 0) {
    return event.respond(Refusal(ResultCode::kConfigNotAvailable,
                                 "no configuration is in force yet"));
  }
  auto document = JoinParts(distributor_.manifest(), distributor_.texts());
  if (!document) {
    return event.respond(
        Refusal(document.error().code, document.error().message));
  }
  nlohmann::ordered_json body;
  body["revision"] = distributor_.revision();
  body["document"] = document.assume_value();
  event.respond({http_status::kOk, body.dump()});
}

void ControlDuty::PollRevisions(
    std::function<void(const RevisionPoll&, Time)> done,
    Time now) {
  const std::uint64_t id = next_id_++;
  RevisionPoll& poll = polls_[id];
  poll.done = std::move(done);
  std::vector<std::string> addresses = membership_.LocalPeers();
  for (auto& address : membership_.RemoteRelays())
    addresses.push_back(std::move(address));
  poll.pending = addresses.size();
  if (addresses.empty())
    return FinishPoll(id, now);
  PeerProbe probe = MakeProbe();
  probe.message.from = membership_.Table().front();
  for (const auto& address : addresses) {
    peers_->Probe(
        address, probe, kProbeTimeout,
        [mailbox = mailbox_, id, address](std::optional<PeerProbeReply> reply) {
          mailbox->PostResult(RevisionPollReply{id, address, std::move(reply)});
        });
  }
}

void ControlDuty::On(const RevisionPollReply& event, Time now) {
  const auto found = polls_.find(event.poll);
  if (found == polls_.end())
    return;
  RevisionPoll& poll = found->second;
  poll.revisions[event.address] =
      event.reply ? std::optional(event.reply->revision) : std::nullopt;
  if (event.reply)
    distributor_.OnPeerRevision(event.address, event.reply->revision, now);
  if (--poll.pending == 0)
    FinishPoll(event.poll, now);
}

void ControlDuty::FinishPoll(std::uint64_t id, Time now) {
  const RevisionPoll poll = std::move(polls_.at(id));
  polls_.erase(id);
  poll.done(poll, now);
}

void ControlDuty::On(StatusRequest event, Time now) {
  PollRevisions(
      [this, respond = std::move(event.respond)](const RevisionPoll& poll,
                                                 Time) {
        respond({http_status::kOk, WriteStatus(poll)});
      },
      now);
}

std::string ControlDuty::WriteStatus(const RevisionPoll& poll) const {
  nlohmann::ordered_json body;
  body["instance"] = settings_.instance;
  body["data_centre"] = settings_.data_centre;
  body["revision"] = distributor_.revision();
  body["relay"] = membership_.IsRelay();
  body["platform_up"] = platform_up_;
  body["stopping"] = instance_state_->stopping();
  body["instances"] = nlohmann::ordered_json::array();
  for (const auto& member : membership_.Table()) {
    nlohmann::ordered_json entry;
    entry["name"] = member.name;
    entry["data_centre"] = member.data_centre;
    entry["state"] = NameOf(kMemberStateNames, member.state);
    const auto polled = poll.revisions.find(member.peer_address);
    if (member.name == settings_.instance) {
      entry["revision"] = distributor_.revision();
    } else if (polled != poll.revisions.end() && polled->second) {
      entry["revision"] = *polled->second;
      entry["behind"] = *polled->second < distributor_.revision();
    } else if (polled != poll.revisions.end()) {
      entry["revision"] = nullptr;
    }
    body["instances"].push_back(std::move(entry));
  }
  return body.dump();
}

void ControlDuty::On(const LeaveFleet&, Time now) {
  if (has_left_)
    return;
  has_left_ = true;
  for (const auto& probe : membership_.Leave(now))
    SendMemberProbe(probe, now);
}

}  // namespace limpetrudder
