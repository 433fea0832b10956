#include "framework/metrics.h"

#include <algorithm>

#include <boost/histogram.hpp>

namespace limpetrudder {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBuckets = 200;
constexpr double kMinMs = 0.05;
constexpr double kMaxMs = 60000.0;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram =
    decltype(bh::make_histogram(LogAxis(kBuckets, kMinMs, kMaxMs)));

// Returns the upper bound of the bucket that holds the quantile `q`, in
// milliseconds.
double Quantile(const LatencyHistogram& histogram,
                std::uint64_t count,
                double q) {
  double cumulative_count = 0;
  for (auto&& cell : bh::indexed(histogram, bh::coverage::all)) {
    cumulative_count += *cell;
    if (cumulative_count >= q * static_cast<double>(count))
      return std::min(cell.bin().upper(), kMaxMs);
  }
  return kMaxMs;
}

}  // namespace

struct Metrics::Latency {
  LatencyHistogram histogram =
      bh::make_histogram(LogAxis(kBuckets, kMinMs, kMaxMs));
  std::uint64_t count = 0;
  double max_ms = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Add(const std::string& name, std::uint64_t amount) {
  std::lock_guard lock(mutex_);
  counters_[name] += amount;
}

void Metrics::Set(const std::string& name, std::int64_t value) {
  std::lock_guard lock(mutex_);
  gauges_[name] = value;
}

void Metrics::Record(const std::string& name, Duration latency) {
  std::lock_guard lock(mutex_);
  auto& entry = latencies_[name];
  if (!entry)
    entry = std::make_unique<Latency>();
  const double ms = ToMillis(latency);
  entry->histogram(ms);
  ++entry->count;
  entry->max_ms = std::max(entry->max_ms, ms);
}

nlohmann::json Metrics::Snapshot() const {
  std::lock_guard lock(mutex_);
  nlohmann::json result;
  result["counters"] = counters_;
  result["gauges"] = gauges_;
  result["latencies_ms"] = nlohmann::json::object();
  for (const auto& [name, entry] : latencies_) {
    result["latencies_ms"][name] = {
        {"count", entry->count},
        {"p50", Quantile(entry->histogram, entry->count, 0.5)},
        {"p99", Quantile(entry->histogram, entry->count, 0.99)},
        {"p999", Quantile(entry->histogram, entry->count, 0.999)},
        {"max", entry->max_ms}};
  }
  return result;
}

}  // namespace limpetrudder
