#ifndef FRAMEWORK_RANDOM_H_
#define FRAMEWORK_RANDOM_H_

#include <cstdint>

namespace limpetrudder {

// A small seeded pseudo-random number generator (SplitMix64). The same seed
// gives the same sequence on every machine. Not thread safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }

  // Returns a number in [0, bound). Precondition: `bound` is above 0.
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }

  // Returns a number in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

 private:
  std::uint64_t state_;
};

}  // namespace limpetrudder

#endif  // FRAMEWORK_RANDOM_H_
