#include "app/command_line.h"

#include <charconv>
#include <cstring>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>

#include <getopt.h>

#include "app/internal/commands.h"
#include "framework/result_code.h"

namespace limpetrudder {
namespace {

constexpr char kVersion[] = "limpetrudder 0.1.0";

struct Command {
  const char* group;  // "config"; empty if the command has none.
  const char* name;
  ExitCode (*run)(const CommandOptions&);
  const char* help;
};

constexpr Command kCommands[] = {
    {"", "serve", Serve,
     "serve --settings FILE\n"
     "  Runs one instance until SIGTERM; a second SIGTERM cuts the waiting.\n"},
    {"", "entry", Entry,
     "entry --settings FILE\n"
     "  Runs one entry instance on the users' platform until SIGTERM; SIGHUP\n"
     "  reads the settings again.\n"},
    {"", "report", Report,
     "report LOG... [--json]\n"
     "  Sums up the logs of entry instances: what callers got in each second,\n"
     "  why, and which states changed meanwhile. - reads standard input.\n"},
    {"", "query", Query,
     "query --address IP:PORT --collection NAME --terms TEXT\n"
     "      [--token TOKEN | --token-file FILE] [--deadline-ms N] [--limit N]\n"
     "      [--explain]\n"
     "  Runs one search at an instance's caller address.\n"},
    {"config", "check", ConfigCheck,
     "config check --file FILE [--json]\n"
     "  Checks a document and names every fault, without any instance.\n"},
    {"config", "submit", ConfigSubmit,
     "config submit --address IP:PORT --file FILE --author NAME --reason TEXT\n"
     "      --base-revision N [--change-id ID] [--token TOKEN | --token-file\n"
     "      FILE]\n"
     "  Submits a document at an instance's operator address. After an "
     "unknown\n"
     "  outcome submit it again with the same --change-id.\n"},
    {"config", "show", ConfigShow,
     "config show --address IP:PORT [--token TOKEN | --token-file FILE]\n"
     "  Prints the document in force and its revision.\n"},
    {"config", "history", ConfigHistory,
     "config history --address IP:PORT [--token TOKEN | --token-file FILE]\n"
     "  Prints the audit trail of changes.\n"},
    {"", "status", Status,
     "status --address IP:PORT [--token TOKEN | --token-file FILE] [--json]\n"
     "  Prints the instances, their revisions and who is behind.\n"},
    {"", "explain", Explain,
     "explain REQUEST_ID --address IP:PORT [--token TOKEN | --token-file\n"
     "      FILE]\n"
     "  Prints why each step of a recent request was taken.\n"},
};

enum OptionId {
  kSettings = 256,
  kAddress,
  kToken,
  kTokenFile,
  kCollection,
  kTerms,
  kFile,
  kChangeId,
  kAuthor,
  kReason,
  kBaseRevision,
  kDeadlineMs,
  kLimit,
  kExplain,
  kJson,
  kHelp,
};

const option kLongOptions[] = {
    {"settings", required_argument, nullptr, kSettings},
    {"address", required_argument, nullptr, kAddress},
    {"token", required_argument, nullptr, kToken},
    {"token-file", required_argument, nullptr, kTokenFile},
    {"collection", required_argument, nullptr, kCollection},
    {"terms", required_argument, nullptr, kTerms},
    {"file", required_argument, nullptr, kFile},
    {"change-id", required_argument, nullptr, kChangeId},
    {"author", required_argument, nullptr, kAuthor},
    {"reason", required_argument, nullptr, kReason},
    {"base-revision", required_argument, nullptr, kBaseRevision},
    {"deadline-ms", required_argument, nullptr, kDeadlineMs},
    {"limit", required_argument, nullptr, kLimit},
    {"explain", no_argument, nullptr, kExplain},
    {"json", no_argument, nullptr, kJson},
    {"help", no_argument, nullptr, kHelp},
    {nullptr, 0, nullptr, 0},
};

void PrintHelp() {
  std::cout << "usage: limpetrudder COMMAND [OPTIONS]\n\n";
  for (const auto& command : kCommands)
    std::cout << "limpetrudder " << command.help << "\n";
  std::cout << "limpetrudder version\n\n"
               "Exit codes: 0 done, 1 refused or failed, 2 usage, 3 a stop cut "
               "requests,\n4 the settings are faulty.\n";
}

int UsageError(const std::string& message) {
  std::cerr << "error " << NumberOf(ResultCode::kUsage) << " usage: " << message
            << "; see limpetrudder --help\n";
  return static_cast<int>(ExitCode::kUsage);
}

const Command* FindCommand(std::string_view group, std::string_view name) {
  for (const auto& command : kCommands) {
    if (command.group == group && command.name == name)
      return &command;
  }
  return nullptr;
}

bool ParseNumber(const char* text, std::int64_t* number) {
  const char* end = text + std::strlen(text);
  const auto result = std::from_chars(text, end, *number);
  return result.ec == std::errc() && result.ptr == end;
}

// Stores one option. Returns false if the option is unknown or its value isn't
// a number where one is expected.
bool StoreOption(int id, const char* value, CommandOptions* options) {
  switch (id) {
    case kSettings:
      options->settings = value;
      return true;
    case kAddress:
      options->address = value;
      return true;
    case kToken:
      options->token = value;
      return true;
    case kTokenFile:
      options->token_file = value;
      return true;
    case kCollection:
      options->collection = value;
      return true;
    case kTerms:
      options->terms = value;
      return true;
    case kFile:
      options->file = value;
      return true;
    case kChangeId:
      options->change_id = value;
      return true;
    case kAuthor:
      options->author = value;
      return true;
    case kReason:
      options->reason = value;
      return true;
    case kBaseRevision:
      return ParseNumber(value, &options->base_revision);
    case kDeadlineMs:
      return ParseNumber(value, &options->deadline_ms);
    case kLimit:
      return ParseNumber(value, &options->limit);
    case kExplain:
      options->explain = true;
      return true;
    case kJson:
      options->json = true;
      return true;
    default:
      return false;
  }
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  if (argc < 2)
    return UsageError("no command given");
  const std::string_view first = argv[1];
  if (first == "--help" || first == "help") {
    PrintHelp();
    return static_cast<int>(ExitCode::kDone);
  }
  if (first == "version" || first == "--version") {
    std::cout << kVersion << std::endl;
    return static_cast<int>(ExitCode::kDone);
  }
  const bool in_group = first == "config" && argc > 2;
  const Command* command =
      in_group ? FindCommand(first, argv[2]) : FindCommand("", first);
  if (command == nullptr)
    return UsageError("no command \"" + std::string(first) + "\"");
  const int consumed = in_group ? 2 : 1;
  argc -= consumed;
  argv += consumed;
  CommandOptions options;
  for (int id = 0;
       (id = getopt_long(argc, argv, "", kLongOptions, nullptr)) != -1;) {
    if (id == kHelp) {
      std::cout << "limpetrudder " << command->help;
      return static_cast<int>(ExitCode::kDone);
    }
    if (!StoreOption(id, optarg, &options))
      return UsageError("an option can't be read");
  }
  for (int i = optind; i < argc; ++i)
    options.arguments.emplace_back(argv[i]);
  return static_cast<int>(command->run(options));
}

}  // namespace limpetrudder
