#ifndef FRAMEWORK_LOGGER_H_
#define FRAMEWORK_LOGGER_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "framework/enum_names.h"

namespace limpetrudder {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

inline constexpr EnumNames<LogLevel, 4> kLogLevelNames{{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

struct LogSettings {
  std::string instance;
  std::string data_centre;
  LogLevel level = LogLevel::kInfo;
};

// Starts the thread that writes JSON lines to standard output. Call once,
// before any other thread starts.
void StartLogging(const LogSettings& settings);

// Writes the queued lines and ends the thread. Call last; idempotent.
void StopLogging();

// Sets the lowest level that is written. Thread safe.
void SetLogLevel(LogLevel level);

// Queues one JSON line with the time, level, instance, data centre, `event` and
// `fields` (an object). Never blocks: lines beyond the limit of the queue or
// the limit per second are dropped, and their count is written. Thread safe;
// does nothing before StartLogging().
void Log(LogLevel level,
         std::string_view event,
         const nlohmann::json& fields = nlohmann::json::object());

}  // namespace limpetrudder

#endif  // FRAMEWORK_LOGGER_H_
