#include "quota/tests/quota_fleet.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace limpetrudder {
namespace {

constexpr std::size_t kDataCentres = 6;
constexpr std::size_t kLargePerDataCentre = 2;

constexpr Duration kOneWayInRegion = Duration(500);
constexpr Duration kOneWayBetween = Millis(8);
constexpr Duration kMaxProcessing = Millis(2);
constexpr Duration kMaxLate = Millis(300);
// When a process gives up on an answer.
constexpr Duration kNoAnswer = Millis(400);

}  // namespace

QuotaFleet::QuotaFleet(std::size_t instances,
                       QuotaBounds bounds,
                       std::uint64_t seed)
    : bounds_(bounds), random_(seed), nodes_(instances) {
  for (std::size_t i = 0; i < kDataCentres; ++i)
    regions_["dc" + std::to_string(i)] = "region" + std::to_string(i / 2);
  for (std::size_t i = 0; i < instances; ++i) {
    Node& node = nodes_[i];
    node.data_centre = i % kDataCentres;
    node.member = {"instance" + std::to_string(i),
                   "dc" + std::to_string(node.data_centre), "address",
                   i < kLargePerDataCentre * kDataCentres ? 0.5 : 0.12};
    by_name_[node.member.name] = i;
    Start(i, /*listed=*/false);
  }
  SpreadViews(Duration(0));
}

void QuotaFleet::SetDemand(std::map<std::string, AccountDemand> demand) {
  demand_ = std::move(demand);
  for (const auto& [account, of] : demand_)
    ScheduleCall(account);
}

QuotaLimitLookup QuotaFleet::Limits() const {
  return [this](const std::string& account) -> std::optional<QuotaLimit> {
    return demand_.at(account).limit;
  };
}

void QuotaFleet::Start(std::size_t instance, bool listed) {
  Node& node = nodes_[instance];
  node.alive = true;
  node.frozen_until = Time{};
  ++node.process;
  node.tick_at = kNever;
  node.quotas = std::make_unique<AccountQuotas>(bounds_, node.member, regions_,
                                                random_.Next());
  node.quotas->SetLimits(Limits());
  std::vector<QuotaMember> members;
  for (const Node& other : nodes_) {
    if (listed)
      members.push_back(other.member);
  }
  if (listed)
    node.quotas->SetMembers(members, now_);
}

void QuotaFleet::Freeze(std::size_t instance, Time until) {
  nodes_[instance].frozen_until = until;
}

void QuotaFleet::SetView(std::size_t instance,
                         const std::vector<std::size_t>& members) {
  std::vector<QuotaMember> view;
  view.reserve(members.size());
  for (const std::size_t member : members)
    view.push_back(nodes_[member].member);
  nodes_[instance].quotas->SetMembers(view, now_);
}

void QuotaFleet::SpreadViews(Duration within) {
  auto view = std::make_shared<std::vector<QuotaMember>>();
  for (const Node& node : nodes_) {
    if (node.alive)
      view->push_back(node.member);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].alive)
      continue;
    if (within == Duration(0))
      nodes_[i].quotas->SetMembers(*view, now_);
    else
      AtNode(now_ + Scaled(within, random_.Unit()), i,
             [this, i, view] { nodes_[i].quotas->SetMembers(*view, now_); });
  }
}

void QuotaFleet::At(Time at, std::function<void()> run) {
  events_.push({at, next_event_++, std::move(run)});
}

void QuotaFleet::AtNode(Time at, std::size_t node, std::function<void()> run) {
  At(at, [this, node, process = nodes_[node].process, run = std::move(run)] {
    Node& target = nodes_[node];
    if (!target.alive || target.process != process)
      return;
    if (now_ < target.frozen_until)
      return AtNode(target.frozen_until, node, run);
    run();
    Settle(node);
  });
}

void QuotaFleet::ScheduleCall(const std::string& account) {
  const AccountDemand& demand = demand_.at(account);
  const bool is_hot = demand.hot_from <= now_ && now_ < demand.hot_until;
  const double rate = demand.rate * (is_hot ? demand.hot : 1);
  // NOTE A quiet account becomes hot in time.
  const Duration wait =
      Scaled(Seconds(1), -std::log(1 - random_.Unit()) / rate);
  const bool begins_hot =
      now_ < demand.hot_from && demand.hot_from < now_ + wait && demand.hot > 1;
  if (begins_hot) {
    return At(demand.hot_from, [this, account] { ScheduleCall(account); });
  }
  At(now_ + wait, [this, account] {
    StartCall(account);
    ScheduleCall(account);
  });
}

void QuotaFleet::StartCall(const std::string& account) {
  const auto& weights = demand_.at(account).weights;
  std::size_t data_centre = random_.Below(kDataCentres);
  if (!weights.empty()) {
    double total = 0;
    for (const double weight : weights)
      total += weight;
    double at = random_.Unit() * total;
    for (data_centre = 0; at >= weights[data_centre]; ++data_centre)
      at -= weights[data_centre];
  }
  const std::size_t slots =
      (nodes_.size() - 1 - data_centre) / kDataCentres + 1;
  std::size_t node = 0;
  for (int tries = 0; tries < 50; ++tries) {
    node = data_centre + kDataCentres * random_.Below(slots);
    if (nodes_[node].alive)
      break;
  }
  if (!nodes_[node].alive)
    return;
  const std::uint64_t id = calls_.size();
  calls_.push_back({account, now_});
  AtNode(now_, node, [this, id, account, node] {
    if (nodes_[node].quotas->Admit(id, account, now_))
      calls_[id].admitted = now_;
  });
}

void QuotaFleet::Settle(std::size_t index) {
  Node& node = nodes_[index];
  const Time next = node.quotas->Tick(now_);
  QuotaOutputs outputs = node.quotas->TakeOutputs();
  for (const auto& ask : outputs.asks)
    Send(index, ask);
  for (const auto& answer : outputs.answers) {
    const auto found = refs_.find(answer.ref);
    if (found == refs_.end())
      continue;
    const auto deliver = std::move(found->second);
    refs_.erase(found);
    deliver(answer.answer);
  }
  for (const auto& decision : outputs.decisions) {
    Call& call = calls_[decision.call];
    longest_wait_ = std::max(longest_wait_, now_ - call.arrived);
    if (decision.verdict == QuotaVerdict::kAdmitted)
      call.admitted = now_;
  }
  if (next >= node.tick_at && node.tick_at > now_)
    return;
  node.tick_at = next;
  if (next == kNever)
    return;
  AtNode(next, index, [this, index, next] {
    if (nodes_[index].tick_at == next)
      nodes_[index].tick_at = kNever;
  });
}

bool QuotaFleet::Reaches(std::size_t from, std::size_t to) const {
  return cut_.count(from) == cut_.count(to);
}

Duration QuotaFleet::OneWay(std::size_t from, std::size_t to) {
  const bool same_region =
      nodes_[from].data_centre / 2 == nodes_[to].data_centre / 2;
  Duration way = (same_region ? kOneWayInRegion : kOneWayBetween) +
                 Scaled(kMaxProcessing, random_.Unit());
  if (random_.Unit() < faults_.late)
    way += Scaled(kMaxLate, random_.Unit());
  return way;
}

void QuotaFleet::Send(std::size_t from, const OutgoingQuotaAsk& ask) {
  const std::size_t to = by_name_.at(ask.instance);
  const std::uint64_t id = ask.id;
  const auto answered = [this, from, id](std::optional<QuotaAnswer> answer) {
    return [this, from, id, answer] {
      nodes_[from].quotas->OnAnswer(id, answer, now_);
    };
  };
  const int copies = random_.Unit() < faults_.doubled ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    ++messages_;
    if (!Reaches(from, to) || random_.Unit() < faults_.lost)
      continue;
    const Duration way = OneWay(from, to);
    if (!nodes_[to].alive) {
      AtNode(now_ + 2 * way, from, answered(std::nullopt));
      continue;
    }
    AtNode(now_ + way, to, [this, from, to, ask, answered] {
      ++nodes_[to].messages;
      const std::uint64_t ref = next_ref_++;
      refs_[ref] = [this, from, to, answered](const QuotaAnswer& answer) {
        if (Reaches(from, to) && random_.Unit() >= faults_.lost)
          AtNode(now_ + OneWay(to, from), from, answered(answer));
      };
      nodes_[to].quotas->OnAsk(ref, ask.ask, now_);
    });
  }
  AtNode(now_ + kNoAnswer, from, answered(std::nullopt));
}

void QuotaFleet::RunUntil(Time end) {
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

std::size_t QuotaFleet::OwnerOf(const std::string& account,
                                std::size_t data_centre) {
  QuotaOwners owners(nodes_[data_centre].member, regions_);
  std::vector<QuotaMember> view;
  for (const Node& node : nodes_) {
    if (node.alive)
      view.push_back(node.member);
  }
  owners.SetMembers(view, now_);
  const QuotaMember* owner =
      owners.OwnerIn("dc" + std::to_string(data_centre), account);
  return owner != nullptr ? by_name_.at(owner->name) : data_centre;
}

std::vector<std::size_t> QuotaFleet::InDataCentre(
    std::size_t data_centre) const {
  std::vector<std::size_t> found;
  for (std::size_t i = data_centre; i < nodes_.size(); i += kDataCentres)
    found.push_back(i);
  return found;
}

double QuotaFleet::LargestShareOfBound() const {
  std::map<std::string, std::vector<Time>> admitted;
  for (const Call& call : calls_) {
    if (call.admitted != kNever)
      admitted[call.account].push_back(call.admitted);
  }
  double largest = 0;
  const double window = RatioOf(bounds_.window, Seconds(1));
  for (auto& [account, times] : admitted) {
    std::sort(times.begin(), times.end());
    const QuotaLimit& limit = demand_.at(account).limit;
    const double bound =
        (limit.rate * window + limit.burst) * (1 + bounds_.overage) +
        bounds_.slack;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] > bounds_.window)
        ++first;
      largest =
          std::max(largest, static_cast<double>(last - first + 1) / bound);
    }
  }
  return largest;
}

double QuotaFleet::AdmittedOfOwed(Time from) const {
  struct Tally {
    double tokens = 0;
    Time at{};
    double owed = 0;
    double admitted = 0;
  };
  std::map<std::string, Tally> tallies;
  for (const Call& call : calls_) {
    const QuotaLimit& limit = demand_.at(call.account).limit;
    auto [entry, is_new] = tallies.try_emplace(call.account);
    Tally& tally = entry->second;
    if (is_new)
      tally.tokens = limit.burst;
    tally.tokens =
        std::min(limit.burst,
                 tally.tokens +
                     limit.rate * RatioOf(call.arrived - tally.at, Seconds(1)));
    tally.at = call.arrived;
    if (call.arrived >= from && call.admitted != kNever)
      ++tally.admitted;
    if (tally.tokens < 1)
      continue;
    tally.tokens -= 1;
    tally.owed += call.arrived >= from ? 1 : 0;
  }
  double owed = 0;
  double admitted = 0;
  for (const auto& [account, tally] : tallies) {
    owed += tally.owed;
    admitted += std::min(tally.owed, tally.admitted);
  }
  return owed > 0 ? admitted / owed : 1;
}

void QuotaFleet::MeasureBytes() {
  if (!bytes_.empty())
    return;
  bytes_.reserve(nodes_.size());
  for (Node& node : nodes_) {
    const std::size_t before = mallinfo2().uordblks;
    node.quotas = nullptr;
    bytes_.push_back(before - mallinfo2().uordblks);
  }
}

std::size_t QuotaFleet::MeanBytes() {
  MeasureBytes();
  return std::accumulate(bytes_.begin(), bytes_.end(), std::size_t{0}) /
         bytes_.size();
}

std::size_t QuotaFleet::MostBytes() {
  MeasureBytes();
  return *std::max_element(bytes_.begin(), bytes_.end());
}

std::uint64_t QuotaFleet::busiest_node_messages() const {
  std::uint64_t most = 0;
  for (const Node& node : nodes_)
    most = std::max(most, node.messages);
  return most;
}

double QuotaFleet::MeanWaitMillis() const {
  double sum = 0;
  double count = 0;
  for (const Call& call : calls_) {
    if (call.admitted == kNever)
      continue;
    sum += ToMillis(call.admitted - call.arrived);
    ++count;
  }
  return count > 0 ? sum / count : 0;
}

}  // namespace limpetrudder
