#include "config/internal/document_codec.h"

#include <algorithm>

namespace limpetrudder::detail {
namespace {

constexpr double kDefaultExtraLoadPercent = 3.0;

Server ReadServer(const nlohmann::json& json) {
  Server server;
  server.name = json.at("name");
  server.address = json.at("address");
  server.data_centre = json.at("data_centre");
  server.slots = json.at("slots");
  server.connections = json.at("connections");
  server.leaving = json.value("leaving", false);
  return server;
}

Shard ReadShard(const nlohmann::json& json) {
  Shard shard;
  shard.name = json.at("name");
  for (const auto& server : json.at("servers"))
    shard.servers.push_back(ReadServer(server));
  return shard;
}

Service ReadService(const nlohmann::json& json) {
  Service service;
  service.name = json.at("name");
  for (const auto& shard : json.at("shards"))
    service.shards.push_back(ReadShard(shard));
  return service;
}

Caller ReadCaller(const nlohmann::json& json) {
  Caller caller;
  caller.name = json.at("name");
  caller.caller_class =
      ValueOf(kCallerClassNames, json.at("class").get<std::string>())
          .value_or(CallerClass::kReport);
  caller.token_sha256 = json.at("token_sha256");
  caller.collections = json.at("collections").get<std::vector<std::string>>();
  caller.may_write = json.value("may_write", false);
  return caller;
}

}  // namespace

std::vector<DataCentre> ReadDataCentres(const nlohmann::json& json) {
  std::vector<DataCentre> data_centres;
  for (const auto& entry : json)
    data_centres.push_back({entry.at("name"), entry.at("region")});
  return data_centres;
}

std::shared_ptr<const Collection> ReadCollection(const nlohmann::json& json) {
  auto collection = std::make_shared<Collection>();
  collection->name = json.at("name");
  collection->map_epoch = json.at("map_epoch");
  collection->coverage_policy =
      ValueOf(kCoveragePolicyNames,
              json.value("coverage_policy", std::string("coverage_first")))
          .value_or(CoveragePolicy::kCoverageFirst);
  collection->strategy =
      ValueOf(kStrategyNames, json.value("strategy", std::string("adaptive")))
          .value_or(Strategy::kAdaptive);
  collection->deadline = Millis(json.at("deadline_ms").get<std::int64_t>());
  collection->extra_load =
      json.value("extra_load_percent", kDefaultExtraLoadPercent) / 100.0;
  for (const auto& service : json.at("services"))
    collection->services.push_back(ReadService(service));
  return collection;
}

std::vector<Caller> ReadCallers(const nlohmann::json& json) {
  std::vector<Caller> callers;
  for (const auto& entry : json)
    callers.push_back(ReadCaller(entry));
  return callers;
}

void SortByToken(std::vector<Caller>* callers) {
  std::sort(callers->begin(), callers->end(),
            [](const Caller& a, const Caller& b) {
              return a.token_sha256 < b.token_sha256;
            });
}

}  // namespace limpetrudder::detail
