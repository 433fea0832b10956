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
// does no harm as it always writes the same. A store that came back from an
// older copy knows neither lease nor entry, or has given the lease's number to
// another instance: both are made anew. Holds no clock and does no I/O. Not
// thread safe.
class Registrar {
 public:
  // How long the entry of a lost instance stays, and how often a live one
  // renews it: two renewals may fail.
  static constexpr Duration kLease = Seconds(30);
  static constexpr Duration kRenewal = Seconds(10);

  // Within which the instances of a fleet register again after all lost their
  // entries. Two hundred make two writes each, of the 1,200 to 3,200 a second
  // that a store gives fleets of that size.
  static constexpr Duration kReregistrationSpread = Millis(600);

  Registrar(InstanceEntry entry, std::uint64_t seed)
      : entry_(std::move(entry)), random_(seed) {}

  // Returns the call that is due, if any; `next` is when to ask again.
  std::optional<LeaseCall> Turn(Time now, Time* next);

  void OnReply(const LeaseReply& reply, Time now);

  // The store was last_response in `era`; registers anew if that is a later
  // one.
  void OnEra(std::uint64_t era, Time now);

  // Whether the store had this instance's entry at `position`. Registers anew
  // if it was lost: its lease may have been another instance's.
  void OnListed(bool present, StorePosition position, Time now);

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
  bool discard_reply_ = false;  // The call that is out was made before a loss.
  std::uint64_t era_ = 0;
  std::uint64_t lease_ = 0;
  std::uint64_t entry_revision_ = 0;  // The revision of the entry.
  std::uint32_t failures_ = 0;
  Time next_call_ = Time::min();
};

}  // namespace limpetrudder

#endif  // DISCOVERY_REGISTRAR_H_
