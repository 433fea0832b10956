#include "report/log_report.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "accounts/largest_accounts.h"
#include "framework/http_status.h"
#include "framework/result_code.h"

namespace limpetrudder {
namespace {

using Json = nlohmann::json;

// The length of a time that is truncated to seconds: "2026-03-29T06:44:48".
constexpr std::size_t kSecondLength = 19;

constexpr char kCallEnded[] = "call_ended";

// Returns the text of a field, or an empty string if it has none.
std::string TextOf(const Json& line, const char* name) {
  const auto found = line.find(name);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

// Returns the integer in a field, or 0 if it has none.
int IntegerOf(const Json& line, const char* name) {
  const auto found = line.find(name);
  return found != line.end() && found->is_number_integer() ? found->get<int>()
                                                           : 0;
}

bool IsSet(const Json& line, const char* name) {
  const auto found = line.find(name);
  return found != line.end() && found->is_boolean() && found->get<bool>();
}

std::string NameOfCode(int number) {
  for (const auto& row : ResultCodeTable()) {
    if (NumberOf(row.code) == number)
      return std::string(row.name);
  }
  return "unknown";
}

void Count(const Json& line, CallCounts* counts) {
  counts->Add(IntegerOf(line, "status"),
              static_cast<ResultCode>(IntegerOf(line, "code")),
              IsSet(line, "late"), line.contains("parts"));
}

// Returns a row of a table, without a line break.
std::string Row(const std::string& name, const CallCounts& counts) {
  return fmt::format("{:<20} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}",
                     name, counts.calls, counts.served, counts.in_part,
                     counts.late, counts.refused, counts.over_limit,
                     counts.failed, counts.denied);
}

std::string HeaderRow(const char* first) {
  return fmt::format("{:<20} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}",
                     first, "calls", "served", "in part", "late", "refused",
                     "limited", "failed", "denied");
}

std::string Reasons(const char* title,
                    const std::map<int, std::uint64_t>& reasons) {
  std::string text = std::string("\n") + title + "\n";
  for (const auto& [code, count] : reasons) {
    text += fmt::format("{:>7}  {} {}\n", count, code, NameOfCode(code));
  }
  return text;
}

Json ToJson(const std::map<int, std::uint64_t>& reasons) {
  Json json = Json::object();
  for (const auto& [code, count] : reasons)
    json[std::to_string(code)] = count;
  return json;
}

}  // namespace

Json ToJson(const CallCounts& counts) {
  return {{"calls", counts.calls},           {"served", counts.served},
          {"in_part", counts.in_part},       {"late", counts.late},
          {"refused", counts.refused},       {"failed", counts.failed},
          {"over_limit", counts.over_limit}, {"denied", counts.denied}};
}

void CallCounts::Add(int status, ResultCode code, bool is_late, bool parts) {
  ++calls;
  if (status == http_status::kUnavailable ||
      status == http_status::kTooManyRequests) {
    ++refused;
    over_limit += code == ResultCode::kAccountOverLimit ? 1 : 0;
  } else if (code == ResultCode::kAccountUnknown) {
    ++denied;
  } else if (status >= http_status::kInternalError) {
    ++failed;
  } else if (is_late) {
    ++late;
  } else {
    ++served;
    in_part += parts ? 1 : 0;
  }
}

CallCounts& CallCounts::operator+=(const CallCounts& other) {
  calls += other.calls;
  served += other.served;
  in_part += other.in_part;
  late += other.late;
  refused += other.refused;
  failed += other.failed;
  over_limit += other.over_limit;
  denied += other.denied;
  return *this;
}

void LogReport::RecordUnreadable(const std::string& file) {
  ++unreadable_;
  if (first_unreadable_.empty())
    first_unreadable_ = file + ":" + std::to_string(lines_of_[file]);
}

void LogReport::Add(const std::string& file, std::string_view line) {
  ++lines_;
  ++lines_of_[file];
  const std::size_t begin = line.find('{');
  if (begin == std::string_view::npos)
    return RecordUnreadable(file);
  const Json json =
      Json::parse(line.substr(begin), nullptr, /*allow_exceptions=*/false);
  const std::string time =
      json.is_object() ? TextOf(json, "time") : std::string();
  const std::string event =
      json.is_object() ? TextOf(json, "event") : std::string();
  if (time.size() < kSecondLength || event.empty())
    return RecordUnreadable(file);
  instances_.insert(TextOf(json, "instance"));
  Second& second = seconds_[time.substr(0, kSecondLength)];
  if (event == kCallEnded)
    return AddCall(json, &second);
  ++second.events[event];
  ++by_event_[event];
}

void LogReport::AddCall(const Json& line, Second* second) {
  const auto failed = line.find("failed");
  if (failed != line.end() && failed->is_array()) {
    for (const auto& part : *failed) {
      if (part.is_object())
        ++part_reasons_[IntegerOf(part, "code")];
    }
  }
  if (IsSet(line, "forwarded"))
    return;
  Count(line, &second->counts);
  Count(line, &by_route_[TextOf(line, "route")]);
  Count(line, &by_account_[TextOf(line, "account")]);
  const int code = IntegerOf(line, "code");
  if (code != 0)
    ++reasons_[code];
}

std::string LogReport::Text() const {
  std::string text = HeaderRow("second") + "  state changes\n";
  for (const auto& [time, second] : seconds_) {
    text += Row(time, second.counts);
    const char* separator = "  ";
    for (const auto& [event, count] : second.events) {
      text += separator + event +
              (count > 1 ? " x" + std::to_string(count) : std::string());
      separator = ", ";
    }
    text += "\n";
  }
  text += "\n" + HeaderRow("route") + "\n";
  for (const auto& [route, counts] : by_route_)
    text += Row(route.empty() ? "(none)" : route, counts) + "\n";
  if (HasAccounts()) {
    text += "\n" + HeaderRow("account") + "\n";
    for (const auto& [account, counts] : LargestAccounts(by_account_))
      text += Row(account, counts) + "\n";
  }
  text += Reasons("why calls weren't answered whole", reasons_);
  text += Reasons("why parts are missing", part_reasons_);
  text += "\nstate changes and lifecycle events\n";
  for (const auto& [event, count] : by_event_) {
    text += fmt::format("{:>7}  {}\n", count, event);
  }
  text += fmt::format("\n{} instances, {} lines, {} unreadable",
                      instances_.size(), lines_, unreadable_);
  if (unreadable_ > 0)
    text += ", the first at " + first_unreadable_;
  return text + "\n";
}

bool LogReport::HasAccounts() const {
  return std::any_of(by_account_.begin(), by_account_.end(),
                     [](const auto& row) {
                       return !row.first.empty() || row.second.denied > 0;
                     });
}

Json LogReport::Summary() const {
  Json seconds = Json::array();
  for (const auto& [time, second] : seconds_) {
    Json row = ToJson(second.counts);
    row["time"] = time;
    row["beliefs"] = second.events;
    seconds.push_back(std::move(row));
  }
  Json routes = Json::object();
  for (const auto& [route, counts] : by_route_)
    routes[route] = ToJson(counts);
  Json accounts = Json::object();
  if (HasAccounts()) {
    for (const auto& [account, counts] : LargestAccounts(by_account_))
      accounts[account] = ToJson(counts);
  }
  return {{"seconds", std::move(seconds)},
          {"routes", std::move(routes)},
          {"accounts", std::move(accounts)},
          {"reasons", ToJson(reasons_)},
          {"part_reasons", ToJson(part_reasons_)},
          {"beliefs", by_event_},
          {"instances", instances_.size()},
          {"lines", lines_},
          {"unreadable", unreadable_},
          {"first_unreadable", first_unreadable_}};
}

}  // namespace limpetrudder
