#ifndef FRAMEWORK_METRICS_H_
#define FRAMEWORK_METRICS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "framework/time.h"

namespace limpetrudder {

// Counters and latency histograms of one instance, read as JSON. All methods
// are thread safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds `amount` to the counter `name`, which is created on first use.
  void Add(const std::string& name, std::uint64_t amount = 1);

  // Sets the gauge `name`, which is created on first use.
  void Set(const std::string& name, std::int64_t value);

  // Records one latency in the histogram `name`, which is created on first
  // use.
  void Record(const std::string& name, Duration latency);

  // Returns {"counters": {...}, "gauges": {...}, "latencies_ms": {NAME:
  // {"count", "p50", "p99", "p999", "max"}}}, in milliseconds.
  nlohmann::json Snapshot() const;

 private:
  struct Latency;

  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, std::int64_t> gauges_;
  std::map<std::string, std::unique_ptr<Latency>> latencies_;
};

}  // namespace limpetrudder

#endif  // FRAMEWORK_METRICS_H_
