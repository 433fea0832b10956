#include "membership/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpetrudder {
namespace {

constexpr Duration kRoundInterval = Seconds(1);
constexpr Duration kSuspicionTimeout = Seconds(3);
constexpr Duration kDeadRetention = Seconds(120);
constexpr std::size_t kUpdatesPerMessage = 8;
constexpr std::size_t kIndirectProbes = 2;
constexpr std::uint64_t kRoundsPerTableComparison = 30;
constexpr std::size_t kLeaveMessages = 4;
constexpr std::size_t kMaxContacts = 32;  // For each data centre.
constexpr std::uint64_t kRoundsPerLostContact = 3;
constexpr std::uint64_t kMaxJoinRounds = 3;

int Severity(MemberState state) {
  return static_cast<int>(state);
}

}  // namespace

Membership::Membership(MembershipSettings settings)
    : self_{std::move(settings.name), std::move(settings.data_centre),
            std::move(settings.peer_address), settings.incarnation,
            MemberState::kAlive},
      random_(settings.seed) {
  updates_.Push(self_);
}

void Membership::OnSeeds(const std::vector<MemberUpdate>& seeds, Time now) {
  for (const auto& seed : seeds) {
    if (seed.name == self_.name)
      continue;
    const auto known = members_.find(seed.name);
    if (known != members_.end() && seed.state != MemberState::kLeft)
      continue;
    MemberUpdate update = seed;
    if (known != members_.end())
      update.incarnation = known->second.info.incarnation;
    Apply(update, now);
  }
}

void Membership::Apply(const MemberUpdate& update, Time now) {
  if (update.name == self_.name) {
    if (update.state != MemberState::kAlive &&
        update.incarnation >= self_.incarnation &&
        self_.state == MemberState::kAlive) {
      Refute(update.incarnation);
    }
    return;
  }
  const auto known = members_.find(update.name);
  if (known != members_.end()) {
    const MemberUpdate& old = known->second.info;
    const bool newer = update.incarnation > old.incarnation ||
                       (update.incarnation == old.incarnation &&
                        Severity(update.state) > Severity(old.state));
    if (!newer)
      return;
  } else if (!CountsAsLive(update.state)) {
    return;
  }
  Member& member = members_[update.name];
  const bool was_live =
      known != members_.end() && CountsAsLive(member.info.state);
  const bool moved = member.info.peer_address != update.peer_address;
  member.info = update;
  index_.reset();
  RecordContact(update);
  if (update.state == MemberState::kSuspect)
    member.suspect_since = now;
  if (!CountsAsLive(update.state))
    member.dead_since = now;
  if (was_live != CountsAsLive(update.state) || moved)
    changed_ = true;
  updates_.Push(update);
}

void Membership::Refute(std::uint64_t incarnation) {
  self_.incarnation = incarnation + 1;
  index_.reset();
  updates_.Push(self_);
}

void Membership::Suspect(const std::string& name, Time now) {
  const auto found = members_.find(name);
  if (found == members_.end() ||
      found->second.info.state != MemberState::kAlive) {
    return;
  }
  MemberUpdate update = found->second.info;
  update.state = MemberState::kSuspect;
  Apply(update, now);
}

ProbeMessage Membership::MakeMessage() {
  ProbeMessage message;
  message.from = self_;
  message.updates = updates_.Take(kUpdatesPerMessage, members_.size() + 1);
  return message;
}

ProbeResponse Membership::OnProbe(const ProbeMessage& message, Time now) {
  const auto known = members_.find(message.from.name);
  const MemberState known_state =
      known == members_.end() ? MemberState::kAlive : known->second.info.state;
  Apply(message.from, now);
  for (const auto& update : message.updates)
    Apply(update, now);
  ProbeResponse response;
  response.updates = updates_.Take(kUpdatesPerMessage, members_.size() + 1);
  // NOTE The response reports a suspected sender's state to it at once, so that
  // it can refute the suspicion.
  if (known_state != MemberState::kAlive && members_.count(message.from.name))
    response.updates.push_back(members_.at(message.from.name).info);
  if (message.hashes.empty())
    return response;
  for (const auto& local : TableHashes()) {
    const bool same_there = std::any_of(
        message.hashes.begin(), message.hashes.end(), [&](const auto& remote) {
          return remote.data_centre == local.data_centre &&
                 remote.hash == local.hash;
        });
    if (!same_there)
      AppendMembersOf(local.data_centre, &response.updates);
  }
  return response;
}

void Membership::OnProbeResponse(std::uint64_t probe,
                                 const ProbeResponse& response,
                                 Time now) {
  const auto found = pending_.find(probe);
  if (found == pending_.end())
    return;
  indirect_pending_.erase(found->second.name);
  pending_.erase(found);
  joined_ = true;
  for (const auto& update : response.updates)
    Apply(update, now);
}

void Membership::OnProbeFailed(std::uint64_t probe, Time now) {
  const auto found = pending_.find(probe);
  if (found == pending_.end())
    return;
  const PendingProbe pending = found->second;
  pending_.erase(found);
  if (pending.name.empty())
    return;
  if (!pending.indirect)
    return SendIndirectProbes(pending.name);
  const auto in_flight = indirect_pending_.find(pending.name);
  if (in_flight == indirect_pending_.end())
    return;
  if (--in_flight->second > 0)
    return;
  indirect_pending_.erase(in_flight);
  Suspect(pending.name, now);
}

void Membership::SendIndirectProbes(const std::string& name) {
  const auto target = members_.find(name);
  if (target == members_.end())
    return;
  std::vector<std::string> intermediaries;
  for (const auto& intermediary : index().Find(self_.data_centre).live) {
    if (intermediary != name && intermediary != self_.name)
      intermediaries.push_back(intermediary);
  }
  int sent = 0;
  for (std::size_t i = 0; i < kIndirectProbes && !intermediaries.empty(); ++i) {
    const std::size_t pick = random_.Below(intermediaries.size());
    ProbeMessage message = MakeMessage();
    message.indirect_address = target->second.info.peer_address;
    pending_[next_probe_] = {name, true, round_};
    probes_.push_back({next_probe_++,
                       members_.at(intermediaries[pick]).info.peer_address,
                       std::move(message)});
    intermediaries.erase(intermediaries.begin() +
                         static_cast<std::ptrdiff_t>(pick));
    ++sent;
  }
  if (sent > 0) {
    indirect_pending_[name] = sent;
    return;
  }
  // NOTE No other instance can probe the member, so a second direct probe
  // decides.
  pending_[next_probe_] = {name, true, round_};
  indirect_pending_[name] = 1;
  probes_.push_back(
      {next_probe_++, target->second.info.peer_address, MakeMessage()});
}

void Membership::ProbeNextMember(Time) {
  while (true) {
    if (probe_order_.empty()) {
      for (const auto& name : index().Find(self_.data_centre).live) {
        if (name != self_.name)
          probe_order_.push_back(name);
      }
      if (probe_order_.empty())
        return;
      for (std::size_t i = probe_order_.size() - 1; i > 0; --i)
        std::swap(probe_order_[i], probe_order_[random_.Below(i + 1)]);
    }
    const std::string name = std::move(probe_order_.back());
    probe_order_.pop_back();
    const auto member = members_.find(name);
    if (member == members_.end() || !CountsAsLive(member->second.info.state))
      continue;
    pending_[next_probe_] = {name, false, round_};
    ProbeMessage message = MakeMessage();
    // NOTE A suspect always gets its own state, so that it can refute it.
    if (member->second.info.state == MemberState::kSuspect)
      message.updates.push_back(member->second.info);
    if (!joined_ || round_ % kRoundsPerTableComparison == 0)
      message.hashes = TableHashes();
    probes_.push_back(
        {next_probe_++, member->second.info.peer_address, std::move(message)});
    return;
  }
}

void Membership::ProbeRemoteRelay(Time) {
  if (!IsRelay())
    return;
  std::vector<const detail::MemberIndex::DataCentre*> others;
  for (const auto& [name, entry] : index().data_centres()) {
    if (name != self_.data_centre)
      others.push_back(&entry);
  }
  if (others.empty())
    return;
  const auto& other = *others[random_.Below(others.size())];
  // NOTE All relays known from before a network partition may be gone by its
  // end, so every few rounds the probe goes to any member instead.
  const bool any = round_ % kRoundsPerLostContact == 0;
  const auto& candidates = any ? other.live : other.relays;
  const std::string& pick = candidates[random_.Below(candidates.size())];
  pending_[next_probe_] = {std::string(), false, round_};
  ProbeMessage message = MakeMessage();
  // NOTE Updates of this data centre reach other data centres by the comparison
  // of tables, so that a burst that was dropped from the queue while they were
  // cut off still arrives.
  message.hashes = TableHashes();
  probes_.push_back(
      {next_probe_++, members_.at(pick).info.peer_address, std::move(message)});
}

void Membership::RecordContact(const MemberUpdate& update) {
  auto& contacts = contacts_[update.data_centre];
  if (update.state == MemberState::kLeft) {
    contacts.erase(update.name);
    return;
  }
  contacts[update.name] = update.peer_address;
  if (contacts.size() > kMaxContacts)
    contacts.erase(
        std::next(contacts.begin(),
                  static_cast<std::ptrdiff_t>(random_.Below(contacts.size()))));
}

void Membership::ProbeLostContact() {
  if (round_ % kRoundsPerLostContact != 0)
    return;
  std::vector<std::pair<std::string, std::string>> lost;
  for (const auto& [data_centre, contacts] : contacts_) {
    const bool own = data_centre == self_.data_centre;
    const auto& live = index().Find(data_centre).live;
    if (!own && (!live.empty() || !IsRelay()))
      continue;
    for (const auto& [name, address] : contacts) {
      if (std::find(live.begin(), live.end(), name) == live.end())
        lost.emplace_back(name, address);
    }
  }
  if (lost.empty())
    return;
  const auto& [name, address] = lost[random_.Below(lost.size())];
  pending_[next_probe_] = {std::string(), false, round_};
  ProbeMessage message = MakeMessage();
  message.hashes = TableHashes();
  // NOTE The message includes the instance's own state, so that it can refute
  // it.
  if (const auto known = members_.find(name); known != members_.end())
    message.updates.push_back(known->second.info);
  probes_.push_back({next_probe_++, address, std::move(message)});
}

void Membership::ExpireSuspects(Time now) {
  std::vector<MemberUpdate> dead;
  for (const auto& [name, member] : members_) {
    if (member.info.state == MemberState::kSuspect &&
        member.info.data_centre == self_.data_centre &&
        now - member.suspect_since >= kSuspicionTimeout) {
      dead.push_back(member.info);
      dead.back().state = MemberState::kDead;
    }
  }
  for (const auto& update : dead)
    Apply(update, now);
  std::erase_if(members_, [&](const auto& entry) {
    return !CountsAsLive(entry.second.info.state) &&
           now - entry.second.dead_since >= kDeadRetention;
  });
}

Time Membership::Tick(Time now) {
  if (now < next_round_)
    return next_round_;
  ++round_;
  next_round_ = now + kRoundInterval;
  if (round_ > kMaxJoinRounds)
    joined_ = true;
  ExpireSuspects(now);
  ProbeNextMember(now);
  ProbeRemoteRelay(now);
  ProbeLostContact();
  return next_round_;
}

std::vector<SendProbe> Membership::TakeProbes() {
  return std::exchange(probes_, {});
}

std::vector<SendProbe> Membership::Leave(Time) {
  self_.state = MemberState::kLeft;
  index_.reset();
  updates_.Push(self_);
  std::vector<std::string> addresses = LocalPeers();
  std::vector<SendProbe> messages;
  for (std::size_t i = 0; i < kLeaveMessages && !addresses.empty(); ++i) {
    const std::size_t pick = random_.Below(addresses.size());
    messages.push_back({next_probe_++, addresses[pick], MakeMessage()});
    addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  for (const auto& address : RemoteRelays())
    messages.push_back({next_probe_++, address, MakeMessage()});
  return messages;
}

bool Membership::TakeChanged() {
  return std::exchange(changed_, false);
}

std::vector<Instance> Membership::Live() const {
  std::vector<Instance> live;
  if (CountsAsLive(self_.state))
    live.push_back({self_.name, self_.data_centre, self_.peer_address});
  for (const auto& [name, member] : members_) {
    if (CountsAsLive(member.info.state))
      live.push_back({name, member.info.data_centre, member.info.peer_address});
  }
  return live;
}

const detail::MemberIndex& Membership::index() const {
  if (index_)
    return *index_;
  index_.emplace();
  index_->Add(self_);
  for (const auto& [name, member] : members_)
    index_->Add(member.info);
  index_->Finish();
  return *index_;
}

const std::vector<std::string>& Membership::RelaysOf(
    std::string_view data_centre) const {
  return index().Find(data_centre).relays;
}

bool Membership::IsRelay() const {
  const auto& relays = RelaysOf(self_.data_centre);
  return std::find(relays.begin(), relays.end(), self_.name) != relays.end();
}

std::vector<std::string> Membership::LocalPeers() const {
  std::vector<std::string> addresses;
  for (const auto& name : index().Find(self_.data_centre).live) {
    if (name != self_.name)
      addresses.push_back(members_.at(name).info.peer_address);
  }
  return addresses;
}

std::vector<std::string> Membership::RemoteRelays() const {
  std::vector<std::string> addresses;
  for (const auto& [name, entry] : index().data_centres()) {
    if (name == self_.data_centre)
      continue;
    const std::string& pick = entry.relays[round_ % entry.relays.size()];
    addresses.push_back(members_.at(pick).info.peer_address);
  }
  return addresses;
}

void Membership::AppendMembersOf(std::string_view data_centre,
                                 std::vector<MemberUpdate>* out) const {
  if (self_.data_centre == data_centre)
    out->push_back(self_);
  for (const auto& [name, member] : members_) {
    if (member.info.data_centre == data_centre)
      out->push_back(member.info);
  }
}

std::vector<MemberUpdate> Membership::Table() const {
  std::vector<MemberUpdate> table{self_};
  for (const auto& [name, member] : members_)
    table.push_back(member.info);
  return table;
}

std::vector<TableHash> Membership::TableHashes() const {
  std::vector<TableHash> list;
  for (const auto& [name, entry] : index().data_centres())
    list.push_back({name, entry.hash});
  return list;
}

}  // namespace limpetrudder
