#ifndef TESTING_HOSTILE_HOSTILE_RUN_H_
#define TESTING_HOSTILE_HOSTILE_RUN_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

#include "testing/hostile/hostile_case.h"
#include "testing/soak/entry_process.h"
#include "testing/soak/server_stand_in.h"
#include "testing/soak/store_stand_in.h"

namespace limpetrudder::testbed {

// Plays one crowd of hostile clients against one entry process, with a store
// and a server that are stand-ins, all on loopback addresses. Ends by itself
// within a bounded time. Not thread safe.
class HostileRun {
 public:
  // Uses the ports from `first_port` on. Throws if a port is taken.
  HostileRun(std::string binary,
             std::string folder,
             std::uint16_t first_port,
             HostileSetup setup);

  // Returns what didn't hold; nothing if all did. Call once.
  std::vector<std::string> Run();

  // What was measured, for the log.
  std::string Figures() const;

 private:
  void RunFor(Duration duration);
  // Runs until `holds` returns true; returns false after a bounded time.
  bool RunUntil(const std::function<bool()>& holds);
  void WriteStore();
  void Measure();
  void StartCrowd();
  bool CrowdIsDone() const;
  // Sends one request on a new connection and returns the status of its
  // response.
  int Exchange(std::uint16_t port, const std::string& request);
  // Sends an ordinary request until it is served, as callers do, a bounded
  // number of times. Returns whether it was.
  bool IsOrdinaryCallerServed();
  bool IsReady();
  void CheckProcess(const std::string& when);
  void CheckBounds();

  const HostileSetup setup_;
  const std::uint16_t first_port_;
  asio::io_context context_{1};
  ServerCounters counters_;
  StoreStandIn store_;
  ServerStandIn server_;
  EntryProcess entry_;
  std::vector<std::shared_ptr<HostileClient>> crowd_;
  std::vector<std::string> faults_;
  std::uint64_t sequence_ = 0;
  std::size_t descriptors_before_ = 0;
  std::size_t most_descriptors_ = 0;
  std::size_t peak_bytes_ = 0;
  std::size_t bytes_before_ = 0;
  int ordinary_tries_ = 0;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_HOSTILE_HOSTILE_RUN_H_
