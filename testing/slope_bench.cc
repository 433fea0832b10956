// Measures the cost of each role at several sizes, from which docs/CAPACITY.md
// calculates the cost at the target size. The decision code runs in virtual
// time over a small in-memory message queue; only CPU time is real.

#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/distributor.h"
#include "config/document.h"
#include "config/publisher.h"
#include "config/tests/fake_platform.h"
#include "config/tests/test_document.h"
#include "membership/membership.h"
#include "net/internal/peer_codec.h"
#include "once/key_ledger.h"
#include "query/query_engine.h"
#include "testing/allocation_counter.h"

namespace limpetrudder::testbed {
namespace {

constexpr Duration kService = Millis(20);

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

// The slope and intercept of y over x by least squares.
struct Line {
  double slope = 0;
  double intercept = 0;
};

Line Fit(const std::vector<std::pair<double, double>>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  const auto n = static_cast<double>(points.size());
  Line line;
  line.slope = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  line.intercept = (sum_y - line.slope * sum_x) / n;
  return line;
}

std::shared_ptr<ConfigInForce> MakeConfig(int shards) {
  auto collection = std::make_shared<Collection>();
  collection->name = "catalogue";
  collection->map_epoch = 1;
  collection->deadline = Millis(290);
  collection->extra_load = 0.03;
  Service service{"service", {}};
  for (int i = 0; i < shards; ++i) {
    const std::string name = "shard-" + std::to_string(i);
    Shard shard{name, {}};
    for (const char* replica : {"-a", "-b"}) {
      shard.servers.push_back(
          {name + replica, name + replica, "kingston", 2, 25, false});
    }
    service.shards.push_back(std::move(shard));
  }
  collection->services.push_back(std::move(service));
  auto config = std::make_shared<ConfigInForce>();
  config->revision = 1;
  config->document.data_centres = {{"kingston", "jamaica"}};
  config->document.collections = {collection};
  return config;
}

// Measures CPU time and allocations of the query engine for each sub-query.
void MeasureDecisions() {
  std::printf(
      "decisions: shards, ns and allocations per sub-query, bytes per "
      "server\n");
  std::vector<std::pair<double, double>> points;
  for (int shards : {20, 78, 156}) {
    const std::size_t before = BytesInUse();
    QueryEngine engine({"kingston-0", "kingston", 1});
    Time now = Time() + Seconds(1000);
    engine.OnInstances({{"kingston-0", "kingston", "a"}}, now);
    engine.OnConfig(MakeConfig(shards), now);
    const std::size_t state = BytesInUse() - before;
    constexpr int kQueries = 3000;
    std::uint64_t sub_queries = 0;
    std::size_t allocations = 0;
    double cpu = 0;
    for (int i = 0; i < kQueries; ++i) {
      SearchRequest request;
      request.request_id = std::to_string(i);
      request.collection = "catalogue";
      request.terms = "gold";
      request.deadline = now + Millis(290);
      const double cpu_before = CpuSeconds();
      const std::size_t allocations_before = Allocations();
      engine.OnSearch(static_cast<QueryId>(i) + 1, std::move(request), false,
                      now);
      std::vector<AttemptId> sent;
      for (const auto& action : engine.TakeActions()) {
        if (const auto* send = std::get_if<SendAttempt>(&action))
          sent.push_back(send->attempt);
      }
      now += kService;
      for (AttemptId attempt : sent) {
        AttemptResult result;
        result.attempt = attempt;
        result.answer.snapshot = {1, 3};
        result.answer.hits = {{"id", "title", 1.0}};
        engine.OnAttempt(result, now);
      }
      engine.Tick(now);
      engine.TakeActions();
      cpu += CpuSeconds() - cpu_before;
      allocations += Allocations() - allocations_before;
      sub_queries += sent.size();
    }
    const double ns = cpu * 1e9 / static_cast<double>(sub_queries);
    std::printf(
        "  %d, %.0f ns, %.1f, %.0f\n", shards, ns,
        static_cast<double>(allocations) / static_cast<double>(sub_queries),
        static_cast<double>(state) / (2.0 * shards));
    points.emplace_back(shards, ns * shards / 1000.0);
  }
  const Line line = Fit(points);
  std::printf("  fit: a query costs %.1f us + %.2f us for each shard\n",
              line.intercept, line.slope);
}

struct FleetCost {
  double messages = 0;  // This and the next two: per instance and second.
  double bytes = 0;
  double cpu_us = 0;
  double memory = 0;  // Bytes of the member table per instance.
};

// Measures `data_centres` x `per_data_centre` members, with `restarts` per
// second in total.
FleetCost MeasureMembership(int data_centres,
                            int per_data_centre,
                            double restarts) {
  const std::size_t before = BytesInUse();
  std::map<std::string, std::unique_ptr<Membership>> members;
  std::vector<MemberUpdate> seeds;
  for (int d = 0; d < data_centres; ++d) {
    for (int i = 0; i < per_data_centre; ++i) {
      const std::string name =
          "dc" + std::to_string(d) + "-" + std::to_string(i);
      seeds.push_back(
          {name, "dc" + std::to_string(d), name, 1, MemberState::kAlive});
    }
  }
  Time now = Time() + Seconds(1000);
  for (const auto& seed : seeds) {
    members[seed.name] = std::make_unique<Membership>(MembershipSettings{
        seed.name, seed.data_centre, seed.name, 1, members.size() + 1});
    members[seed.name]->OnSeeds(seeds, now);
  }
  const std::size_t memory = BytesInUse() - before;
  Random random(1);
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  double cpu = 0;
  constexpr int kWarmup = 30;
  constexpr int kSeconds = 40;
  double due = 0;
  std::uint64_t incarnation = 1;
  for (int second = 0; second < kWarmup + kSeconds; ++second) {
    now += Seconds(1);
    const bool count = second >= kWarmup;
    due += count ? restarts : 0;
    for (; due >= 1; due -= 1) {
      const MemberUpdate& seed = seeds[random.Below(seeds.size())];
      members[seed.name] = std::make_unique<Membership>(
          MembershipSettings{seed.name, seed.data_centre, seed.name,
                             ++incarnation, random.Next()});
      members[seed.name]->OnSeeds(seeds, now);
    }
    const double cpu_before = CpuSeconds();
    for (auto& [name, member] : members) {
      member->Tick(now);
      for (const auto& probe : member->TakeProbes()) {
        const ProbeResponse answer =
            members.at(probe.address)->OnProbe(probe.message, now);
        member->OnProbeResponse(probe.probe, answer, now);
        if (!count)
          continue;
        ++messages;
        bytes += detail::ToWire(PeerProbe{probe.message, 1}).ByteSizeLong();
        PeerProbeReply reply;
        reply.answer = answer;
        bytes += detail::ToWire(reply).ByteSizeLong();
      }
    }
    if (count)
      cpu += CpuSeconds() - cpu_before;
  }
  const double total =
      static_cast<double>(members.size()) * static_cast<double>(kSeconds);
  return {static_cast<double>(messages) / total,
          2.0 * static_cast<double>(bytes) / total, cpu * 1e6 / total,
          static_cast<double>(memory) / static_cast<double>(members.size())};
}

void MeasureMemberships() {
  std::printf(
      "membership: data centres x instances, restarts/s, then for each "
      "instance and second messages, bytes in and out (payload), us; "
      "table KB\n");
  struct Size {
    int data_centres;
    int instances;
    double restarts;
  };
  std::vector<std::pair<double, double>> bytes;
  std::vector<std::pair<double, double>> table;
  for (const Size& size : {Size{1, 8, 0}, Size{1, 64, 0}, Size{1, 186, 0},
                           Size{4, 186, 0.027}, Size{14, 186, 0.094}}) {
    const FleetCost cost =
        MeasureMembership(size.data_centres, size.instances, size.restarts);
    std::printf("  %d x %d, %.3f: %.2f, %.0f, %.1f; %.1f\n", size.data_centres,
                size.instances, size.restarts, cost.messages, cost.bytes,
                cost.cpu_us, cost.memory / 1024.0);
    const double members = size.data_centres * size.instances;
    bytes.emplace_back(members, cost.bytes);
    table.emplace_back(members, cost.memory / 1024.0);
  }
  std::printf(
      "  fit: %.0f B/s + %.3f B/s for each member; table %.1f KB + "
      "%.3f KB for each member\n",
      Fit(bytes).intercept, Fit(bytes).slope, Fit(table).intercept,
      Fit(table).slope);
}

// Simulates how configuration changes spread among the instances of several
// data centres. Counts messages and their bytes.
class ConfigSpread {
 public:
  ConfigSpread(int data_centres, int instances, nlohmann::json document)
      : document_(std::move(document)) {
    for (int d = 0; d < data_centres; ++d) {
      for (int i = 0; i < instances; ++i)
        names_.push_back("dc" + std::to_string(d) + "-" + std::to_string(i));
    }
    for (const auto& name : names_) {
      DistributionPeers peers;
      for (const auto& other : names_) {
        const bool local = DataCentreOf(other) == DataCentreOf(name);
        if (other != name && local)
          peers.local.push_back(other);
        const bool relay = other.ends_with("-0");
        if (!local && relay)
          peers.remote_relays.push_back(other);
      }
      if (!name.ends_with("-0") && !name.ends_with("-1"))
        peers.remote_relays.clear();
      instances_[name] = std::make_unique<Distributor>(instances_.size() + 1);
      instances_[name]->SetPeers(std::move(peers));
    }
  }

  // Publishes the document with its next revision. Returns the virtual time
  // until it is in force everywhere.
  Duration Publish() {
    document_["collections"][0]["deadline_ms"] = 100 + revision_;
    SplitDocument split = SplitIntoParts(document_).assume_value();
    split.manifest.revision = ++revision_;
    const Time start = now_;
    Distributor& first = *instances_.at(names_[0]);
    first.OnPlatformRoot(split.manifest, now_);
    first.OnParts(std::string(), split.texts, now_);
    PerformActions(names_[0]);
    Time next_tick = now_ + kTurnInterval;
    while (!IsInForceEverywhere(revision_)) {
      if (queue_.empty() || queue_.begin()->first > next_tick) {
        now_ = next_tick;
        next_tick += kTurnInterval;
        for (const auto& name : names_) {
          instances_.at(name)->Tick(now_);
          PerformActions(name);
        }
        continue;
      }
      now_ = queue_.begin()->first;
      const auto action = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      action();
    }
    const Duration took = now_ - start;
    while (!queue_.empty()) {
      const auto action = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      action();
    }
    return took;
  }

  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;

 private:
  static constexpr Duration kTurnInterval = Millis(50);

  static std::string DataCentreOf(const std::string& name) {
    return name.substr(0, name.find('-'));
  }

  bool IsInForceEverywhere(std::uint64_t revision) const {
    for (const auto& [name, instance] : instances_) {
      if (instance->revision() != revision)
        return false;
    }
    return true;
  }

  void SendMessage(const std::string& from,
                   const std::string& to,
                   std::size_t size,
                   std::function<void()> action) {
    ++messages;
    bytes += size;
    const bool local = DataCentreOf(from) == DataCentreOf(to);
    queue_.emplace(now_ + (local ? Duration(1500) : Millis(10)),
                   std::move(action));
  }

  void PerformActions(const std::string& name) {
    for (auto& action : instances_.at(name)->TakeActions()) {
      if (const auto* announce = std::get_if<AnnounceRevision>(&action))
        Announce(name, announce->peer, announce->revision);
      else if (const auto* fetch = std::get_if<FetchManifest>(&action))
        Pull(name, fetch->peer, {});
      else if (const auto* parts = std::get_if<FetchParts>(&action);
               parts != nullptr && !parts->peer.empty())
        Pull(name, parts->peer, parts->names);
    }
  }

  void Announce(const std::string& from,
                const std::string& to,
                std::uint64_t revision) {
    PeerProbe probe;
    probe.message.from = {from, DataCentreOf(from), from, 1,
                          MemberState::kAlive};
    probe.revision = revision;
    const std::size_t size = detail::ToWire(probe).ByteSizeLong();
    SendMessage(from, to, size, [this, from, to, revision] {
      instances_.at(to)->OnPeerRevision(from, revision, now_);
      PerformActions(to);
      const std::uint64_t known = instances_.at(to)->revision();
      SendMessage(to, from,
                  detail::ToWire(PeerProbeReply{{}, known}).ByteSizeLong(),
                  [this, from, to, known] {
                    instances_.at(from)->OnPeerRevision(to, known, now_);
                    PerformActions(from);
                  });
    });
  }

  void Pull(const std::string& from,
            const std::string& to,
            const std::vector<std::string>& names) {
    SendMessage(from, to, detail::ToWire(PeerPull{names}).ByteSizeLong(),
                [this, from, to, names] {
                  PeerPullReply reply;
                  Distributor& source = *instances_.at(to);
                  reply.manifest = source.manifest();
                  if (!names.empty())
                    reply.manifest.parts.clear();
                  for (const auto& name : names) {
                    const auto found = source.texts().find(name);
                    if (found != source.texts().end())
                      reply.parts.insert(*found);
                  }
                  SendMessage(to, from, detail::ToWire(reply).ByteSizeLong(),
                              [this, from, to, names, reply] {
                                if (names.empty())
                                  instances_.at(from)->OnManifest(
                                      to, reply.manifest, now_);
                                else
                                  instances_.at(from)->OnParts(to, reply.parts,
                                                               now_);
                                PerformActions(from);
                              });
                });
  }

  nlohmann::json document_;
  std::vector<std::string> names_;
  std::map<std::string, std::unique_ptr<Distributor>> instances_;
  std::multimap<Time, std::function<void()>> queue_;
  std::uint64_t revision_ = 0;
  Time now_ = Time() + Seconds(1000);
};

nlohmann::json MakeDocument(int collections, int services) {
  nlohmann::json json = TestDocumentJson(1, 1);
  const nlohmann::json collection = json["collections"][0];
  json["collections"].clear();
  int next = 0;
  for (int c = 0; c < collections; ++c) {
    nlohmann::json copy = collection;
    copy["name"] = "collection-" + std::to_string(c);
    copy["services"].clear();
    for (int s = 0; s < services; ++s)
      copy["services"].push_back(TestServiceJson(next++, 2));
    json["collections"].push_back(std::move(copy));
  }
  json["callers"][0]["collections"] = {"collection-0"};
  return json;
}

void MeasureDistribution() {
  std::printf(
      "distribution: data centres x instances, servers in the document: "
      "virtual ms until in force everywhere (worst of 5), messages and "
      "bytes in and out for each instance, us for each instance\n");
  struct Size {
    int data_centres;
    int instances;
    int collections;
  };
  for (const Size& size : {Size{1, 8, 2}, Size{1, 64, 17}, Size{1, 186, 17},
                           Size{4, 186, 17}, Size{14, 186, 17}}) {
    ConfigSpread config_spread(size.data_centres, size.instances,
                               MakeDocument(size.collections, 39));
    config_spread.Publish();
    config_spread.messages = 0;
    config_spread.bytes = 0;
    constexpr int kChanges = 5;
    Duration worst{0};
    const double cpu_before = CpuSeconds();
    for (int i = 0; i < kChanges; ++i)
      worst = std::max(worst, config_spread.Publish());
    const double cpu = CpuSeconds() - cpu_before;
    const double instance_changes =
        static_cast<double>(size.data_centres * size.instances * kChanges);
    std::printf(
        "  %d x %d, %d: %.1f ms, %.1f, %.0f B, %.0f us\n", size.data_centres,
        size.instances, size.collections * 78, ToMillis(worst),
        static_cast<double>(config_spread.messages) / instance_changes,
        2.0 * static_cast<double>(config_spread.bytes) / instance_changes,
        cpu * 1e6 / instance_changes);
  }
}

void MeasureDocument() {
  std::printf(
      "document: servers, KB of parts, KB in memory, ms to read, ms to "
      "check, platform calls for one change\n");
  std::vector<std::pair<double, double>> memory;
  for (int collections : {24, 122, 244}) {
    const nlohmann::json json = MakeDocument(collections, 39);
    const SplitDocument split = SplitIntoParts(json).assume_value();
    std::size_t text = 0;
    for (const auto& [name, part] : split.texts)
      text += part->size();
    const std::size_t before = BytesInUse();
    double cpu = CpuSeconds();
    DocumentAssembler assembler;
    const auto document = assembler.Assemble(split.manifest, split.texts);
    const double read = CpuSeconds() - cpu;
    const std::size_t in_memory = BytesInUse() - before + text;
    cpu = CpuSeconds();
    CheckDocument(json);
    const double check = CpuSeconds() - cpu;

    FakePlatform platform;
    Publisher first({"a", 0, "o", "r", "", split}, 0);
    while (!first.outcome())
      first.OnReply(platform.Call(*first.next_call()));
    nlohmann::json changed = json;
    changed["collections"][0]["deadline_ms"] = 77;
    const int calls = platform.calls();
    Publisher second(
        {"b", 1, "o", "r", "", SplitIntoParts(changed).assume_value()}, 1);
    while (!second.outcome())
      second.OnReply(platform.Call(*second.next_call()));
    std::printf("  %d, %.0f, %.0f, %.1f, %.1f, %d\n", collections * 78,
                static_cast<double>(text) / 1024.0,
                static_cast<double>(in_memory) / 1024.0, read * 1e3,
                check * 1e3, platform.calls() - calls);
    memory.emplace_back(collections * 78,
                        static_cast<double>(in_memory) / 1024.0);
  }
  std::printf("  fit: %.0f KB + %.2f KB for each server\n",
              Fit(memory).intercept, Fit(memory).slope);
}

void MeasureLedger() {
  std::printf("ledger: keys kept, bytes for each, us for each write\n");
  for (int keys : {1000, 10000, 100000}) {
    const std::size_t before = BytesInUse();
    KeyLedger ledger({"kingston-1", "10.0.0.1:7000", 1, "secret", 1'000'000});
    const Time now = Time() + Seconds(5000);
    const double cpu = CpuSeconds();
    for (int i = 0; i < keys; ++i) {
      const std::string key = ledger.IssueKey("till-1", now);
      ledger.OnWrite({"r", key, "till-1", "stock", "tier-stand", "hold 1",
                      now + Seconds(1)},
                     now);
      ledger.OnRunEnded(key, RunResult::kReplied, 200, R"({"result":"held"})",
                        now);
      ledger.TakeActions();
    }
    std::printf("  %d, %.0f, %.2f\n", keys,
                static_cast<double>(BytesInUse() - before) / keys,
                (CpuSeconds() - cpu) * 1e6 / keys);
  }
}

}  // namespace
}  // namespace limpetrudder::testbed

int main(int argc, char** argv) {
  using namespace limpetrudder::testbed;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::string only = argc > 1 ? argv[1] : "";
  const auto wanted = [&](const char* name) {
    return only.empty() || only == name;
  };
  if (wanted("decisions"))
    MeasureDecisions();
  if (wanted("membership"))
    MeasureMemberships();
  if (wanted("distribution"))
    MeasureDistribution();
  if (wanted("document"))
    MeasureDocument();
  if (wanted("ledger"))
    MeasureLedger();
  return 0;
}
