#ifndef DISPATCH_INTERNAL_QUARANTINE_EXCHANGE_H_
#define DISPATCH_INTERNAL_QUARANTINE_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "dispatch/internal/request_quarantine.h"
#include "framework/random.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// Decides with which of the other instances this one exchanges notices of
// requests under which servers crash. A change is sent to many at once, and in
// large fleets passed on by each of those, so that all know it within a few
// network times. Exchanges with one instance a second, later every half minute,
// reach those that were missed. An instance that starts, or that stood still
// for a while, asks a few others and takes no requests until one has answered,
// since it may get one that the others have quarantined. Without notices there
// are no further messages. Holds no clock and does no I/O. Not thread safe.
class QuarantineExchange {
 public:
  // A change is sent to this many instances, and by each of them to some more
  // if the fleet is larger than that.
  static constexpr std::size_t kMaxDirect = 256;
  static constexpr std::size_t kRelayed = 8;
  static constexpr std::size_t kAskedAtStart = 3;
  static constexpr Duration kInterval = Seconds(1);
  static constexpr Duration kSlowInterval = Seconds(30);

  // Keeps both directions below the traffic that control may cause.
  static constexpr std::size_t kNoticesPerInterval = 16;

  // An instance that has heard nobody asks again at this interval, and then
  // goes on without: the others may all be lost.
  static constexpr Duration kAskInterval = Millis(100);
  static constexpr Duration kMaxAsking = Millis(500);

  // An instance that didn't run for longer than this may have missed messages.
  static constexpr Duration kMaxTickGap = Seconds(1);

  explicit QuarantineExchange(std::uint64_t seed) : random_(seed) {}

  // Sets the number of other live instances. They are referred to by their
  // index.
  void SetPeerCount(std::size_t count) { peer_count_ = count; }

  // So many notices were exchanged: the more, the later the next exchange.
  void OnExchange(std::size_t notices) {
    intervals_ = notices / (kNoticesPerInterval + 1) + 1;
  }

  // Another instance told what it knows, be that nothing.
  void OnHeard() { informed_ = true; }

  // Whether this instance knows what the others knew when it started.
  bool IsInformed(Time now) const;

  // Each returns the instances to exchange notices with: after a change that
  // this instance or another one found out, and at `now`.
  std::vector<std::size_t> OnOwnChange() { return Choose(kMaxDirect); }
  std::vector<std::size_t> OnToldChange();
  std::vector<std::size_t> Tick(NoticeState notices, Time now, Time* next);

 private:
  bool StoodStill(Time now) const;
  std::vector<std::size_t> Choose(std::size_t max_count);

  Random random_;
  std::size_t peer_count_ = 0;
  bool informed_ = false;
  std::optional<Time> ticked_at_;
  std::optional<Time> asking_since_;
  std::size_t intervals_ = 1;  // Between exchanges about recent changes.
  Time next_ask_{};
  Time next_{};
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_QUARANTINE_EXCHANGE_H_
