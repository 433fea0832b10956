#ifndef DISCOVERY_INSTANCE_DIRECTORY_H_
#define DISCOVERY_INSTANCE_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery_types.h"
#include "framework/time.h"

namespace limpetrudder {

// The instances that registered. An outage of the store, or its return from an
// older copy, may take the entries of all instances at once; they are kept
// until those that live had time to register again, since homes and batches
// follow from them. Holds no clock. Not thread safe.
class InstanceDirectory {
 public:
  // From the store's return: seeing it, the spread of the registrations, two
  // calls, and a read of what they changed take under three seconds.
  static constexpr Duration kRecoveryGrace = Seconds(4);

  void OnEntry(const InstanceEntry& entry);
  void OnRemoved(const std::string& name, Time now);

  // The store's whole list.
  void OnListing(const std::vector<InstanceEntry>& entries, Time now);

  // The store answers again after it may have lost entries.
  void OnStoreRecovered(Time now) { store_recovered_at_ = now; }

  // Drops entries whose grace is over; returns when to call next.
  Time Turn(Time now);

  // Returns all instances if they changed since the last call.
  std::optional<std::vector<InstanceEntry>> TakeChange();

  // Whether the store has the entry now.
  bool IsListed(const std::string& name) const;

  std::vector<InstanceEntry> Entries() const;

 private:
  struct Row {
    InstanceEntry entry;
    Time grace_until = kNever;  // Set: gone from the store, still in grace.
  };

  std::map<std::string, Row> rows_;
  Time store_recovered_at_ = Time::min();
  bool changed_ = false;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_INSTANCE_DIRECTORY_H_
