#ifndef ROUTING_LATENCY_WINDOW_H_
#define ROUTING_LATENCY_WINDOW_H_

#include <array>
#include <cstdint>

#include "framework/time.h"

namespace limpetrudder {

// A histogram of recent latencies in logarithmic buckets. Older samples lose
// half of their weight each time the window fills, so quantiles follow changes.
// Recording a sample takes a few nanoseconds and no allocation. Not thread
// safe.
class LatencyWindow {
 public:
  // `capacity` is the number of samples at which weights are halved.
  explicit LatencyWindow(std::uint32_t capacity) : capacity_(capacity) {}

  void Record(Duration latency);

  // Returns the latency that a ratio `q` of the samples don't exceed, accurate
  // to a tenth, or `fallback` with fewer than kMinSamples samples.
  Duration Quantile(double q, Duration fallback) const;

  std::uint32_t samples() const { return total_; }

  static constexpr std::uint32_t kMinSamples = 20;

 private:
  static constexpr int kBucketsPerOctave = 8;
  static constexpr int kOctaves = 21;
  static constexpr int kBuckets = kBucketsPerOctave * kOctaves;

  static int BucketOf(Duration latency);
  static Duration UpperBound(int bucket);

  std::uint32_t capacity_;
  std::uint32_t total_ = 0;
  std::array<std::uint32_t, kBuckets> counts_{};
};

}  // namespace limpetrudder

#endif  // ROUTING_LATENCY_WINDOW_H_
