#include "testing/layout.h"

#include <filesystem>
#include <fstream>
#include <vector>

#include <nlohmann/json.hpp>

#include "framework/hash.h"

namespace limpetrudder::testbed {
namespace {

using Json = nlohmann::ordered_json;

struct Place {
  std::string name;
  std::string region;
  int instances = 0;
};

struct Load {
  std::string collection;
  std::string policy;
  std::vector<std::string> services;
  int servers = 2;  // Per service and data centre.
  int slots = 2;
  int connections = 25;
  double connect_cost_ms = 5;
  std::string only_in;  // A data centre; empty: in each.
  std::string last_service_only_in;
};

struct Town {
  std::vector<Place> places;
  std::vector<Load> loads;
  double service_ms = 10;
};

std::vector<std::string> Numbered(const std::string& prefix, int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i)
    names.push_back(prefix + "-" + std::to_string(i));
  return names;
}

std::vector<std::string> CatalogueServices() {
  std::ifstream file(CATALOGUE_FILE);
  const Json catalogue = Json::parse(file);
  std::vector<std::string> services;
  for (const auto& [name, items] : catalogue.items())
    services.push_back(name);
  return services;
}

std::vector<Place> BlueMahoePlaces() {
  return {{"kingston", "south", 3},
          {"montego", "north", 3},
          {"mandeville", "south", 2}};
}

Town MakeDemo() {
  Town town;
  town.places = BlueMahoePlaces();
  town.service_ms = 5;
  town.loads.push_back({"shop-catalogue", "coverage_first", CatalogueServices(),
                        2, 2, 25, 5, "", "montego"});
  town.loads.push_back(
      {"order-tracking", "whole", {"orders"}, 2, 2, 3, 1, "", ""});
  return town;
}

Town MakeBlueMahoe() {
  Town town;
  town.places = BlueMahoePlaces();
  town.loads.push_back({"shop-catalogue", "coverage_first", CatalogueServices(),
                        2, 2, 25, 5, "", ""});
  town.loads.push_back({"supplier-prices", "coverage_first",
                        Numbered("supplier", 30), 2, 2, 25, 5, "", ""});
  town.loads.push_back(
      {"order-tracking", "whole", {"orders"}, 7, 4, 100, 1, "", ""});
  town.loads.push_back(
      {"owner-reports", "coverage_first", {"reports"}, 3, 4, 100, 1, "", ""});
  return town;
}

Town MakeLoft() {
  Town town;
  town.places = {{"blanchisseuse", "north", 3},
                 {"carenage", "west", 3},
                 {"cedros", "south", 2}};
  town.loads.push_back(
      {"captains-desk", "whole", Numbered("desk", 20), 2, 2, 25, 5, "", ""});
  town.loads.push_back({"cost-ledger", "tail_first", Numbered("ledger", 30), 2,
                        2, 25, 5, "", ""});
  town.loads.push_back(
      {"ticket-book", "whole", {"tickets"}, 5, 2, 35, 1, "", ""});
  town.loads.push_back(
      {"mesh-catalogue", "tail_first", {"meshes"}, 3, 2, 35, 1, "", ""});
  return town;
}

Town MakeFleet(int instances) {
  Town town;
  town.places = {{"kingston", "south", instances}};
  town.loads.push_back(
      {"order-tracking", "whole", {"orders"}, 2, 4, 100, 1, "", ""});
  return town;
}

void WriteFile(const std::filesystem::path& path, const Json& json) {
  std::ofstream(path) << json.dump(1) << "\n";
}

// Hands out loopback addresses.
class Ports {
 public:
  explicit Ports(int first) : next_(first) {}
  std::string Next() { return "127.0.0.1:" + std::to_string(next_++); }

 private:
  int next_;
};

class LayoutWriter {
 public:
  LayoutWriter(Town town, std::filesystem::path directory, int base_port)
      : town_(std::move(town)),
        directory_(std::move(directory)),
        ports_(base_port) {}

  void Write() {
    std::filesystem::create_directories(directory_ / "settings");
    platform_ = ports_.Next();
    for (const auto& place : town_.places) {
      targets_[place.name] = {{"data_centre", place.name},
                              {"admin_address", ports_.Next()},
                              {"servers", Json::array()}};
    }
    WriteInstances();
    WriteDocument();
    for (const auto& place : town_.places) {
      WriteFile(directory_ / ("targets-" + place.name + ".json"),
                targets_[place.name]);
    }
  }

 private:
  void WriteInstances() {
    Json list = {{"instances", Json::array()}, {"targets", Json::array()}};
    Json index = Json::array();
    for (const auto& place : town_.places) {
      for (int i = 1; i <= place.instances; ++i) {
        const std::string name = place.name + "-" + std::to_string(i);
        Json settings;
        settings["instance"] = name;
        settings["data_centre"] = place.name;
        settings["caller_address"] = ports_.Next();
        settings["operator_address"] = ports_.Next();
        settings["peer_address"] = ports_.Next();
        settings["platform_address"] = platform_;
        settings["operator_token_sha256"] = Sha256Hex("operator-token");
        settings["lame_duck_ms"] = 2000;
        settings["stop_bound_ms"] = 5000;
        WriteFile(directory_ / "settings" / (name + ".json"), settings);
        list["instances"].push_back({{"name", name},
                                     {"data_centre", place.name},
                                     {"peer_address", settings["peer_address"]},
                                     {"state", "live"}});
        index.push_back({{"name", name},
                         {"data_centre", place.name},
                         {"caller_address", settings["caller_address"]},
                         {"operator_address", settings["operator_address"]}});
      }
    }
    WriteFile(directory_ / "list.json", list);
    WriteFile(directory_ / "index.json",
              {{"platform_address", platform_}, {"instances", index}});
  }

  Json WriteServers(const Load& load,
                    const std::string& service,
                    const std::string& only_in) {
    Json servers = Json::array();
    for (const auto& place : town_.places) {
      if (!only_in.empty() && place.name != only_in)
        continue;
      for (int i = 1; i <= load.servers; ++i) {
        const std::string name =
            service + "-" + place.name + "-" + std::to_string(i);
        const std::string address = ports_.Next();
        servers.push_back({{"name", name},
                           {"address", address},
                           {"data_centre", place.name},
                           {"slots", load.slots},
                           {"connections", load.connections}});
        targets_[place.name]["servers"].push_back(
            {{"name", name},
             {"address", address},
             {"shard", service},
             {"slots", load.slots},
             {"connections", load.connections},
             {"connect_cost_ms", load.connect_cost_ms},
             {"service_ms", town_.service_ms}});
      }
    }
    return servers;
  }

  void WriteDocument() {
    Json document = {{"format", 1},
                     {"data_centres", Json::array()},
                     {"collections", Json::array()},
                     {"callers", Json::array()}};
    for (const auto& place : town_.places) {
      document["data_centres"].push_back(
          {{"name", place.name}, {"region", place.region}});
    }
    Json names = Json::array();
    for (const auto& load : town_.loads) {
      names.push_back(load.collection);
      Json services = Json::array();
      for (const auto& service : load.services) {
        const bool last = service == load.services.back();
        const std::string& only_in = last && !load.last_service_only_in.empty()
                                         ? load.last_service_only_in
                                         : load.only_in;
        services.push_back(
            {{"name", service},
             {"shards",
              {{{"name", service},
                {"servers", WriteServers(load, service, only_in)}}}}});
      }
      document["collections"].push_back({{"name", load.collection},
                                         {"map_epoch", 1},
                                         {"coverage_policy", load.policy},
                                         {"strategy", "adaptive"},
                                         {"deadline_ms", 290},
                                         {"extra_load_percent", 3},
                                         {"services", services}});
    }
    for (const char* caller_class :
         {"till", "captain", "mender", "browse", "importer", "report"}) {
      const std::string name = caller_class;
      document["callers"].push_back(
          {{"name", name + "-1"},
           {"class", name},
           {"token_sha256", Sha256Hex(name + "-token")},
           {"collections", names},
           {"may_write", true}});
    }
    // A caller of one collection only, who may not write.
    document["callers"].push_back(
        {{"name", "rival-1"},
         {"class", "browse"},
         {"token_sha256", Sha256Hex("rival-token")},
         {"collections", {town_.loads.front().collection}},
         {"may_write", false}});
    WriteFile(directory_ / "document.json", document);
  }

  Town town_;
  const std::filesystem::path directory_;
  Ports ports_;
  std::string platform_;
  std::map<std::string, Json> targets_;
};

}  // namespace

bool WriteLayout(const std::string& kind,
                 const std::string& directory,
                 int base_port,
                 int instances) {
  Town town;
  if (kind == "demo")
    town = MakeDemo();
  else if (kind == "blue-mahoe")
    town = MakeBlueMahoe();
  else if (kind == "loft")
    town = MakeLoft();
  else if (kind == "fleet")
    town = MakeFleet(instances);
  else
    return false;
  LayoutWriter(std::move(town), directory, base_port).Write();
  return true;
}

}  // namespace limpetrudder::testbed
