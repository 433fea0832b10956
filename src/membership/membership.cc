#include "membership/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpetrudder {
namespace {

constexpr Duration kRound = Seconds(1);
constexpr Duration kSuspicion = Seconds(3);
constexpr Duration kForgetDeadAfter = Seconds(120);
constexpr std::size_t kUpdatesPerMessage = 8;
constexpr std::size_t kIndirectProbes = 2;
constexpr std::uint64_t kRoundsPerComparison = 30;
constexpr std::size_t kFarewells = 4;
constexpr std::size_t kMaxContacts = 32;  // For each data centre.
constexpr std::uint64_t kRoundsPerLostContact = 3;
constexpr std::uint64_t kLongestJoinRounds = 3;

int Gravity(MemberState state) {
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
                        Gravity(update.state) > Gravity(old.state));
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
  RememberContact(update);
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

ProbeAnswer Membership::OnProbe(const ProbeMessage& message, Time now) {
  const auto known = members_.find(message.from.name);
  const MemberState believed =
      known == members_.end() ? MemberState::kAlive : known->second.info.state;
  Apply(message.from, now);
  for (const auto& update : message.updates)
    Apply(update, now);
  ProbeAnswer answer;
  answer.updates = updates_.Take(kUpdatesPerMessage, members_.size() + 1);
  // NOTE The sender is told at once that it is under suspicion, so that it can
  // refute.
  if (believed != MemberState::kAlive && members_.count(message.from.name))
    answer.updates.push_back(members_.at(message.from.name).info);
  if (message.hashes.empty())
    return answer;
  for (const auto& mine : TableHashes()) {
    const bool same_there = std::any_of(
        message.hashes.begin(), message.hashes.end(), [&](const auto& theirs) {
          return theirs.data_centre == mine.data_centre &&
                 theirs.hash == mine.hash;
        });
    if (!same_there)
      AppendMembersOf(mine.data_centre, &answer.updates);
  }
  return answer;
}

void Membership::OnProbeAnswer(std::uint64_t probe,
                               const ProbeAnswer& answer,
                               Time now) {
  const auto found = pending_.find(probe);
  if (found == pending_.end())
    return;
  indirect_left_.erase(found->second.name);
  pending_.erase(found);
  joined_ = true;
  for (const auto& update : answer.updates)
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
  const auto left = indirect_left_.find(pending.name);
  if (left == indirect_left_.end())
    return;
  if (--left->second > 0)
    return;
  indirect_left_.erase(left);
  Suspect(pending.name, now);
}

void Membership::SendIndirectProbes(const std::string& name) {
  const auto target = members_.find(name);
  if (target == members_.end())
    return;
  std::vector<std::string> helpers;
  for (const auto& helper : index().of(self_.data_centre).live) {
    if (helper != name && helper != self_.name)
      helpers.push_back(helper);
  }
  int sent = 0;
  for (std::size_t i = 0; i < kIndirectProbes && !helpers.empty(); ++i) {
    const std::size_t pick = random_.Below(helpers.size());
    ProbeMessage message = MakeMessage();
    message.indirect_address = target->second.info.peer_address;
    pending_[next_probe_] = {name, true, round_};
    probes_.push_back({next_probe_++,
                       members_.at(helpers[pick]).info.peer_address,
                       std::move(message)});
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(pick));
    ++sent;
  }
  if (sent > 0) {
    indirect_left_[name] = sent;
    return;
  }
  // NOTE Nobody else can look; a second direct probe settles it.
  pending_[next_probe_] = {name, true, round_};
  indirect_left_[name] = 1;
  probes_.push_back(
      {next_probe_++, target->second.info.peer_address, MakeMessage()});
}

void Membership::ProbeNextMember(Time) {
  while (true) {
    if (probe_order_.empty()) {
      for (const auto& name : index().of(self_.data_centre).live) {
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
    // NOTE A suspect is told, whatever else there is to say.
    if (member->second.info.state == MemberState::kSuspect)
      message.updates.push_back(member->second.info);
    if (!joined_ || round_ % kRoundsPerComparison == 0)
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
  // NOTE The relays known from before a cut may all be gone by its end; now and
  // then any member is asked instead.
  const bool any = round_ % kRoundsPerLostContact == 0;
  const auto& candidates = any ? other.live : other.relays;
  const std::string& pick = candidates[random_.Below(candidates.size())];
  pending_[next_probe_] = {std::string(), false, round_};
  ProbeMessage message = MakeMessage();
  // NOTE News of this data centre cross to others by comparison, so that a
  // burst that fell out of the queue while they were cut off still arrives.
  message.hashes = TableHashes();
  probes_.push_back(
      {next_probe_++, members_.at(pick).info.peer_address, std::move(message)});
}

void Membership::RememberContact(const MemberUpdate& update) {
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
    const auto& live = index().of(data_centre).live;
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
  // NOTE It is told what is believed of it, so that it can refute.
  if (const auto known = members_.find(name); known != members_.end())
    message.updates.push_back(known->second.info);
  probes_.push_back({next_probe_++, address, std::move(message)});
}

void Membership::ExpireSuspects(Time now) {
  std::vector<MemberUpdate> dead;
  for (const auto& [name, member] : members_) {
    if (member.info.state == MemberState::kSuspect &&
        member.info.data_centre == self_.data_centre &&
        now - member.suspect_since >= kSuspicion) {
      dead.push_back(member.info);
      dead.back().state = MemberState::kDead;
    }
  }
  for (const auto& update : dead)
    Apply(update, now);
  std::erase_if(members_, [&](const auto& entry) {
    return !CountsAsLive(entry.second.info.state) &&
           now - entry.second.dead_since >= kForgetDeadAfter;
  });
}

Time Membership::Turn(Time now) {
  if (now < next_round_)
    return next_round_;
  ++round_;
  next_round_ = now + kRound;
  if (round_ > kLongestJoinRounds)
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
  std::vector<SendProbe> farewells;
  for (std::size_t i = 0; i < kFarewells && !addresses.empty(); ++i) {
    const std::size_t pick = random_.Below(addresses.size());
    farewells.push_back({next_probe_++, addresses[pick], MakeMessage()});
    addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  for (const auto& address : RemoteRelays())
    farewells.push_back({next_probe_++, address, MakeMessage()});
  return farewells;
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
  return index().of(data_centre).relays;
}

bool Membership::IsRelay() const {
  const auto& relays = RelaysOf(self_.data_centre);
  return std::find(relays.begin(), relays.end(), self_.name) != relays.end();
}

std::vector<std::string> Membership::LocalPeers() const {
  std::vector<std::string> addresses;
  for (const auto& name : index().of(self_.data_centre).live) {
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
