#ifndef REPORT_LOG_REPORT_H_
#define REPORT_LOG_REPORT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "framework/result_code.h"

namespace limpetrudder {

// Counts of callers' requests by their result.
struct CallCounts {
  std::uint64_t calls = 0;
  std::uint64_t served = 0;   // Within the latency target, whole or in part.
  std::uint64_t in_part = 0;  // Of the served ones, those with parts missing.
  std::uint64_t late = 0;     // Served after the latency target.
  std::uint64_t refused = 0;  // Not run; the caller was told when to retry.
  std::uint64_t failed = 0;
  std::uint64_t over_limit = 0;  // Of the refused ones, beyond the account's.
  std::uint64_t denied = 0;      // Their keys belong to no account.

  CallCounts& operator+=(const CallCounts& other);

  // Adds a call that ended with `status` and `code`.
  void Add(int status, ResultCode code, bool late, bool in_part);
};

// Thread safe.
nlohmann::json ToJson(const CallCounts& counts);

// Summarises the logs of any number of instances, line by line: the results of
// calls in each second, their reasons, and the state changes and other events
// of the same second. Keeps only counts, so logs may be of any length. Not
// thread safe.
class LogReport {
 public:
  // Adds one line of the log called `file`. Text before the line's JSON object
  // is skipped. Of calls forwarded by another instance, only the missing parts
  // are counted, since that instance logs the calls too.
  void Add(const std::string& file, std::string_view line);

  // Returns the report as plain text: a table by second, a table by route and,
  // if calls have accounts, one by account, with the largest of them; then
  // reasons, events, and the number of unreadable lines.
  std::string Text() const;

  // Returns the same data as JSON.
  nlohmann::json Summary() const;

  // Returns the number of lines that couldn't be read.
  std::uint64_t unreadable() const { return unreadable_; }

 private:
  struct Second {
    CallCounts counts;
    std::map<std::string, std::uint64_t> events;  // By name.
  };

  // Whether any call had an account, or was refused for having none.
  bool HasAccounts() const;
  void AddCall(const nlohmann::json& line, Second* second);
  void RecordUnreadable(const std::string& file);

  std::map<std::string, Second> seconds_;          // By time.
  std::map<std::string, CallCounts> by_route_;     // By name.
  std::map<std::string, CallCounts> by_account_;   // By name.
  std::map<int, std::uint64_t> reasons_;           // By result code.
  std::map<int, std::uint64_t> part_reasons_;      // Of missing parts, by code.
  std::map<std::string, std::uint64_t> by_event_;  // Without calls.
  std::set<std::string> instances_;
  std::uint64_t lines_ = 0;
  std::uint64_t unreadable_ = 0;
  std::string first_unreadable_;                   // "FILE:LINE".
  std::map<std::string, std::uint64_t> lines_of_;  // By file.
};

}  // namespace limpetrudder

#endif  // REPORT_LOG_REPORT_H_
