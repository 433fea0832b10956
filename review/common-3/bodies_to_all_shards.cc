// Clients send bodies within the limits on a route to all shards, many at once.

#include <algorithm>

#include "rig.h"

namespace {

constexpr int kShards = 90;
constexpr int kServers = 3;  // Of each shard.
constexpr int kTimeoutMs = 1000;
constexpr std::size_t kBodyBytes = 262144;  // MaxBodyBytes
constexpr std::size_t kChunkBytes = 65536;
constexpr double kMemoryMb = 260;  // Limits.MemoryMb
constexpr int kMachines = 3;
constexpr int kClients = 12;  // Of each machine.

std::string ChunkedRequest(const std::string& id) {
  std::string text = "POST /coverage/2f HTTP/1.1\r\nHost: portal.example\r\n"
                     "Request-Id: " + id + "\r\nTimeout-Ms: " +
                     std::to_string(kTimeoutMs) +
                     "\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < kBodyBytes; sent += kChunkBytes)
    text += "10000\r\n" + std::string(kChunkBytes, 'b') + "\r\n";
  return text + "0\r\n\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = rig::Begin(argc, argv);
  rig::Store store;
  const auto work = [](rig::Server& server, rig::Conn& conn, rig::Message& m) {
    rig::Sleep(7.5);
    return conn.Write(
        rig::Answer(200, server.Headers(m), std::string(400, 'a')));
  };
  std::vector<std::unique_ptr<rig::Server>> servers;
  std::vector<rig::Server*> pointers;
  rig::Json services = rig::Json::array();
  rig::Json gather = rig::Json::array();
  for (int i = 0; i < kShards; ++i) {
    const std::string shard = "shard" + std::to_string(100 + i);
    gather.push_back(shard);
    services.push_back(rig::Service(shard, 84));
    for (int k = 0; k < kServers; ++k) {
      servers.push_back(std::make_unique<rig::Server>(
          &store, "i-" + shard + "-" + std::to_string(k), shard, "brest-nord",
          work));
      servers.back()->slots = 2;
      pointers.push_back(servers.back().get());
    }
  }
  store.Put("op/config", rig::Json({{"Version", 7},
                                    {"Routes",
                                     {{{"Name", "r-coverage"},
                                       {"Host", "portal.example"},
                                       {"Prefix", "/coverage/"},
                                       {"Kind", "idempotent"},
                                       {"TimeoutMs", kTimeoutMs},
                                       {"LatencyTargetMs", 150},
                                       {"Priority", 1},
                                       {"Gather", gather},
                                       {"MaxAttempts", 2},
                                       {"TopK", 20},
                                       {"MinRatio", 0.95}}}},
                                    {"Services", services},
                                    {"Limits", rig::Limits()}})
                             .dump());
  rig::Beats beats(pointers);
  std::vector<std::unique_ptr<rig::Entry>> entries;
  for (int i = 0; i < kMachines; ++i) {
    entries.push_back(std::make_unique<rig::Entry>(
        folder, "frontend-brest-nord-" + std::to_string(i + 1), "brest-nord",
        store.port()));
    rig::Json& settings = entries.back()->settings;
    settings["memory_mb"] = kMemoryMb;
    settings["max_descriptors"] = 8192;
    settings["retry_budget"] = {{"ratio", 0.2}, {"slack", 254}};
    entries.back()->Start();
  }
  for (const auto& entry : entries)
    entry->AwaitReady();
  rig::Sleep(12000);
  std::atomic<bool> running{true};
  std::atomic<int> answered{0}, refused{0}, other{0};
  std::vector<std::thread> clients;
  const int crowd = rig::Trouble() ? kClients : 1;
  for (int i = 0; i < kMachines * crowd; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; running; ++n) {
        const auto conn = rig::Connect(entries[i % kMachines]->caller_port);
        if (!conn) {
          rig::Sleep(100);
          continue;
        }
        const std::string id = std::to_string(i) + "x" + std::to_string(n);
        conn->Write(ChunkedRequest(id));
        const auto answer = conn->Read(rig::Now() + kTimeoutMs + 500, true);
        const int status = answer.Status();
        ++(status == 200 ? answered : status == 503 ? refused : other);
        rig::Sleep(status == 200 ? 10 : 300);
      }
    });
  }
  // The platform kills a process that exceeds MemoryMb, and starts it again
  // after a short delay.
  double most = 0;
  std::vector<int> ends(kMachines, 0);
  std::vector<double> start_at(kMachines, 0);
  const auto machines_with_three = [&ends] {
    return std::count_if(ends.begin(), ends.end(),
                         [](int count) { return count >= 3; });
  };
  const double until = rig::Now() + (rig::Trouble() ? 90000 : 40000);
  for (int k = 0; rig::Now() < until && machines_with_three() < 2; ++k) {
    for (int i = 0; i < kMachines; ++i) {
      rig::Entry& entry = *entries[i];
      if (entry.pid <= 0) {
        if (rig::Now() >= start_at[i])
          entry.Start();
        continue;
      }
      const double memory = entry.MemoryMb();
      most = std::max(most, memory);
      if (memory > kMemoryMb || entry.Wait(0)) {
        entry.Kill();
        start_at[i] = rig::Now() + 500;
        RECORD("machine %d has ended, time %d, with %.0f MB", i + 1, ++ends[i],
               memory);
      } else if (k % 100 == 0) {
        RECORD("machine %d: memory %.0f MB; answered %d, refused %d, other %d "
               "in all",
               i + 1, memory, answered.load(), refused.load(), other.load());
      }
    }
    rig::Sleep(20);
  }
  running = false;
  for (const auto& entry : entries)
    entry->Kill();
  for (auto& client : clients)
    client.join();
  rig::End(machines_with_three() >= 2,
           "processes ended " + std::to_string(ends[0]) + ", " +
               std::to_string(ends[1]) + " and " + std::to_string(ends[2]) +
               " times; " + std::to_string(static_cast<int>(most)) +
               " MB at most of " + std::to_string(static_cast<int>(kMemoryMb)));
}
