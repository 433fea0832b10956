// Many users come at once, and take their answers at the pace of their links.

#include "rig.h"

namespace {

// Requests a second, and by what a burst multiplies them for how long.
constexpr double kUsual = 8;
constexpr double kBurst = 2.5;
constexpr double kUsualMs = 4000;
constexpr double kBurstMs = 5000;
constexpr std::size_t kAnswerBytes = 4'000'000;
// Each client takes its answer at 20 Mbit/s, that is, within 1.6 s. All
// together take 640 Mbit/s in the burst.
constexpr double kBytesPerSecond = 20e6 / 8;
constexpr int kTimeoutMs = 6000;

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = rig::Begin(argc, argv);
  rig::Store store;
  const auto work = [](rig::Server& server, rig::Conn& conn, rig::Message& m) {
    const bool is_long = m.Target() != "/reports/short";
    rig::Sleep(20);
    return conn.Write(rig::Answer(
        200, server.Headers(m), std::string(is_long ? kAnswerBytes : 100, 'a')));
  };
  std::vector<std::unique_ptr<rig::Server>> servers;
  std::vector<rig::Server*> pointers;
  for (int i = 0; i < 7; ++i) {
    servers.push_back(std::make_unique<rig::Server>(
        &store, "i-" + std::to_string(i), "reports", "kgn-a", work));
    servers.back()->slots = 4;
    servers.back()->queue = 20;
    pointers.push_back(servers.back().get());
  }
  store.Put("op/config", rig::Json({{"Version", 7},
                                    {"Routes",
                                     {{{"Name", "r-reports"},
                                       {"Host", "shop.example"},
                                       {"Prefix", "/reports/"},
                                       {"Kind", "idempotent"},
                                       {"TimeoutMs", kTimeoutMs},
                                       {"LatencyTargetMs", 600},
                                       {"Priority", 2},
                                       {"Service", "reports"},
                                       {"MaxAttempts", 2}}}},
                                    {"Services", {rig::Service("reports", 110)}},
                                    {"Limits", rig::Limits()}})
                             .dump());
  rig::Beats beats(pointers);
  rig::Entry entry(folder, "frontend-kgn-a-1", "kgn-a", store.port());
  entry.Start();
  entry.AwaitReady();
  rig::Sleep(12000);
  std::atomic<int> cut{0}, whole{0}, refused{0};
  std::vector<std::thread> clients;
  std::vector<double> times;
  const double burst_at = rig::Now() + 2000 + kUsualMs;
  const double factor = rig::Trouble() ? kBurst : 1;
  for (double at = burst_at - kUsualMs; at < burst_at + kBurstMs;)
    at += 1000 / (kUsual * (at < burst_at ? 1 : factor)), times.push_back(at);
  for (std::size_t i = 0; i < times.size(); ++i) {
    clients.emplace_back([&, i] {
      // The connection is open and has had a request before.
      rig::SleepUntil(times[i] - 1000);
      const auto conn = rig::Connect(entry.caller_port, 1448, 65536);
      const std::string id = "c" + std::to_string(i);
      conn->Write(rig::Request("GET", "shop.example", "/reports/short",
                               id + "a", kTimeoutMs));
      const auto first = conn->Read(rig::Now() + kTimeoutMs, true);
      rig::SleepUntil(times[i]);
      const double sent = rig::Now();
      conn->Write(rig::Request("GET", "shop.example", "/reports/2f", id + "b",
                               kTimeoutMs));
      const auto answer =
          conn->Read(rig::Now() + kTimeoutMs, true, kBytesPerSecond);
      const bool ended = conn->Ended();
      RECORD("client %zu: first %d; then %d, %zu bytes, %s, after %.0f ms", i,
             first.Status(), answer.Status(), answer.body.size(),
             answer.whole ? "whole" : ended ? "the connection ended" : "late",
             rig::Now() - sent);
      if (answer.whole)
        ++(answer.Status() == 200 ? whole : refused);
      else if (ended)
        ++cut;
    });
  }
  double most = 0;
  for (int i = 0; i < 280; ++i) {
    most = std::max(most, entry.MemoryMb());
    rig::Sleep(50);
  }
  for (auto& client : clients)
    client.join();
  RECORD("whole %d, refused %d, cut %d; memory at most %.0f MB", whole.load(),
         refused.load(), cut.load(), most);
  entry.Kill();
  rig::End(cut > 3, std::to_string(cut) + " of " +
                        std::to_string(times.size()) +
                        " answers were cut, of servers that were sound");
}
