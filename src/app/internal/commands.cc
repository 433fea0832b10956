#include "app/internal/commands.h"

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>

#include <pthread.h>

#include "app/entry_app.h"
#include "app/entry_settings.h"
#include "app/internal/http_call.h"
#include "app/internal/watched_file.h"
#include "app/operator_api.h"
#include "app/server_app.h"
#include "app/settings.h"
#include "config/document.h"
#include "framework/http_status.h"
#include "framework/json_schema.h"
#include "framework/logger.h"
#include "report/log_report.h"

namespace limpetrudder {
namespace {

// Returns the token from the token file, or else from the command line. A file
// is safer: other users of the machine can see the arguments of a command.
std::string ReadToken(const CommandOptions& options) {
  if (options.token_file.empty())
    return options.token;
  std::ifstream file(options.token_file);
  std::string token;
  std::getline(file, token);
  return token;
}

void PrintFaults(const std::vector<Error>& faults) {
  for (const auto& fault : faults) {
    std::cerr << "error " << NumberOf(fault.code) << " " << NameOf(fault.code)
              << " at " << (fault.pointer.empty() ? "/" : fault.pointer) << ": "
              << fault.message << "\n";
  }
}

ExitCode UsageError(const std::string& message) {
  PrintFaults({{ResultCode::kUsage, "", message}});
  return ExitCode::kUsage;
}

// Makes a request to the caller or operator address of an instance, whichever
// the command needs.
HttpResponse Call(const CommandOptions& options,
                  const std::string& method,
                  const std::string& path,
                  const std::string& body = std::string()) {
  HttpCall call;
  call.method = method;
  call.address = options.address;
  call.path = path;
  call.token = ReadToken(options);
  call.body = body;
  return CallAndWait(call);
}

// Prints the body of the response, or an error if there is no response.
ExitCode PrintResponse(const HttpResponse& response) {
  if (response.status != TransferStatus::kAnswered) {
    PrintFaults(
        {{ResultCode::kTransportFailed, "", "the instance doesn't answer"}});
    return ExitCode::kFailed;
  }
  std::cout << response.body << std::endl;
  return response.http_status == http_status::kOk ? ExitCode::kDone
                                                  : ExitCode::kFailed;
}

std::string RandomChangeId() {
  std::random_device device;
  char text[20];
  std::snprintf(text, sizeof(text), "%08x%08x", device(), device());
  return text;
}

void PrintStatus(const Json& status) {
  std::printf("instance    %s (%s)%s\n", status.value("instance", "").c_str(),
              status.value("data_centre", "").c_str(),
              status.value("relay", false) ? ", relay" : "");
  std::printf("revision    %llu\n", status.value("revision", 0ULL));
  std::printf("platform    %s\n\n", status.value("platform_up", false)
                                        ? "answers"
                                        : "not heard from");
  std::printf("%-24s %-16s %-8s %s\n", "INSTANCE", "DATA CENTRE", "STATE",
              "REVISION");
  for (const auto& entry : status.at("instances")) {
    std::string revision = "-";
    if (entry.contains("revision")) {
      revision =
          entry["revision"].is_null() ? "no answer" : entry["revision"].dump();
    }
    if (entry.value("behind", false))
      revision += " (behind)";
    std::printf("%-24s %-16s %-8s %s\n", entry.value("name", "").c_str(),
                entry.value("data_centre", "").c_str(),
                entry.value("state", "").c_str(), revision.c_str());
  }
}

// Reads a settings file and validates it with `read`.
template <typename S, typename Reader>
CheckedResult<S> ReadSettingsFile(const std::string& path, Reader read) {
  const auto json = ReadJsonFile(path);
  if (!json) {
    return BOOST_OUTCOME_V2_NAMESPACE::failure(
        std::vector<Error>{json.error()});
  }
  return read(json.assume_value());
}

// Applies the settings that may change while the instance runs. Faulty settings
// change nothing.
void ReloadEntrySettings(const std::string& path) {
  const auto settings =
      ReadSettingsFile<EntrySettings>(path, ReadEntrySettings);
  if (settings) {
    SetLogLevel(settings.assume_value().log_level);
    Log(LogLevel::kInfo, "settings_reloaded");
    return;
  }
  for (const Error& fault : settings.error()) {
    Log(LogLevel::kError, "settings_refused",
        {{"code", NumberOf(fault.code)},
         {"pointer", fault.pointer},
         {"message", fault.message}});
  }
}

// The interval between checks whether the settings file was replaced, which may
// happen without a signal. No setting that can be reloaded is urgent, and the
// file is small.
constexpr timespec kSettingsPollInterval{5, 0};

// Waits for a signal to stop. Calls `reload` at SIGHUP, and `poll` when no
// signal came for kSettingsPollInterval.
template <typename Reload, typename Poll>
void WaitForStop(const sigset_t& signals, Reload reload, Poll poll) {
  while (true) {
    const int received =
        sigtimedwait(&signals, nullptr, &kSettingsPollInterval);
    if (received == SIGHUP)
      reload();
    else if (received > 0)
      return;
    else if (errno == EAGAIN)
      poll();
  }
}

// Blocks the signals that WaitForStop() takes, in this thread and in those that
// it starts, and returns them. To be called before anything else: a signal to
// reload the settings would end a process that is still starting.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Runs an instance until SIGTERM or SIGINT. Further signals stay blocked while
// it stops: a second order to stop is the same order, and ending sooner would
// cut requests that were just taken.
template <typename App, typename S, typename Reload, typename Poll>
ExitCode RunUntilStopped(const S& settings,
                         const sigset_t& signals,
                         Reload reload,
                         Poll poll) {
  StartLogging({settings.instance, settings.data_centre, settings.log_level});
  ExitCode exit_code = ExitCode::kDone;
  {
    App app(settings);
    if (const auto started = app.Start(); !started) {
      PrintFaults({started.error()});
      StopLogging();
      return ExitCode::kFailed;
    }
    WaitForStop(signals, reload, poll);
    exit_code = app.Stop() ? ExitCode::kDone : ExitCode::kRequestsCut;
  }
  StopLogging();
  return exit_code;
}

}  // namespace

ExitCode Serve(const CommandOptions& options) {
  const sigset_t signals = BlockSignals();
  const auto settings =
      ReadSettingsFile<Settings>(options.settings, ReadSettings);
  if (!settings) {
    PrintFaults(settings.error());
    return ExitCode::kSettingsFaulty;
  }
  return RunUntilStopped<ServerApp>(
      settings.assume_value(), signals, [] {}, [] {});
}

ExitCode Entry(const CommandOptions& options) {
  const sigset_t signals = BlockSignals();
  const auto settings =
      ReadSettingsFile<EntrySettings>(options.settings, ReadEntrySettings);
  if (!settings) {
    PrintFaults(settings.error());
    return ExitCode::kSettingsFaulty;
  }
  WatchedFile file(options.settings);
  const auto reload = [&options, &file] {
    file.HasChanged();
    ReloadEntrySettings(options.settings);
  };
  const auto poll = [&reload, &file] {
    if (file.HasChanged())
      reload();
  };
  return RunUntilStopped<EntryApp>(settings.assume_value(), signals, reload,
                                   poll);
}

ExitCode Report(const CommandOptions& options) {
  if (options.arguments.empty()) {
    PrintFaults({{ResultCode::kUsage, "", "report needs the names of logs"}});
    return ExitCode::kUsage;
  }
  LogReport report;
  for (const auto& name : options.arguments) {
    std::ifstream file;
    if (name != "-")
      file.open(name);
    if (!file) {
      PrintFaults({{ResultCode::kFileUnreadable, name, "can't be read"}});
      return ExitCode::kFailed;
    }
    std::istream& lines = name == "-" ? std::cin : file;
    for (std::string line; std::getline(lines, line);)
      report.Add(name, line);
  }
  std::cout << (options.json ? report.Summary().dump() + "\n" : report.Text());
  return ExitCode::kDone;
}

ExitCode Query(const CommandOptions& options) {
  if (options.address.empty() || options.collection.empty())
    return UsageError("query needs --address and --collection");
  Json body = {{"collection", options.collection}, {"terms", options.terms}};
  if (options.deadline_ms != 0)
    body["deadline_ms"] = options.deadline_ms;
  if (options.limit != 0)
    body["limit"] = options.limit;
  if (options.explain)
    body["explain"] = true;
  return PrintResponse(Call(options, "POST", "/v1/search", body.dump()));
}

ExitCode ConfigCheck(const CommandOptions& options) {
  if (options.file.empty())
    return UsageError("config check needs --file");
  const auto json = ReadJsonFile(options.file);
  const auto faults = json ? CheckDocument(json.assume_value())
                           : std::vector<Error>{json.error()};
  if (options.json)
    std::cout << WriteFaults(faults) << std::endl;
  else
    PrintFaults(faults);
  if (!faults.empty())
    return ExitCode::kFailed;
  if (!options.json)
    std::cout << "the document is sound" << std::endl;
  return ExitCode::kDone;
}

ExitCode ConfigSubmit(const CommandOptions& options) {
  if (options.address.empty() || options.file.empty() ||
      options.author.empty() || options.reason.empty() ||
      options.base_revision < 0) {
    return UsageError(
        "config submit needs --address, --file, --author, --reason and "
        "--base-revision");
  }
  const auto json = ReadJsonFile(options.file);
  if (!json) {
    PrintFaults({json.error()});
    return ExitCode::kFailed;
  }
  const std::string change_id =
      options.change_id.empty() ? RandomChangeId() : options.change_id;
  std::cerr << "change id " << change_id << std::endl;
  const Json body = {{"change_id", change_id},
                     {"base_revision", options.base_revision},
                     {"author", options.author},
                     {"reason", options.reason},
                     {"document", json.assume_value()}};
  return PrintResponse(Call(options, "POST", "/v1/config", body.dump()));
}

ExitCode ConfigShow(const CommandOptions& options) {
  return PrintResponse(Call(options, "GET", "/v1/config"));
}

ExitCode ConfigHistory(const CommandOptions& options) {
  return PrintResponse(Call(options, "GET", "/v1/config/history"));
}

ExitCode Status(const CommandOptions& options) {
  const HttpResponse response = Call(options, "GET", "/v1/status");
  if (options.json || response.status != TransferStatus::kAnswered ||
      response.http_status != http_status::kOk) {
    return PrintResponse(response);
  }
  const auto json = ParseJson(response.body);
  if (!json)
    return PrintResponse(response);
  PrintStatus(json.assume_value());
  return ExitCode::kDone;
}

ExitCode Explain(const CommandOptions& options) {
  if (options.arguments.empty())
    return UsageError("explain needs a request id");
  return PrintResponse(Call(
      options, "GET", "/v1/explain?request_id=" + options.arguments.front()));
}

}  // namespace limpetrudder
