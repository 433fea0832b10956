#ifndef TESTING_SOAK_ENTRY_PROCESS_H_
#define TESTING_SOAK_ENTRY_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "framework/time.h"

namespace limpetrudder::testbed {

// Where one entry instance of a soak listens and what it is told.
struct EntryPlace {
  std::string name;
  std::uint16_t caller_port = 0;
  std::uint16_t ready_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t store_port = 0;  // Of the proxy before the store.
};

// One real process of the product, started and signalled by the soak. Only
// processes that it started are signalled, by their ids.
class EntryProcess {
 public:
  EntryProcess(std::string binary, std::string folder, EntryPlace place);
  ~EntryProcess();

  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  void Start();
  void Signal(int signal);
  // Whether the process has ended; then it can be started again.
  bool Ended();

  // The memory that the process has now; 0 if it doesn't run.
  std::size_t ResidentBytes() const;

  bool running() const { return pid_ > 0; }
  bool paused() const { return paused_; }
  bool stopping() const { return stopping_; }
  int exit_status() const { return exit_status_; }
  Time signalled() const { return signalled_; }
  const EntryPlace& place() const { return place_; }

 private:
  const std::string binary_;
  const std::string folder_;
  const EntryPlace place_;
  pid_t pid_ = 0;
  bool paused_ = false;
  bool stopping_ = false;
  int exit_status_ = 0;
  Time signalled_{};
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_SOAK_ENTRY_PROCESS_H_
