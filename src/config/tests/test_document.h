#ifndef CONFIG_TESTS_TEST_DOCUMENT_H_
#define CONFIG_TESTS_TEST_DOCUMENT_H_

#include <string>

#include <nlohmann/json.hpp>

namespace limpetrudder {

// Returns a service of one shard with `servers` servers, whose names and
// addresses depend on `number`.
inline nlohmann::json TestServiceJson(int number, int servers) {
  const std::string name = "service-" + std::to_string(number);
  nlohmann::json replicas = nlohmann::json::array();
  for (int i = 0; i < servers; ++i) {
    const std::string address = "10." + std::to_string(number / 250) + "." +
                                std::to_string(number % 250) + "." +
                                std::to_string(i + 1) + ":9000";
    replicas.push_back({{"name", name + "-" + std::to_string(i)},
                        {"address", address},
                        {"data_centre", "kingston"},
                        {"slots", 2},
                        {"connections", 25}});
  }
  return {{"name", name},
          {"shards", {{{"name", name + "-shard"}, {"servers", replicas}}}}};
}

// Returns a document with one collection, "catalogue", and one caller, a till
// that may search it.
inline nlohmann::json TestDocumentJson(int services, int servers) {
  nlohmann::json collection = {{"name", "catalogue"},
                               {"map_epoch", 1},
                               {"coverage_policy", "coverage_first"},
                               {"deadline_ms", 290},
                               {"services", nlohmann::json::array()}};
  for (int i = 0; i < services; ++i)
    collection["services"].push_back(TestServiceJson(i, servers));
  return {{"format", 1},
          {"data_centres",
           {{{"name", "kingston"}, {"region", "jamaica"}},
            {{"name", "montego"}, {"region", "jamaica"}}}},
          {"collections", {collection}},
          {"callers",
           {{{"name", "till-1"},
             {"class", "till"},
             {"token_sha256", std::string(64, 'a')},
             {"collections", {"catalogue"}}}}}};
}

}  // namespace limpetrudder

#endif  // CONFIG_TESTS_TEST_DOCUMENT_H_
