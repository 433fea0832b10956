#ifndef QUOTA_TESTS_QUOTA_FLEET_H_
#define QUOTA_TESTS_QUOTA_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "framework/random.h"
#include "quota/account_quotas.h"

namespace limpetrudder {

// What the callers of one account do.
struct AccountDemand {
  QuotaLimit limit;
  double rate = 0;  // Calls per second.
  // From `hot_from` to `hot_until`, `hot` times as many.
  double hot = 1;
  Time hot_from{};
  Time hot_until{};
  std::vector<double> weights;  // Of the data centres; empty: equal.
};

// Of messages between instances.
struct MessageFaults {
  double lost = 0;
  double late = 0;  // By up to 300 ms.
  double doubled = 0;
};

// Instances of one fleet with the real decision classes, their messages and
// calls, in virtual time. Three regions of two data centres each; in each data
// centre two instances are larger than the others.
class QuotaFleet {
 public:
  QuotaFleet(std::size_t instances, QuotaBounds bounds, std::uint64_t seed);

  void SetDemand(std::map<std::string, AccountDemand> demand);
  void SetFaults(MessageFaults faults) { faults_ = faults; }
  // Ends the process; the others still list it.
  void Kill(std::size_t instance) { nodes_[instance].alive = false; }
  // Starts the process again. `listed`: the store still has all entries.
  void Start(std::size_t instance, bool listed = true);
  // The process does nothing until then.
  void Freeze(std::size_t instance, Time until);
  // Messages between the two sets are lost; empty sets end the cut.
  void Cut(std::set<std::size_t> one_side) { cut_ = std::move(one_side); }
  // Sets the instances that `instance` lists as live.
  void SetView(std::size_t instance, const std::vector<std::size_t>& members);
  // Sets all views to all that are alive, each at a time until `within`.
  void SpreadViews(Duration within);

  void RunUntil(Time end);

  std::size_t OwnerOf(const std::string& account, std::size_t data_centre);
  std::vector<std::size_t> InDataCentre(std::size_t data_centre) const;
  std::size_t size() const { return nodes_.size(); }
  Time now() const { return now_; }

  // The largest number of calls admitted in any window, divided by what the
  // stated rule allows, over all accounts.
  double LargestShareOfBound() const;
  // Of the calls since `from` that a token bucket with the account's limit,
  // known to all at once, would admit: how many were.
  double AdmittedOfOwed(Time from) const;
  // Requests between instances.
  std::uint64_t messages() const { return messages_; }
  // Those that the instance with the most received.
  std::uint64_t busiest_node_messages() const;
  // Heap memory of the quotas of an instance. Ends all of them.
  std::size_t MeanBytes();
  std::size_t MostBytes();
  double MeanWaitMillis() const;
  double LongestWaitMillis() const { return ToMillis(longest_wait_); }

 private:
  struct Node {
    QuotaMember member;
    std::size_t data_centre = 0;
    bool alive = true;
    Time frozen_until{};
    std::unique_ptr<AccountQuotas> quotas;
    int process = 0;  // Counts the starts.
    Time tick_at = kNever;
    std::uint64_t messages = 0;  // Received.
  };
  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct Call {
    std::string account;
    Time arrived{};
    Time admitted = kNever;
  };

  void At(Time at, std::function<void()> run);
  // Runs it at the node, after a freeze if there is one, unless that was
  // killed.
  void AtNode(Time at, std::size_t node, std::function<void()> run);
  void ScheduleCall(const std::string& account);
  void StartCall(const std::string& account);
  void Settle(std::size_t node);
  void Send(std::size_t from, const OutgoingQuotaAsk& ask);
  bool Reaches(std::size_t from, std::size_t to) const;
  Duration OneWay(std::size_t from, std::size_t to);
  QuotaLimitLookup Limits() const;
  void MeasureBytes();

  const QuotaBounds bounds_;
  Random random_;
  Time now_{};
  std::vector<Node> nodes_;
  std::map<std::string, std::size_t> by_name_;
  std::map<std::string, std::string> regions_;
  std::map<std::string, AccountDemand> demand_;
  MessageFaults faults_;
  std::set<std::size_t> cut_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  std::vector<Call> calls_;  // The id is the index.
  // Where the answer of a ref goes.
  std::unordered_map<std::uint64_t, std::function<void(QuotaAnswer)>> refs_;
  std::uint64_t next_ref_ = 1;
  std::uint64_t messages_ = 0;
  std::vector<std::size_t> bytes_;
  Duration longest_wait_{0};
};

}  // namespace limpetrudder

#endif  // QUOTA_TESTS_QUOTA_FLEET_H_
