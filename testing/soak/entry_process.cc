#include "testing/soak/entry_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <system_error>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/clock.h"

namespace limpetrudder::testbed {
namespace {

// The state of open connections, and the empty queues that follow it begin so.
constexpr char kEstablished[] = " 01 0000";

std::string LoopbackAddress(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

EntryProcess::EntryProcess(std::vector<std::string> binaries,
                           std::size_t first_binary,
                           std::string folder,
                           EntryOptions options)
    : binaries_(std::move(binaries)),
      next_binary_(first_binary),
      folder_(std::move(folder)),
      options_(std::move(options)) {
  nlohmann::json settings = {
      {"instance", options_.name},
      {"data_centre", "here"},
      {"regions", {{"here", "here"}}},
      {"caller_address", LoopbackAddress(options_.caller_port)},
      {"ready_address", LoopbackAddress(options_.ready_port)},
      {"peer_address", LoopbackAddress(options_.peer_port)},
      {"store_address", LoopbackAddress(options_.store_port)},
      {"retry_budget", {{"ratio", 0.2}, {"slack", 50}}},
      {"stop_bound_ms", 6000}};
  if (options_.memory_mb > 0)
    settings["memory_mb"] = options_.memory_mb;
  std::ofstream(folder_ + "/" + options_.name + ".json") << settings.dump();
}

EntryProcess::~EntryProcess() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void EntryProcess::Start() {
  const std::string settings = folder_ + "/" + options_.name + ".json";
  const std::string log = folder_ + "/" + options_.name + ".log";
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // NOTE The soak couldn't close or reset a socket that a process has as well.
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  const std::string& binary = binaries_[next_binary_++ % binaries_.size()];
  const char* arguments[] = {binary.c_str(), "entry", "--settings",
                             settings.c_str(), nullptr};
  rlimit own_limit{};
  getrlimit(RLIMIT_NOFILE, &own_limit);
  if (options_.max_descriptors > 0) {
    rlimit limit = own_limit;
    limit.rlim_cur = options_.max_descriptors;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  const int error = posix_spawn(&pid_, binary.c_str(), &files, nullptr,
                                const_cast<char* const*>(arguments), environ);
  setrlimit(RLIMIT_NOFILE, &own_limit);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0)
    throw std::runtime_error("cannot start " + binary);
  paused_ = false;
  stopping_ = false;
}

void EntryProcess::Signal(int signal) {
  if (pid_ <= 0)
    return;
  kill(pid_, signal);
  if (signal == SIGSTOP)
    paused_ = true;
  if (signal == SIGCONT)
    paused_ = false;
  if (signal == SIGTERM && !stopping_) {
    stopping_ = true;
    stop_time_ = SteadyNow();
  }
}

bool EntryProcess::HasExited() {
  if (pid_ <= 0)
    return true;
  if (waitpid(pid_, &exit_status_, WNOHANG) != pid_)
    return false;
  pid_ = 0;
  return true;
}

std::map<std::string, LoopbackConnection> ReadLoopbackConnections() {
  std::map<std::string, LoopbackConnection> connections;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    // NOTE Most of the rows are connections that have been closed.
    if (line.find(kEstablished) == std::string::npos)
      continue;
    unsigned from = 0;
    unsigned to = 0;
    char inode[24] = "0";
    // The ends, then the inode in the tenth column; 0 once it is closed.
    if (std::sscanf(
            line.c_str(),
            " %*d: 0100007F:%x 0100007F:%x %*s %*s %*s %*s %*s %*s %23s", &from,
            &to, inode) == 3 &&
        std::string_view(inode) != "0") {
      connections["socket:[" + std::string(inode) + "]"] = {
          static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(to)};
    }
  }
  return connections;
}

void EntryProcess::AddConnections(
    const std::map<std::string, LoopbackConnection>& all,
    std::set<LoopbackConnection>* own) const {
  std::error_code error;
  for (const auto& file : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(pid_) + "/fd", error)) {
    const auto found =
        all.find(std::filesystem::read_symlink(file.path(), error).string());
    if (found != all.end())
      own->insert(found->second);
  }
}

std::size_t EntryProcess::ResidentBytes() const {
  if (!running())
    return 0;
  // The first two fields of statm: total and resident size in pages.
  std::ifstream pages("/proc/" + std::to_string(pid_) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  pages >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t EntryProcess::PeakResidentBytes() const {
  if (!running())
    return 0;
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    std::size_t kibibytes = 0;
    if (std::sscanf(line.c_str(), "VmHWM: %zu kB", &kibibytes) == 1)
      return kibibytes << 10;
  }
  return 0;
}

std::size_t EntryProcess::OpenDescriptors() const {
  if (!running())
    return 0;
  std::error_code error;
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(pid_) + "/fd", error);
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

}  // namespace limpetrudder::testbed
