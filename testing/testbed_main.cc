#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <getopt.h>

#include "framework/hash.h"
#include "testing/layout.h"
#include "testing/load_tool.h"
#include "testing/platform_stand_in.h"
#include "testing/target_stand_in.h"

namespace limpetrudder::testbed {
namespace {

using Json = nlohmann::json;

constexpr char kUsage[] =
    "usage: limpetrudder_testbed layout --kind demo|blue-mahoe|loft|fleet\n"
    "           --directory DIR [--base-port N] [--instances N]\n"
    "       limpetrudder_testbed platform --address IP:PORT\n"
    "       limpetrudder_testbed targets --spec FILE [--seed N]\n"
    "       limpetrudder_testbed load --addresses A,B,... --tokens T,U,...\n"
    "           --collection NAME [--terms TEXT] [--rate R] [--seconds S]\n"
    "           [--warmup S] [--seed N]\n"
    "       limpetrudder_testbed floor --shards N [--service-ms M]\n"
    "           [--straggler-share S]\n";

using Options = std::map<std::string, std::string>;

std::string ValueOr(const Options& options,
                    const std::string& name,
                    const std::string& fallback) {
  const auto found = options.find(name);
  return found == options.end() ? fallback : found->second;
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> items;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    items.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return items;
}

void RunUntilSignal(asio::io_context* context) {
  asio::signal_set signals(*context, SIGINT, SIGTERM);
  signals.async_wait(
      [context](const asio::error_code&, int) { context->stop(); });
  context->run();
}

int RunPlatform(const Options& options) {
  asio::io_context context(1);
  PlatformStandIn platform(&context, options.at("address"));
  platform.Open();
  RunUntilSignal(&context);
  return 0;
}

std::vector<CatalogueItem> ItemsOfShard(const Json& catalogue,
                                        const std::string& shard) {
  std::vector<CatalogueItem> items;
  if (!catalogue.contains(shard)) {
    for (int i = 1; i <= 3; ++i) {
      const std::string number = std::to_string(i);
      items.push_back({shard + "-" + number, shard + " entry " + number});
    }
    return items;
  }
  for (const auto& item : catalogue[shard])
    items.push_back({item.at("id"), item.at("title")});
  return items;
}

TargetBehaviour ParseBehaviour(const Json& spec) {
  TargetBehaviour behaviour;
  behaviour.slots = spec.at("slots");
  behaviour.connections = spec.at("connections");
  behaviour.connect_cost_ms = spec.at("connect_cost_ms");
  behaviour.service_ms = spec.at("service_ms");
  return behaviour;
}

// Serves "/admin/change" {"servers": [NAME...] or "all", "change": {...}} and
// "/admin/counters".
void OnAdmin(std::vector<std::unique_ptr<TargetStandIn>>* servers,
             const ServerRequest& request,
             const Responder& respond) {
  Json answer = Json::object();
  if (request.path == "/admin/counters") {
    for (const auto& server : *servers)
      answer[server->name()] = server->Counters();
    return respond({200, answer.dump()});
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object())
    return respond({400, "{}"});
  for (const auto& server : *servers) {
    bool selected = body["servers"] == "all";
    if (body["servers"].is_array()) {
      for (const auto& name : body["servers"])
        selected |= name == server->name();
    }
    if (selected)
      server->Change(body["change"]);
  }
  respond({200, "{}"});
}

int RunTargets(const Options& options) {
  std::ifstream file(options.at("spec"));
  const Json spec = Json::parse(file);
  std::ifstream catalogue_file(CATALOGUE_FILE);
  const Json catalogue = Json::parse(catalogue_file);
  const std::uint64_t seed = std::stoull(ValueOr(options, "seed", "1"));
  asio::io_context context(1);
  std::vector<std::unique_ptr<TargetStandIn>> servers;
  for (const auto& entry : spec.at("servers")) {
    const std::string name = entry.at("name");
    servers.push_back(std::make_unique<TargetStandIn>(
        &context, name, entry.at("address"), entry.at("shard"),
        ParseBehaviour(entry), ItemsOfShard(catalogue, entry.at("shard")),
        Hash64(name, seed)));
    servers.back()->Open();
  }
  StandInHttpServer admin(
      &context, spec.at("admin_address"),
      [&](const ServerRequest& request, const Responder& respond) {
        OnAdmin(&servers, request, respond);
      });
  admin.Open();
  RunUntilSignal(&context);
  return 0;
}

int RunLoadTool(const Options& options) {
  LoadOptions load;
  load.addresses = SplitAtCommas(options.at("addresses"));
  load.tokens = SplitAtCommas(options.at("tokens"));
  load.collection = options.at("collection");
  load.terms = ValueOr(options, "terms", "wedding");
  load.rate = std::stod(ValueOr(options, "rate", "100"));
  load.seconds = std::stod(ValueOr(options, "seconds", "5"));
  load.warmup_seconds = std::stod(ValueOr(options, "warmup", "1"));
  load.seed = std::stoull(ValueOr(options, "seed", "1"));
  std::cout << RunLoad(load).dump() << std::endl;
  return 0;
}

int RunFloor(const Options& options) {
  ServiceTime service;
  service.mean_ms = std::stod(ValueOr(options, "service-ms", "10"));
  service.straggler_share =
      std::stod(ValueOr(options, "straggler-share", "0.01"));
  std::cout << LatencyFloor(std::stoi(options.at("shards")), service).dump()
            << std::endl;
  return 0;
}

int RunLayout(const Options& options) {
  const bool known =
      WriteLayout(options.at("kind"), options.at("directory"),
                  std::stoi(ValueOr(options, "base-port", "21000")),
                  std::stoi(ValueOr(options, "instances", "8")));
  if (!known)
    std::cerr << kUsage;
  return known ? 0 : 2;
}

int Main(int argc, char** argv) {
  static constexpr const char* kOptionNames[] = {
      "kind",       "directory", "base-port",  "address",
      "spec",       "seed",      "addresses",  "tokens",
      "collection", "terms",     "rate",       "seconds",
      "warmup",     "shards",    "service-ms", "straggler-share",
      "instances"};
  std::vector<option> long_options;
  for (const char* name : kOptionNames)
    long_options.push_back({name, required_argument, nullptr, 0});
  long_options.push_back({nullptr, 0, nullptr, 0});
  if (argc < 2) {
    std::cerr << kUsage;
    return 2;
  }
  const std::string command = argv[1];
  Options options;
  int index = 0;
  while (true) {
    const int id =
        getopt_long(argc - 1, argv + 1, "", long_options.data(), &index);
    if (id == -1)
      break;
    if (id != 0) {
      std::cerr << kUsage;
      return 2;
    }
    options[long_options[static_cast<std::size_t>(index)].name] = optarg;
  }
  try {
    if (command == "platform")
      return RunPlatform(options);
    if (command == "targets")
      return RunTargets(options);
    if (command == "load")
      return RunLoadTool(options);
    if (command == "floor")
      return RunFloor(options);
    if (command == "layout")
      return RunLayout(options);
  } catch (const std::exception& error) {
    std::cerr << "limpetrudder_testbed: " << error.what() << "\n";
    return 1;
  }
  std::cerr << kUsage;
  return 2;
}

}  // namespace
}  // namespace limpetrudder::testbed

int main(int argc, char** argv) {
  return limpetrudder::testbed::Main(argc, argv);
}
