// A process starts while stale reads of a part of the store are older than
// those of another part.

#include "rig.h"

namespace {

constexpr double kStaleMs = 3000;
constexpr double kConfigApplyMs = 5000;
constexpr double kStretchMaxMs = 15000;
constexpr int kRoutes = 1400;

std::string Config(int version, const std::string& service) {
  rig::Json routes = rig::Json::array();
  std::string shards;
  routes.push_back({{"Name", "r-orders"},
                    {"Host", "shop.example"},
                    {"Prefix", "/orders/"},
                    {"Kind", "idempotent"},
                    {"TimeoutMs", 2000},
                    {"LatencyTargetMs", 300},
                    {"Priority", 2},
                    {"Service", service},
                    {"MaxAttempts", 2}});
  rig::Json gather = rig::Json::array();
  for (int i = 0; i < 40; ++i)
    gather.push_back("shard" + std::to_string(100 + i));
  for (int i = 0; i < kRoutes; ++i) {
    routes.push_back({{"Name", "r-more" + std::to_string(i)},
                      {"Host", "more.example"},
                      {"Prefix", "/more" + std::to_string(i) + "/"},
                      {"Kind", "idempotent"},
                      {"TimeoutMs", 2000},
                      {"LatencyTargetMs", 300},
                      {"Priority", 2},
                      {"Gather", gather},
                      {"MaxAttempts", 2},
                      {"TopK", 5},
                      {"MinRatio", 0.85}});
  }
  rig::Json services = {rig::Service("old-orders", 60),
                        rig::Service("new-orders", 60)};
  for (const auto& shard : gather)
    services.push_back(rig::Service(shard, 60));
  return rig::Json({{"Version", version},
                    {"Routes", routes},
                    {"Services", services},
                    {"Limits", rig::Limits()}})
      .dump();
}

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = rig::Begin(argc, argv);
  rig::Store store;
  std::atomic<bool> lagging{false};
  store.stale_age = [&](const std::string& after) {
    // The copy that has the keys up to instances/ is up to date, the one that
    // has the rest is behind.
    return lagging && !after.empty() ? kStaleMs : 0.0;
  };
  std::mutex calls_mutex;
  store.on_call = [&](const rig::Message& m) {
    if (m.Target().find("kv-range") != std::string::npos)
      RECORD("store: %s", m.Target().c_str());
  };
  rig::Server old_server(&store, "i-old", "old-orders", "kgn-a");
  rig::Server new_server(&store, "i-new", "new-orders", "kgn-a");
  const std::string first = Config(7, "old-orders");
  const std::string second = Config(9, "new-orders");
  RECORD("a configuration takes %zu bytes", first.size());
  store.Put("op/config", first);
  rig::Beats beats({&old_server, &new_server});
  rig::Entry one(folder, "frontend-kgn-a-1", "kgn-a", store.port());
  rig::Entry two(folder, "frontend-kgn-a-2", "kgn-a", store.port());
  one.Start();
  two.Start();
  one.AwaitReady();
  two.AwaitReady();
  rig::Sleep(8000);

  store.Put("op/config", second);
  const double acknowledged = rig::Now();
  RECORD("version 9 moves the route to new-orders: acknowledged");
  lagging = rig::Trouble();
  rig::Sleep(500);
  // A machine is killed and starts again.
  one.Signal(SIGKILL);
  one.Wait(2000);
  rig::Sleep(500);
  one.Start();
  one.AwaitReady();
  rig::SleepUntil(acknowledged + 4000);
  lagging = false;
  RECORD("stale reads are up to date again");
  // Both are in touch, and the bound is over, however long it was stretched.
  rig::SleepUntil(acknowledged + kConfigApplyMs + kStretchMaxMs + 500);
  int by_old = 0;
  int answered = 0;
  for (int i = 0; i < 40; ++i) {
    const rig::Entry& entry = i % 2 == 0 ? one : two;
    const auto conn = rig::Connect(entry.caller_port);
    const std::string id = "q" + std::to_string(i);
    const double sent = rig::Now();
    conn->Write(rig::Request("GET", "shop.example", "/orders/2f", id, 2000));
    const auto answer = conn->Read(rig::Now() + 2500, true);
    const std::string stamp = answer.Header("Server-Stamp");
    RECORD("%s to frontend-kgn-a-%d, %.0f ms after the acknowledgement: %d %s",
           id.c_str(), i % 2 + 1, sent - acknowledged, answer.Status(),
           stamp.c_str());
    answered += answer.Status() == 200 ? 1 : 0;
    by_old += stamp.compare(0, 10, "old-orders") == 0 ? 1 : 0;
    rig::Sleep(500);
  }
  one.Kill();
  two.Kill();
  if (answered == 0)
    rig::CannotRun("nothing was answered");
  rig::End(by_old > 0, std::to_string(by_old) + " of " +
                           std::to_string(answered) +
                           " requests were run by the old service, sent 20 to "
                           "41 s after the acknowledgement");
}
