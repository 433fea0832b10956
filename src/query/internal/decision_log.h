#ifndef QUERY_INTERNAL_DECISION_LOG_H_
#define QUERY_INTERNAL_DECISION_LOG_H_

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "query/query_types.h"

namespace limpetrudder::detail {

// Collects the decisions of one running query. Not thread safe.
class DecisionLog {
 public:
  void Begin(Time start) { start_ = start; }

  void Add(Time now,
           DecisionKind kind,
           std::string_view shard,
           std::string_view target,
           AttemptId attempt = 0,
           ResultCode reason = ResultCode::kOk) {
    decisions_.push_back({now - start_, kind, std::string(shard),
                          std::string(target), attempt, reason});
  }

  const std::vector<Decision>& decisions() const { return decisions_; }
  std::vector<Decision> Take() { return std::move(decisions_); }

 private:
  Time start_{};
  std::vector<Decision> decisions_;
};

// The decisions of the most recent queries, by request id. Not thread safe.
class DecisionArchive {
 public:
  void Add(const std::string& request_id, std::vector<Decision> decisions);

  // Returns the decisions of a request, or null if they aren't in the archive.
  const std::vector<Decision>* Find(std::string_view request_id) const;

 private:
  struct Entry {
    std::string request_id;
    std::vector<Decision> decisions;
  };
  std::deque<Entry> entries_;
};

}  // namespace limpetrudder::detail

#endif  // QUERY_INTERNAL_DECISION_LOG_H_
