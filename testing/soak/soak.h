#ifndef TESTING_SOAK_SOAK_H_
#define TESTING_SOAK_SOAK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <asio.hpp>

#include "framework/random.h"
#include "net/target_pool.h"
#include "testing/soak/entry_process.h"
#include "testing/soak/server_stand_in.h"
#include "testing/soak/store_stand_in.h"
#include "testing/soak/tcp_proxy.h"

namespace limpetrudder::testbed {

struct SoakOptions {
  std::string binary;
  // If set, every other start of an instance runs this build, as during
  // upgrades: both are side by side.
  std::string other_binary;
  std::string folder;
  std::uint64_t seed = 1;
  int entries = 3;
  int shards = 4;
  int replicas = 2;
  double requests_per_second = 60;
  Duration fault_duration = Seconds(10);
  std::uint16_t first_port = 21000;
};

// One soak run: real processes of the product between stand-ins of callers,
// servers and the store. Injects faults drawn from the seed and checks the
// promises by what callers and servers see.
class Soak {
 public:
  explicit Soak(SoakOptions options);
  ~Soak();

  // The highest port that a run with `options` uses.
  static int LastPort(const SoakOptions& options);

  // Returns a line for each violation of a promise; empty if there is none.
  std::vector<std::string> Run();

 private:
  enum class Kind { kSearch, kRead, kWrite, kDeadlySearch };

  struct PendingRequest {
    Kind kind = Kind::kSearch;
    std::string request_id;
    std::size_t entry = 0;
    Time sent{};
    bool fault_free = false;  // IsFaultFree() when it was sent.
    bool cancels_early = false;
    // Sent while some instances have been cut off from the servers for long
    // enough.
    bool during_cut = false;
    // Sent while a request of death comes again and again, later than
    // kContactTime after it first came.
    bool during_deadly = false;
    bool during_stop = false;  // Sent to an instance that gets stop signals.
    std::shared_ptr<asio::steady_timer> timer;
  };

  // A fault that is undone at `end`.
  struct ActiveFault {
    Time end{};
    std::function<void()> undo;
  };

  // Requests, and those of them that were served.
  struct Count {
    int sent = 0;
    int served = 0;
  };

  void StartFleet();
  std::string MakeConfig(std::uint64_t version) const;
  void RunPhase(Duration duration, bool with_faults);
  // Writes the servers' values and those of another writer into the store and
  // checks the instances' memory.
  void Heartbeat();
  // Writes large entries that can't be read, and a small one under a new key.
  void WriteForeignValues();
  static std::string PathOf(Kind kind);
  void SendNextRequest();
  void SendRequest(std::size_t entry, Kind kind);
  void OnResponse(PoolResponse response);
  void CheckSearchResponse(const PendingRequest& pending,
                           const PoolResponse& response);
  void CheckSingleResponse(const PendingRequest& pending,
                           const PoolResponse& response);
  void CheckLostRequest(const PendingRequest& pending,
                        const PoolResponse& response);
  void CheckServerCounters();
  // Cuts some instances off from all servers for a while and checks that their
  // callers are served.
  void RunServerCut();
  void CheckServerCut();
  void UpdateCutConnections();
  // Sends a request of death again and again to all instances, of which one
  // restarts meanwhile, and checks how often it reaches servers.
  void RunRequestOfDeath();
  void CheckRequestOfDeath();
  // Tells an instance to stop, sends it further signals while it does, and
  // checks that it serves the requests that it takes meanwhile.
  void RunRepeatedStop();
  void SendStopSignal();
  void CrashServer(std::size_t index);
  void InjectFault();
  void InjectEntryFault(EntryProcess* entry);
  void InjectServerFault();
  void InjectStoreFault();
  void RestoreStore(Duration age);
  void ChangeConfig();
  void EndExpiredFaults(Time now);
  // Has `undo` called after `duration`; until then a fault is on.
  void EndFaultAfter(Duration duration, std::function<void()> undo);
  // Starts again the entry instances that have exited.
  void RestartExited();
  void ReportViolation(const std::string& violation);
  void Log(const std::string& message) const;
  // Whether no fault is on and the last one ended at least kRecoveryTime ago.
  bool IsFaultFree() const;

  const SoakOptions options_;
  Random random_;
  // Of their own, so that older seeds give the same faults.
  Random stop_random_;
  Random foreign_random_;
  asio::io_context context_{1};
  ServerCounters counters_;
  StoreStandIn store_;
  TargetPool callers_;
  std::vector<std::unique_ptr<TcpProxy>> store_proxies_;
  std::vector<std::unique_ptr<ServerStandIn>> servers_;
  std::vector<std::unique_ptr<TcpProxy>> server_proxies_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::set<std::string> write_ids_;  // Ids of requests that may run only once.
  std::map<std::string, int> refused_;  // 503 or 429, by request id.
  std::vector<ActiveFault> active_faults_;
  std::vector<std::string> violations_;
  Time start_{};
  Time last_fault_end_{};
  std::uint64_t next_request_ = 1;
  std::uint64_t sequence_ = 1;
  std::uint64_t version_ = 1;
  int fault_free_sent_ = 0;
  int fault_free_served_ = 0;
  int served_ = 0;
  std::set<std::size_t> cut_entries_;             // From all servers.
  bool servers_cut_ = false;                      // For them, now.
  std::set<LoopbackConnection> cut_connections_;  // Of these instances.
  Time cut_counts_from_ = kNever;
  Count at_cut_entries_;
  Count at_other_entries_;
  Time next_deadly_ = kNever;  // Time of the next request of death.
  Time deadly_counts_from_ = kNever;
  std::size_t next_deadly_entry_ = 0;
  Count during_deadly_;
  std::vector<Time> crash_times_;
  std::set<std::size_t> crashed_servers_;
  std::size_t stopped_entry_ = 0;
  Time next_stop_signal_ = kNever;
  Time next_stop_request_ = kNever;
  Count during_stop_;
  int fault_count_ = 0;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_SOAK_SOAK_H_
