#ifndef DISCOVERY_SERVER_DIRECTORY_H_
#define DISCOVERY_SERVER_DIRECTORY_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "framework/time.h"

namespace limpetrudder {

// What a server says of itself.
struct ServerEntry {
  std::string id;
  std::string service;
  std::string address;  // "IP:PORT".
  std::string data_centre;
  std::uint32_t slots = 1;  // Requests that it runs at once.
  bool draining = false;
  Duration warmup_left{0};  // How much longer it is slow after its start.
  std::int64_t started_ms =
      0;                       // Unix time of its start; names its incarnation.
  std::uint64_t sequence = 0;  // Grows with each entry of an incarnation.
};

// How late an entry of a server is: by its process, then by its sequence.
struct EntryVersion {
  std::int64_t started_ms = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const EntryVersion&) const = default;
};

// Entries that came, changed or went since the last look.
struct DirectoryChange {
  std::vector<ServerEntry> updated;
  std::vector<std::string> removed;

  bool empty() const { return updated.empty() && removed.empty(); }
};

// The servers that registered, as told by a store that may be away for a while,
// tell old news, lose entries of living servers while it is away, or come back
// from an older copy that holds entries of servers which have left since. Holds
// no clock. Not thread safe.
class ServerDirectory {
 public:
  // An entry is missing for good if it isn't back this long after the store is.
  static constexpr Duration kRecoveryGrace = Millis(2200);

  // Servers that left and are remembered, the last ones; a copy of the store is
  // some seconds old.
  static constexpr std::size_t kMaxRemovedVersions = 4096;

  // Takes an entry unless a later one of the server is known, or one as late
  // was dropped. Returns whether it says more than that the server is alive.
  bool OnEntry(const ServerEntry& entry);

  // Whether the entry says nothing later of a server than was known when it was
  // dropped.
  bool IsFromRemovedServer(const ServerEntry& entry) const;

  // The store no longer has the entry, or has one that can't be read.
  void OnRemoved(const std::string& id, Time now);

  // The store's whole list of entries that can be read.
  void OnListing(const std::vector<ServerEntry>& entries, Time now);

  // The store answers again after it was away long enough to lose entries.
  void OnStoreRecovered(Time now) { store_recovered_at_ = now; }

  // Drops entries whose grace is over; returns when to call next.
  Time Turn(Time now);

  // Returns and clears what changed.
  DirectoryChange TakeChange();

  std::vector<ServerEntry> Entries() const;

 private:
  struct Row {
    ServerEntry entry;
    Time grace_until = kNever;  // Set: gone from the store, still in grace.
  };

  void Drop(const std::string& id);

  std::map<std::string, Row> rows_;
  // Servers that were dropped, and what was last known of them.
  std::map<std::string, EntryVersion> removed_versions_;
  std::deque<std::string> removal_order_;
  Time store_recovered_at_ = Time::min();
  DirectoryChange change_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_SERVER_DIRECTORY_H_
