#include "framework/logger.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "framework/clock.h"

namespace limpetrudder {
namespace {

// Limits on queued lines and on lines per second. They allow one line for each
// request of a small instance without using much of its CPU.
constexpr std::size_t kMaxQueuedLines = 4096;
constexpr std::uint32_t kMaxLinesPerSecond = 500;

// The writer collects lines for this long, so that it wakes up less often.
constexpr auto kBatchInterval = std::chrono::milliseconds(100);

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

std::string FormatLine(const LogSettings& settings,
                       LogLevel level,
                       std::string_view event,
                       const nlohmann::json& fields) {
  nlohmann::ordered_json line;
  line["time"] = UtcNow();
  line["level"] = NameOf(kLogLevelNames, level);
  line["event"] = event;
  line["instance"] = settings.instance;
  line["data_centre"] = settings.data_centre;
  for (const auto& [name, value] : fields.items())
    line[name] = value;
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Queues lines and writes them in batches on a separate thread.
class LineWriter {
 public:
  explicit LineWriter(const LogSettings& settings)
      : settings_(settings), level_(settings.level) {
    logger_ = log4cplus::Logger::getInstance("limpetrudder");
    logger_.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(
        /*logToStdErr=*/false, /*immediateFlush=*/true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    logger_.addAppender(appender);
    thread_ = std::thread([this] { Run(); });
  }

  ~LineWriter() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }

  bool IsEnabledFor(LogLevel level) const { return level >= level_; }
  void SetLevel(LogLevel level) { level_ = level; }
  const LogSettings& settings() const { return settings_; }

  void Queue(LogLevel level, std::string line) {
    bool was_empty = false;
    {
      std::lock_guard lock(mutex_);
      const auto second = SteadyNow().time_since_epoch() / Seconds(1);
      if (second != current_second_) {
        current_second_ = second;
        lines_this_second_ = 0;
      }
      if (lines_.size() >= kMaxQueuedLines ||
          ++lines_this_second_ > kMaxLinesPerSecond) {
        ++dropped_lines_;
        return;
      }
      was_empty = lines_.empty();
      lines_.push_back({level, std::move(line)});
    }
    if (was_empty)
      wake_.notify_one();
  }

 private:
  struct Line {
    LogLevel level;
    std::string text;
  };

  void Run() {
    std::vector<Line> batch;
    std::unique_lock lock(mutex_);
    while (!stopping_ || !lines_.empty()) {
      wake_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
      if (!stopping_)
        wake_.wait_for(lock, kBatchInterval, [this] { return stopping_; });
      batch.clear();
      std::swap(batch, lines_);
      const std::uint64_t dropped_lines = std::exchange(dropped_lines_, 0);
      lock.unlock();
      if (dropped_lines > 0) {
        batch.push_back(
            {LogLevel::kWarning,
             FormatLine(settings_, LogLevel::kWarning, "log_lines_dropped",
                        {{"count", dropped_lines}})});
      }
      Write(batch);
      lock.lock();
    }
  }

  void Write(const std::vector<Line>& batch) {
    std::string text;
    for (const Line& line : batch) {
      if (!text.empty())
        text += '\n';
      text += line.text;
    }
    if (!text.empty())
      logger_.log(ToLibraryLevel(LogLevel::kInfo), text);
  }

  log4cplus::Logger logger_;
  const LogSettings settings_;
  std::atomic<LogLevel> level_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Line> lines_;
  std::uint64_t dropped_lines_ = 0;
  std::int64_t current_second_ = 0;
  std::uint32_t lines_this_second_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

std::unique_ptr<LineWriter>& Writer() {
  static std::unique_ptr<LineWriter> writer;
  return writer;
}

}  // namespace

void StartLogging(const LogSettings& settings) {
  // Never destroyed: stopping the library's own threads can hang the process at
  // exit.
  static auto* const initializer = new log4cplus::Initializer();
  static_cast<void>(initializer);
  Writer() = std::make_unique<LineWriter>(settings);
}

void StopLogging() {
  Writer().reset();
}

void SetLogLevel(LogLevel level) {
  if (Writer())
    Writer()->SetLevel(level);
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  const auto& writer = Writer();
  if (!writer || !writer->IsEnabledFor(level))
    return;
  writer->Queue(level, FormatLine(writer->settings(), level, event, fields));
}

}  // namespace limpetrudder
