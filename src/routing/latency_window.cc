#include "routing/latency_window.h"

#include <algorithm>
#include <cmath>

namespace limpetrudder {
namespace {

// The lower bound of the first bucket.
constexpr double kMinMicros = 50.0;

}  // namespace

int LatencyWindow::BucketOf(Duration latency) {
  const double micros = static_cast<double>(latency.count());
  if (micros <= kMinMicros)
    return 0;
  const int bucket =
      static_cast<int>(std::log2(micros / kMinMicros) * kBucketsPerOctave);
  return std::min(bucket, kBuckets - 1);
}

Duration LatencyWindow::UpperBound(int bucket) {
  const double octaves = static_cast<double>(bucket + 1) / kBucketsPerOctave;
  return Duration(static_cast<std::int64_t>(kMinMicros * std::exp2(octaves)));
}

void LatencyWindow::Record(Duration latency) {
  if (total_ >= capacity_) {
    total_ = 0;
    for (auto& count : counts_) {
      count /= 2;
      total_ += count;
    }
  }
  ++counts_[static_cast<std::size_t>(BucketOf(latency))];
  ++total_;
}

Duration LatencyWindow::Quantile(double q, Duration fallback) const {
  if (total_ < kMinSamples)
    return fallback;
  const double rank = q * total_;
  double seen = 0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    seen += counts_[static_cast<std::size_t>(bucket)];
    if (seen >= rank)
      return UpperBound(bucket);
  }
  return UpperBound(kBuckets - 1);
}

}  // namespace limpetrudder
