#include "framework/logger.h"

#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "framework/clock.h"

namespace limpetrudder {
namespace {

struct LogState {
  log4cplus::Initializer initializer;
  log4cplus::Logger logger;
  LogSettings settings;
};

std::unique_ptr<LogState>& State() {
  static std::unique_ptr<LogState> state;
  return state;
}

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

}  // namespace

void StartLogging(const LogSettings& settings) {
  auto state = std::make_unique<LogState>();
  state->settings = settings;
  state->logger = log4cplus::Logger::getInstance("limpetrudder");
  state->logger.setLogLevel(ToLibraryLevel(settings.level));
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(
      /*logToStdErr=*/true, /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  state->logger.addAppender(appender);
  State() = std::move(state);
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  const auto& state = State();
  if (!state || !state->logger.isEnabledFor(ToLibraryLevel(level)))
    return;
  nlohmann::ordered_json line;
  line["time"] = UtcNow();
  line["level"] = NameOf(kLogLevelNames, level);
  line["event"] = event;
  line["instance"] = state->settings.instance;
  line["data_centre"] = state->settings.data_centre;
  for (const auto& [name, value] : fields.items())
    line[name] = value;
  state->logger.log(
      ToLibraryLevel(level),
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace limpetrudder
