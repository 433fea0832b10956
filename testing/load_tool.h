#ifndef TESTING_LOAD_TOOL_H_
#define TESTING_LOAD_TOOL_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "testing/service_time.h"

namespace limpetrudder::testbed {

struct LoadOptions {
  std::vector<std::string> addresses;  // Caller addresses of instances.
  std::vector<std::string> tokens;  // One is chosen at random for each search.
  std::string collection;
  std::string terms;
  double rate = 100;  // Searches per second in total.
  double seconds = 5;
  double warmup_seconds = 1;  // Searches are sent, but not counted.
  std::uint64_t seed = 1;
};

// Sends searches at random times (a Poisson process), independent of the
// responses, and measures each latency from the time when the search was due.
// Returns the results as one JSON object.
nlohmann::ordered_json RunLoad(const LoadOptions& options);

// The latency of a query over `shards` shards without queueing: the slowest of
// that many service times. Returns its quantiles in milliseconds.
nlohmann::ordered_json LatencyFloor(int shards, const ServiceTime& service);

}  // namespace limpetrudder::testbed

#endif  // TESTING_LOAD_TOOL_H_
