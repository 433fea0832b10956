// A new version of the configuration removes the last tenant.

#include "rig.h"

namespace {

constexpr double kConfigApplyMs = 5000;
constexpr int kTimeoutMs = 4000;

std::string Config(int version, const rig::Json& tenants) {
  return rig::Json({{"Version", version},
                    {"Routes",
                     {{{"Name", "r-history"},
                       {"Host", "pass.example"},
                       {"Prefix", "/history/"},
                       {"Kind", "idempotent"},
                       {"TimeoutMs", kTimeoutMs},
                       {"LatencyTargetMs", 800},
                       {"Priority", 2},
                       {"Service", "ledgerpull"},
                       {"MaxAttempts", 2}}}},
                    {"Services", {rig::Service("ledgerpull", 560)}},
                    {"Tenants", tenants},
                    {"Limits", rig::Limits()}})
      .dump();
}

rig::Json Tenant(const std::string& name, const std::string& key) {
  return {{"Name", name}, {"ApiKeys", {key}}, {"RatePerS", 0}};
}

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = rig::Begin(argc, argv);
  rig::Store store;
  rig::Server a(&store, "i-a", "ledgerpull", "khomas-a");
  rig::Server b(&store, "i-b", "ledgerpull", "khomas-a");
  rig::Json tenants = {Tenant("arena-one", "key-of-one")};
  // Without the disruption another tenant is left.
  if (!rig::Trouble())
    tenants.push_back(Tenant("arena-two", "key-of-two"));
  store.Put("op/config", Config(7, tenants));
  rig::Beats beats({&a, &b});
  rig::Entry entry(folder, "frontend-khomas-a-1", "khomas-a", store.port());
  entry.settings["quota"] = {{"window", 5}, {"overage", 0.1}, {"slack", 20}};
  entry.settings["key_confirmation"] = {{"strict", false}, {"bound_ms", 5000}};
  entry.Start();
  entry.AwaitReady();
  rig::Sleep(6000);
  const auto ask = [&](const std::string& id, const std::string& key) {
    const auto conn = rig::Connect(entry.caller_port);
    conn->Write(rig::Request("GET", "pass.example", "/history/2f", id,
                             kTimeoutMs, "",
                             "Authorization: Bearer " + key + "\r\n"));
    const auto answer = conn->Read(rig::Now() + kTimeoutMs, true);
    RECORD("%s with %s: %d", id.c_str(), key.c_str(), answer.Status());
    return answer.Status();
  };
  if (ask("before-1", "key-of-one") != 200 ||
      ask("before-2", "key-of-nobody") != 401) {
    entry.Kill();
    rig::CannotRun("the keys aren't in force");
  }
  tenants.erase(0);
  store.Put("op/config", Config(9, tenants));
  RECORD("version 9 removes the tenant arena-one, %zu are left: acknowledged",
         tenants.size());
  rig::Sleep(2 * kConfigApplyMs);
  for (int i = 0; i < 10; ++i) {
    ask("removed-" + std::to_string(i), "key-of-one");
    ask("nobody-" + std::to_string(i), "key-of-nobody");
    rig::Sleep(200);
  }
  entry.Kill();
  int ran = 0;
  int with_key = 0;
  for (rig::Server* server : {&a, &b}) {
    for (const auto& run : server->runs()) {
      const std::string key = run.request.Header("Authorization");
      RECORD("%s ran %s; Tenant '%s', Authorization '%s'", server->id().c_str(),
             run.request_id.c_str(), run.request.Header("Tenant").c_str(),
             key.c_str());
      ran += run.request_id.compare(0, 6, "before") != 0 ? 1 : 0;
      with_key += key.empty() ? 0 : 1;
    }
  }
  rig::End(ran > 0 || with_key > 0,
           std::to_string(ran) + " of 20 requests with removed or unknown keys "
                                 "were run, " +
               std::to_string(with_key) + " of them got the key");
}
