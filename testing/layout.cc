#include "testing/layout.h"

#include <filesystem>
#include <fstream>
#include <vector>

#include <nlohmann/json.hpp>

#include "framework/hash.h"

namespace limpetrudder::testbed {
namespace {

using Json = nlohmann::ordered_json;

struct DataCentre {
  std::string name;
  std::string region;
  int instances = 0;
};

struct CollectionSpec {
  std::string name;
  std::string policy;
  std::vector<std::string> services;
  int servers = 2;  // Per service and data centre.
  int slots = 2;
  int connections = 25;
  double connect_cost_ms = 5;
  std::string only_data_centre;  // A data centre; empty: in each.
  std::string last_service_only_data_centre;
};

struct LocalFleet {
  std::vector<DataCentre> data_centres;
  std::vector<CollectionSpec> collections;
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

std::vector<DataCentre> BlueMahoeDataCentres() {
  return {{"kingston", "south", 3},
          {"montego", "north", 3},
          {"mandeville", "south", 2}};
}

LocalFleet MakeDemo() {
  LocalFleet fleet;
  fleet.data_centres = BlueMahoeDataCentres();
  fleet.service_ms = 5;
  fleet.collections.push_back({"shop-catalogue", "coverage_first",
                               CatalogueServices(), 2, 2, 25, 5, "",
                               "montego"});
  fleet.collections.push_back(
      {"order-tracking", "whole", {"orders"}, 2, 2, 3, 1, "", ""});
  return fleet;
}

LocalFleet MakeBlueMahoe() {
  LocalFleet fleet;
  fleet.data_centres = BlueMahoeDataCentres();
  fleet.collections.push_back({"shop-catalogue", "coverage_first",
                               CatalogueServices(), 2, 2, 25, 5, "", ""});
  fleet.collections.push_back({"supplier-prices", "coverage_first",
                               Numbered("supplier", 30), 2, 2, 25, 5, "", ""});
  fleet.collections.push_back(
      {"order-tracking", "whole", {"orders"}, 7, 4, 100, 1, "", ""});
  fleet.collections.push_back(
      {"owner-reports", "coverage_first", {"reports"}, 3, 4, 100, 1, "", ""});
  return fleet;
}

LocalFleet MakeLoft() {
  LocalFleet fleet;
  fleet.data_centres = {{"blanchisseuse", "north", 3},
                        {"carenage", "west", 3},
                        {"cedros", "south", 2}};
  fleet.collections.push_back(
      {"captains-desk", "whole", Numbered("desk", 20), 2, 2, 25, 5, "", ""});
  fleet.collections.push_back({"cost-ledger", "tail_first",
                               Numbered("ledger", 30), 2, 2, 25, 5, "", ""});
  fleet.collections.push_back(
      {"ticket-book", "whole", {"tickets"}, 5, 2, 35, 1, "", ""});
  fleet.collections.push_back(
      {"mesh-catalogue", "tail_first", {"meshes"}, 3, 2, 35, 1, "", ""});
  return fleet;
}

LocalFleet MakeFleet(int instances) {
  LocalFleet fleet;
  fleet.data_centres = {{"kingston", "south", instances}};
  fleet.collections.push_back(
      {"order-tracking", "whole", {"orders"}, 2, 4, 100, 1, "", ""});
  return fleet;
}

void WriteFile(const std::filesystem::path& path, const Json& json) {
  std::ofstream(path) << json.dump(1) << "\n";
}

// Returns loopback addresses with consecutive ports.
class AddressAllocator {
 public:
  explicit AddressAllocator(int first_port) : next_port_(first_port) {}
  std::string Next() { return "127.0.0.1:" + std::to_string(next_port_++); }

 private:
  int next_port_;
};

class LayoutWriter {
 public:
  LayoutWriter(LocalFleet fleet, std::filesystem::path directory, int base_port)
      : fleet_(std::move(fleet)),
        directory_(std::move(directory)),
        addresses_(base_port) {}

  void Write() {
    std::filesystem::create_directories(directory_ / "settings");
    platform_ = addresses_.Next();
    for (const auto& data_centre : fleet_.data_centres) {
      target_specs_[data_centre.name] = {{"data_centre", data_centre.name},
                                         {"admin_address", addresses_.Next()},
                                         {"servers", Json::array()}};
    }
    WriteInstances();
    WriteDocument();
    for (const auto& data_centre : fleet_.data_centres) {
      WriteFile(directory_ / ("targets-" + data_centre.name + ".json"),
                target_specs_[data_centre.name]);
    }
  }

 private:
  void WriteInstances() {
    Json list = {{"instances", Json::array()}, {"targets", Json::array()}};
    Json index = Json::array();
    for (const auto& data_centre : fleet_.data_centres) {
      for (int i = 1; i <= data_centre.instances; ++i) {
        const std::string name = data_centre.name + "-" + std::to_string(i);
        Json settings;
        settings["instance"] = name;
        settings["data_centre"] = data_centre.name;
        settings["caller_address"] = addresses_.Next();
        settings["operator_address"] = addresses_.Next();
        settings["peer_address"] = addresses_.Next();
        settings["platform_address"] = platform_;
        settings["operator_token_sha256"] = Sha256Hex("operator-token");
        settings["lame_duck_ms"] = 2000;
        settings["stop_bound_ms"] = 5000;
        WriteFile(directory_ / "settings" / (name + ".json"), settings);
        list["instances"].push_back({{"name", name},
                                     {"data_centre", data_centre.name},
                                     {"peer_address", settings["peer_address"]},
                                     {"state", "live"}});
        index.push_back({{"name", name},
                         {"data_centre", data_centre.name},
                         {"caller_address", settings["caller_address"]},
                         {"operator_address", settings["operator_address"]}});
      }
    }
    WriteFile(directory_ / "list.json", list);
    WriteFile(directory_ / "index.json",
              {{"platform_address", platform_}, {"instances", index}});
  }

  Json WriteServers(const CollectionSpec& collection,
                    const std::string& service,
                    const std::string& only_data_centre) {
    Json servers = Json::array();
    for (const auto& data_centre : fleet_.data_centres) {
      if (!only_data_centre.empty() && data_centre.name != only_data_centre)
        continue;
      for (int i = 1; i <= collection.servers; ++i) {
        const std::string name =
            service + "-" + data_centre.name + "-" + std::to_string(i);
        const std::string address = addresses_.Next();
        servers.push_back({{"name", name},
                           {"address", address},
                           {"data_centre", data_centre.name},
                           {"slots", collection.slots},
                           {"connections", collection.connections}});
        target_specs_[data_centre.name]["servers"].push_back(
            {{"name", name},
             {"address", address},
             {"shard", service},
             {"slots", collection.slots},
             {"connections", collection.connections},
             {"connect_cost_ms", collection.connect_cost_ms},
             {"service_ms", fleet_.service_ms}});
      }
    }
    return servers;
  }

  void WriteDocument() {
    Json document = {{"format", 1},
                     {"data_centres", Json::array()},
                     {"collections", Json::array()},
                     {"callers", Json::array()}};
    for (const auto& data_centre : fleet_.data_centres) {
      document["data_centres"].push_back(
          {{"name", data_centre.name}, {"region", data_centre.region}});
    }
    Json names = Json::array();
    for (const auto& collection : fleet_.collections) {
      names.push_back(collection.name);
      Json services = Json::array();
      for (const auto& service : collection.services) {
        const bool last = service == collection.services.back();
        const std::string& only_data_centre =
            last && !collection.last_service_only_data_centre.empty()
                ? collection.last_service_only_data_centre
                : collection.only_data_centre;
        services.push_back({{"name", service},
                            {"shards",
                             {{{"name", service},
                               {"servers", WriteServers(collection, service,
                                                        only_data_centre)}}}}});
      }
      document["collections"].push_back({{"name", collection.name},
                                         {"map_epoch", 1},
                                         {"coverage_policy", collection.policy},
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
    // A caller that may search one collection only and may not write.
    document["callers"].push_back(
        {{"name", "rival-1"},
         {"class", "browse"},
         {"token_sha256", Sha256Hex("rival-token")},
         {"collections", {fleet_.collections.front().name}},
         {"may_write", false}});
    WriteFile(directory_ / "document.json", document);
  }

  LocalFleet fleet_;
  const std::filesystem::path directory_;
  AddressAllocator addresses_;
  std::string platform_;
  std::map<std::string, Json> target_specs_;
};

}  // namespace

bool WriteLayout(const std::string& kind,
                 const std::string& directory,
                 int base_port,
                 int instances) {
  LocalFleet fleet;
  if (kind == "demo")
    fleet = MakeDemo();
  else if (kind == "blue-mahoe")
    fleet = MakeBlueMahoe();
  else if (kind == "loft")
    fleet = MakeLoft();
  else if (kind == "fleet")
    fleet = MakeFleet(instances);
  else
    return false;
  LayoutWriter(std::move(fleet), directory, base_port).Write();
  return true;
}

}  // namespace limpetrudder::testbed
