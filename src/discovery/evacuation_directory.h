#ifndef DISCOVERY_EVACUATION_DIRECTORY_H_
#define DISCOVERY_EVACUATION_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "framework/time.h"

namespace limpetrudder {

// The data centres that operators have evacuated. What is known stays in force
// while the store is unreachable, as routes do. A store that was restored from
// an older copy may lack an evacuation until it is written again, so it is kept
// for a while; one that the copy still has is believed until it is removed.
// Holds no clock. Not thread safe.
class EvacuationDirectory {
 public:
  // How long evacuations are kept that a restored store lacks.
  static constexpr Duration kRestoreGrace = Seconds(4);

  void OnStarted(const std::string& data_centre);
  void OnEnded(const std::string& data_centre);

  // Takes the evacuations of a complete listing of the store.
  void OnListing(const std::set<std::string>& data_centres, Time now);

  // The store was restored from an older copy; its listing follows.
  void OnStoreRestored(Time now) { restored_at_ = now; }

  // Drops evacuations whose grace period is over; returns the time of the next
  // call.
  Time Tick(Time now);

  // Returns the evacuated data centres if they changed since the last call.
  std::optional<std::set<std::string>> TakeChange();

 private:
  // The end of the grace period of each evacuation; kNever if the store has it.
  std::map<std::string, Time> grace_until_;
  Time restored_at_ = Time::min();
  bool changed_ = false;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_EVACUATION_DIRECTORY_H_
