#ifndef DISCOVERY_REGISTRAR_H_
#define DISCOVERY_REGISTRAR_H_

#include <cstdint>
#include <optional>

#include "discovery/discovery_types.h"
#include "framework/random.h"
#include "framework/time.h"

namespace limpetrudder {

// Keeps this instance's entry in the store under a lease, so that other
// instances find and count it, and so that it lapses if the instance is lost.
// Replies of the store may be lost: a write is repeated until it is
// acknowledged, which is safe since it always writes the same entry. A store
// that was restored from an older copy has neither lease nor entry, or has
// given the lease's number to another instance: the instance then registers
// again with a new lease. Holds no clock and does no I/O. Not thread safe.
class Registrar {
 public:
  // How long the entry of a lost instance stays, and the interval at which a
  // live one renews its lease: two renewals may fail.
  static constexpr Duration kLease = Seconds(30);
  static constexpr Duration kRenewal = Seconds(10);

  // The period over which the instances of a fleet spread their registrations
  // after all lost their entries. Two hundred instances make two writes each,
  // of the 1,200 to 3,200 a second that a store gives fleets of that size.
  static constexpr Duration kReregistrationSpread = Millis(600);

  Registrar(InstanceEntry entry, std::uint64_t seed)
      : entry_(std::move(entry)), random_(seed) {}

  // Returns the call that is due, if any, and sets `next` to the time of the
  // next call of NextCall().
  std::optional<LeaseCall> NextCall(Time now, Time* next);

  void OnReply(const LeaseReply& reply, Time now);

  // The store has `era`. Registers again if it is a later one.
  void OnEra(std::uint64_t era, Time now);

  // `present` tells whether the store had this instance's entry at `position`.
  // Registers again if the entry was lost: its lease's number may have belonged
  // to another instance.
  void OnListed(bool present, StorePosition position, Time now);

  // The instance stops: its entry says so from the next call on.
  void MarkStopping(Time now);

  // Returns the call that ends the registration, if there is one.
  std::optional<LeaseCall> Leave();

 private:
  enum class State { kNoLease, kLeaseOnly, kRegistered, kLeft };

  void RetryLater(Time now);
  void Reregister(Time now);

  InstanceEntry entry_;
  Random random_;
  State state_ = State::kNoLease;
  bool call_pending_ = false;
  bool rewrite_ = false;    // The entry in the store is to be replaced.
  bool rewriting_ = false;  // The pending call does that.
  // The pending call was made before the registration was lost.
  bool discard_reply_ = false;
  std::uint64_t era_ = 0;
  std::uint64_t lease_ = 0;
  std::uint64_t entry_revision_ = 0;
  std::uint32_t failures_ = 0;
  Time next_call_ = Time::min();
};

}  // namespace limpetrudder

#endif  // DISCOVERY_REGISTRAR_H_
