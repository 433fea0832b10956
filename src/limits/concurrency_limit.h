#ifndef LIMITS_CONCURRENCY_LIMIT_H_
#define LIMITS_CONCURRENCY_LIMIT_H_

#include <cstdint>

namespace limpetrudder {

// Limits how many requests one instance may have in flight at one server. The
// limit grows by one for each full round of answers and halves when the server
// sheds load, within [1, max]. Not thread safe.
class ConcurrencyLimit {
 public:
  // Starts at `max`, which must be at least 1.
  explicit ConcurrencyLimit(std::uint32_t max);

  // Changes the upper bound, which must be at least 1.
  void SetMax(std::uint32_t max);

  void OnAnswer();
  void OnShed();

  // Starts again at one, as after a restart of the server.
  void Restart();

  std::uint32_t value() const { return static_cast<std::uint32_t>(value_); }
  std::uint32_t max() const { return max_; }

 private:
  std::uint32_t max_;
  double value_;
};

// Returns how many requests each of `coordinators` instances may have in flight
// at a server with `slots` slots, without seeing each other's requests. The
// shares add up to at most about twice the slots, so that a slot seldom idles
// while another coordinator has requests queued. A share is at most
// `connections`. Preconditions: all arguments are at least 1.
std::uint32_t InFlightShare(std::uint32_t slots,
                            std::uint32_t coordinators,
                            std::uint32_t connections);

}  // namespace limpetrudder

#endif  // LIMITS_CONCURRENCY_LIMIT_H_
