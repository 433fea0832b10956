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
#include "testing/soak/part_server.h"
#include "testing/soak/store_stand_in.h"
#include "testing/soak/tcp_proxy.h"

namespace limpetrudder::testbed {

struct SoakOptions {
  std::string binary;
  std::string folder;
  std::uint64_t seed = 1;
  int entries = 3;
  int shards = 4;
  int replicas = 2;
  double requests_per_second = 60;
  Duration faults_last = Seconds(10);
  std::uint16_t first_port = 21000;
};

// One run: real processes of the product between stand-ins, harmed by faults
// that follow from the seed, and judged by what callers and servers see.
class Soak {
 public:
  explicit Soak(SoakOptions options);
  ~Soak();

  // The highest port that a run with `options` uses.
  static int LastPort(const SoakOptions& options);

  // Returns the promises that were broken; empty: none.
  std::vector<std::string> Run();

 private:
  enum class Kind { kSearch, kRead, kWrite };

  struct Asked {
    Kind kind = Kind::kSearch;
    std::string request_id;
    std::size_t entry = 0;
    Time sent{};
    bool calm = false;  // No fault was on when it was sent.
    bool leaves_early = false;
    std::shared_ptr<asio::steady_timer> timer;
  };

  // What a fault does at its end.
  struct Ending {
    Time at{};
    std::function<void()> undo;
  };

  void StartFleet();
  std::string Config(std::uint64_t version) const;
  void Loop(Duration duration, bool with_faults);
  void Beat();
  void AskNext();
  void Ask(std::size_t entry, Kind kind);
  void OnAnswer(PoolResponse response);
  void JudgeSearch(const Asked& asked, const PoolResponse& response);
  void JudgeSingle(const Asked& asked, const PoolResponse& response);
  void JudgeLost(const Asked& asked, const PoolResponse& response);
  void JudgeLedger();
  void MakeFault();
  void HarmEntry(EntryProcess* entry);
  void HarmServer();
  void HarmStore();
  void Drill(Duration age);
  void ChangeConfig();
  void EndFaults(Time now);
  void Undo(Duration after, std::function<void()> undo);
  void Revive();
  void Break(const std::string& what);
  void Say(const std::string& what) const;
  bool IsCalm() const;

  const SoakOptions options_;
  Random random_;
  asio::io_context context_{1};
  ServerLedger ledger_;
  StoreStandIn store_;
  TargetPool callers_;
  std::vector<std::unique_ptr<TcpProxy>> store_proxies_;
  std::vector<std::unique_ptr<PartServer>> servers_;
  std::vector<std::unique_ptr<TcpProxy>> server_proxies_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  std::map<std::uint64_t, Asked> asked_;
  std::set<std::string> writes_;        // Request ids of what may run once.
  std::map<std::string, int> not_run_;  // Said not to have run, by request id.
  std::vector<Ending> endings_;
  std::vector<std::string> broken_;
  Time began_{};
  Time last_fault_end_{};
  std::uint64_t next_request_ = 1;
  std::uint64_t sequence_ = 1;
  std::uint64_t version_ = 1;
  int calm_asked_ = 0;
  int calm_served_ = 0;
  int served_ = 0;
  int faults_ = 0;
};

}  // namespace limpetrudder::testbed

#endif  // TESTING_SOAK_SOAK_H_
