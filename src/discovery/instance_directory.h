#ifndef DISCOVERY_INSTANCE_DIRECTORY_H_
#define DISCOVERY_INSTANCE_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery_types.h"
#include "framework/time.h"

namespace limpetrudder {

// The registered instances. An outage of the store, or its restore from an
// older copy, may remove the entries of all instances at once. They are kept
// here until live instances had time to register again, since the choice of
// coordinators and of delegated batches depends on them. Holds no clock. Not
// thread safe.
class InstanceDirectory {
 public:
  // How long removed entries are kept after the store's recovery. Detecting the
  // recovery, the spread of the registrations, two calls and a read of the
  // changes take less than three seconds.
  static constexpr Duration kRecoveryGrace = Seconds(4);

  void OnEntry(const InstanceEntry& entry);
  void OnRemoved(const std::string& name, Time now);

  // Takes the entries of a complete listing of the store.
  void OnListing(const std::vector<InstanceEntry>& entries, Time now);

  // The store responds again after it may have dropped entries.
  void OnStoreRecovered(Time now) { store_recovered_at_ = now; }

  // Drops entries whose grace period is over; returns the time of the next
  // call.
  Time Tick(Time now);

  // Returns all entries if any changed since the last call.
  std::optional<std::vector<InstanceEntry>> TakeChange();

  // Returns whether the store has the entry now.
  bool IsListed(const std::string& name) const;

  std::vector<InstanceEntry> Entries() const;

 private:
  struct Row {
    InstanceEntry entry;
    // Set if the store no longer has the entry: end of its grace period.
    Time grace_until = kNever;
  };

  std::map<std::string, Row> rows_;
  Time store_recovered_at_ = Time::min();
  bool changed_ = false;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_INSTANCE_DIRECTORY_H_
