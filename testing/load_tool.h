#ifndef TESTING_LOAD_TOOL_H_
#define TESTING_LOAD_TOOL_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "testing/service_time.h"

namespace limpetrudder::testbed {

struct LoadOptions {
  std::vector<std::string> addresses;  // Callers' addresses of instances.
  std::vector<std::string> tokens;     // One is drawn for each search.
  std::string collection;
  std::string terms;
  double rate = 100;  // Searches per second, in all.
  double seconds = 5;
  double warmup_seconds = 1;  // Sent, but not counted.
  std::uint64_t seed = 1;
};

// Sends searches at random times, whatever the answers do, and measures each
// from the time when it was due. Returns one JSON object of figures.
nlohmann::ordered_json RunLoad(const LoadOptions& options);

// The time that a query over `shards` shards takes if nothing queues: the
// slowest of that many service times. Returns its quantiles in milliseconds.
nlohmann::ordered_json Floor(int shards, const ServiceTime& service);

}  // namespace limpetrudder::testbed

#endif  // TESTING_LOAD_TOOL_H_
