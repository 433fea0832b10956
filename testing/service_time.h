#ifndef TESTING_SERVICE_TIME_H_
#define TESTING_SERVICE_TIME_H_

#include <algorithm>
#include <cmath>
#include <numbers>

#include "framework/random.h"

namespace limpetrudder::testbed {

// A log-normal distribution of service times. A share of the requests, the
// stragglers, takes straggler_factor times as long.
struct ServiceTime {
  double mean_ms = 10;
  double sigma = 0.4;
  double straggler_share = 0.01;
  double straggler_factor = 8;
};

// Draws one service time in milliseconds. Not thread safe.
inline double Sample(const ServiceTime& time, Random* random) {
  // Box-Muller transform: a normal sample from two uniform ones.
  const double u = std::max(random->Unit(), 1e-12);
  const double normal = std::sqrt(-2.0 * std::log(u)) *
                        std::cos(2.0 * std::numbers::pi * random->Unit());
  const double millis = time.mean_ms * std::exp(time.sigma * normal -
                                                time.sigma * time.sigma / 2);
  const bool is_straggler = random->Unit() < time.straggler_share;
  return is_straggler ? millis * time.straggler_factor : millis;
}

}  // namespace limpetrudder::testbed

#endif  // TESTING_SERVICE_TIME_H_
