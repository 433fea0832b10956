#ifndef DISCOVERY_REGISTRAR_H_
#define DISCOVERY_REGISTRAR_H_

#include <cstdint>
#include <optional>

#include "discovery/discovery_types.h"
#include "framework/random.h"
#include "framework/time.h"

namespace limpetrudder {

// Keeps this instance's entry in the store under a lease, so that the others
// find it and count it, and so that it lapses if the instance is lost. The
// store may lose replies: a write is repeated until it is acknowledged, which
// does no harm as it always writes the same. Holds no clock and does no I/O.
// Not thread safe.
class Registrar {
 public:
  // How long the entry of a lost instance stays, and how often a live one
  // renews it: two renewals may fail.
  static constexpr Duration kLease = Seconds(30);
  static constexpr Duration kRenewal = Seconds(10);

  Registrar(InstanceEntry entry, std::uint64_t seed)
      : entry_(std::move(entry)), random_(seed) {}

  // Returns the call that is due, if any; `next` is when to ask again.
  std::optional<LeaseCall> Turn(Time now, Time* next);

  void OnReply(const LeaseReply& reply, Time now);

  // Returns the call that ends the registration, if there is one.
  std::optional<LeaseCall> Leave();

 private:
  enum class State { kNoLease, kLeaseOnly, kRegistered, kLeft };

  void RetryLater(Time now);

  const InstanceEntry entry_;
  Random random_;
  State state_ = State::kNoLease;
  bool calling_ = false;
  std::uint64_t lease_ = 0;
  std::uint32_t failures_ = 0;
  Time due_ = Time::min();
};

}  // namespace limpetrudder

#endif  // DISCOVERY_REGISTRAR_H_
