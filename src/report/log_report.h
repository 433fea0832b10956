#ifndef REPORT_LOG_REPORT_H_
#define REPORT_LOG_REPORT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace limpetrudder {

// How callers' requests of one span of time ended.
struct CallCounts {
  std::uint64_t calls = 0;
  std::uint64_t served = 0;   // In the target, whole or in part.
  std::uint64_t in_part = 0;  // Of the served ones.
  std::uint64_t late = 0;     // Served behind the target.
  std::uint64_t refused = 0;  // Not run, with a time to come back.
  std::uint64_t failed = 0;
};

// Sums up the logs of any number of instances, line by line: what callers got
// in each second, for which reasons, and which beliefs changed meanwhile. Keeps
// counts only, so that logs of any length fit. Not thread safe.
class LogReport {
 public:
  // A line of a log; what stands before its JSON object is skipped. Lines of
  // calls that another instance forwarded count for its caller's instance.
  void Add(const std::string& file, std::string_view line);

  // Returns a table by second, then reasons, beliefs, and lines that couldn't
  // be read, as plain text.
  std::string Text() const;

  nlohmann::json Summary() const;

  std::uint64_t unreadable() const { return unreadable_; }

 private:
  struct Second {
    CallCounts counts;
    std::map<std::string, std::uint64_t> beliefs;  // By event.
  };

  void AddCall(const nlohmann::json& line, Second* second);
  void NoteUnreadable(const std::string& file);

  std::map<std::string, Second> seconds_;          // By time.
  std::map<std::string, CallCounts> by_route_;     // By name.
  std::map<int, std::uint64_t> reasons_;           // By result code.
  std::map<int, std::uint64_t> part_reasons_;      // Of parts that are missing.
  std::map<std::string, std::uint64_t> by_event_;  // Beliefs.
  std::set<std::string> instances_;
  std::uint64_t lines_ = 0;
  std::uint64_t unreadable_ = 0;
  std::string first_unreadable_;                   // File and line.
  std::map<std::string, std::uint64_t> lines_of_;  // By file.
};

}  // namespace limpetrudder

#endif  // REPORT_LOG_REPORT_H_
