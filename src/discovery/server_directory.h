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

// The entry that a server writes to the store.
struct ServerEntry {
  std::string id;
  std::string service;
  std::string address;  // "IP:PORT".
  std::string data_centre;
  std::uint32_t slots = 1;  // Requests that it runs concurrently.
  bool draining = false;
  Duration warmup_left{0};  // Remaining time of slower work after its start.
  // Unix time of its start in milliseconds; identifies the incarnation. 0 if
  // the entry doesn't name it.
  std::int64_t started_ms = 0;
  std::uint64_t sequence = 0;  // Increases with each entry of an incarnation.
};

// Orders the entries of a server: by incarnation, then by sequence.
struct EntryVersion {
  std::int64_t started_ms = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const EntryVersion&) const = default;
};

// Entries that were added, changed or removed since the last
// ServerDirectory::TakeChange().
struct DirectoryChange {
  std::vector<ServerEntry> updated;
  std::vector<std::string> removed;

  bool empty() const { return updated.empty() && removed.empty(); }
};

// The registered servers. The store may be unreachable for a while, reply with
// older entries, drop entries of live servers during an outage, or be restored
// from an older copy that has entries of servers which have left since. Holds
// no clock. Not thread safe.
class ServerDirectory {
 public:
  // How long removed entries are kept after the store's recovery.
  static constexpr Duration kRecoveryGrace = Millis(2200);

  // Number of last removed servers whose entry versions are kept. A copy from
  // which the store is restored is some seconds old.
  static constexpr std::size_t kMaxRemovedVersions = 4096;

  // Takes an entry unless a later one of the server is known, or one at least
  // as late was dropped. Returns whether it is more than a heartbeat.
  bool OnEntry(const ServerEntry& entry);

  // Returns whether the entry's server was dropped when this entry or a later
  // one was known.
  bool IsFromRemovedServer(const ServerEntry& entry) const;

  // The store no longer has the entry, or has one that can't be decoded.
  void OnRemoved(const std::string& id, Time now);

  // Takes the decodable entries of a complete listing of the store.
  void OnListing(const std::vector<ServerEntry>& entries, Time now);

  // The store responds again after an outage in which it may have dropped
  // entries.
  void OnStoreRecovered(Time now) { store_recovered_at_ = now; }

  // Drops entries whose grace period is over; returns the time of the next
  // call.
  Time Tick(Time now);

  // Returns the changes since the last call.
  DirectoryChange TakeChange();

  std::vector<ServerEntry> Entries() const;

 private:
  struct Row {
    ServerEntry entry;
    // Set if the store no longer has the entry: end of its grace period.
    Time grace_until = kNever;
  };

  void Drop(const std::string& id);

  std::map<std::string, Row> rows_;
  // Versions of the last known entries of dropped servers.
  std::map<std::string, EntryVersion> removed_versions_;
  std::deque<std::string> removal_order_;
  Time store_recovered_at_ = Time::min();
  DirectoryChange change_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_SERVER_DIRECTORY_H_
