#ifndef TESTING_SOAK_ENTRY_PROCESS_H_
#define TESTING_SOAK_ENTRY_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "framework/time.h"

namespace limpetrudder::testbed {

// The ports of a TCP connection on the loopback interface, from and to.
using LoopbackConnection = std::pair<std::uint16_t, std::uint16_t>;

// Returns the open ones by the names that file descriptors give them.
std::map<std::string, LoopbackConnection> ReadLoopbackConnections();

// Name and loopback ports of one entry instance of a soak run.
struct EntryOptions {
  std::string name;
  std::uint16_t caller_port = 0;
  std::uint16_t ready_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t store_port = 0;  // Port of the instance's proxy to the store.
  double memory_mb = 0;  // The memory_mb of its settings; their default if 0.
  // The soft limit on its open descriptors; that of this process if 0.
  std::uint64_t max_descriptors = 0;
};

// One process of a real binary, which the soak starts and sends signals to.
// Signals only the process that it started, by its id.
class EntryProcess {
 public:
  // Each start runs the next one of the `binaries`, from `first_binary` on.
  EntryProcess(std::vector<std::string> binaries,
               std::size_t first_binary,
               std::string folder,
               EntryOptions options);
  ~EntryProcess();

  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  void Start();
  void Signal(int signal);
  // Whether the process isn't running; collects its exit status. If true, the
  // process can be started again.
  bool HasExited();

  // Adds the process's connections among `all` to `own`.
  void AddConnections(const std::map<std::string, LoopbackConnection>& all,
                      std::set<LoopbackConnection>* own) const;

  // The resident memory of the process in bytes; 0 if it isn't running.
  std::size_t ResidentBytes() const;

  // The most resident memory that the process has had since its start, in
  // bytes; 0 if it isn't running.
  std::size_t PeakResidentBytes() const;

  // The number of open descriptors of the process; 0 if it isn't running.
  std::size_t OpenDescriptors() const;

  bool running() const { return pid_ > 0; }
  bool paused() const { return paused_; }
  bool stopping() const { return stopping_; }
  int exit_status() const { return exit_status_; }
  // The time of the first SIGTERM since the last start.
  Time stop_time() const { return stop_time_; }
  const EntryOptions& options() const { return options_; }

 private:
  const std::vector<std::string> binaries_;
  std::size_t next_binary_;
  const std::string folder_;
  const EntryOptions options_;
  pid_t pid_ = 0;
  bool paused_ = false;
  bool stopping_ = false;
  int exit_status_ = 0;
  Time stop_time_{};
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_SOAK_ENTRY_PROCESS_H_
