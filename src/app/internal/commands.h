#ifndef APP_INTERNAL_COMMANDS_H_
#define APP_INTERNAL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace limpetrudder {

enum class ExitCode {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  kRequestsCut = 3,
  kSettingsFaulty = 4,
};

// The options that the commands share; each command's --help lists its own.
struct CommandOptions {
  std::string settings;
  std::string address;
  std::string token;
  std::string token_file;
  std::string collection;
  std::string terms;
  std::string file;
  std::string change_id;
  std::string author;
  std::string reason;
  std::int64_t base_revision = -1;
  std::int64_t deadline_ms = 0;
  std::int64_t limit = 0;
  bool explain = false;
  bool json = false;
  std::vector<std::string> arguments;  // Those that aren't options.
};

ExitCode Serve(const CommandOptions& options);
ExitCode Entry(const CommandOptions& options);
ExitCode Report(const CommandOptions& options);
ExitCode Query(const CommandOptions& options);
ExitCode ConfigCheck(const CommandOptions& options);
ExitCode ConfigSubmit(const CommandOptions& options);
ExitCode ConfigShow(const CommandOptions& options);
ExitCode ConfigHistory(const CommandOptions& options);
ExitCode Status(const CommandOptions& options);
ExitCode Explain(const CommandOptions& options);

}  // namespace limpetrudder

#endif  // APP_INTERNAL_COMMANDS_H_
