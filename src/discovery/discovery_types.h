#ifndef DISCOVERY_DISCOVERY_TYPES_H_
#define DISCOVERY_DISCOVERY_TYPES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "discovery/server_directory.h"
#include "discovery/store_position.h"
#include "routing/route_table.h"

namespace limpetrudder {

// Another instance, or this one, as it registered.
struct InstanceEntry {
  std::string name;
  std::string data_centre;
  std::string peer_address;
  double cores = 1;        // Its share of a processor.
  double link_mbps = 100;  // Of its own link, in Mbit/s.
  // When it wrote this: the store's era, and the routes that it had in force.
  std::uint64_t store_era = 0;
  std::uint64_t routes_version = 0;
  bool operator==(const InstanceEntry&) const = default;
};

struct ServerRemoved {
  std::string id;
};

struct InstanceRemoved {
  std::string name;
};

// One thing that the store says, as it is written there.
struct RawItem {
  std::string key;
  std::optional<std::string> value;  // Nothing: it was deleted.
  std::uint64_t revision = 0;
};

// The same in the product's terms.
using FeedItem = std::variant<std::shared_ptr<const RouteTable>,
                              ServerEntry,
                              ServerRemoved,
                              InstanceEntry,
                              InstanceRemoved>;

enum class FeedStatus {
  kOk,
  kHistoryLost,  // Changes since the asked revision are no longer kept.
  kRefused,      // The store turned the call away; nothing was done.
  kNoReply,
};

struct FeedReply {
  FeedStatus status = FeedStatus::kNoReply;
  std::vector<RawItem> items;
  // Of the store, when it answered. Nothing: the answer doesn't say.
  std::optional<std::uint64_t> era;
  std::uint64_t revision = 0;
  bool whole = false;  // An instance sends all it knows.
  bool has_more = false;
  Duration age{0};  // Since the store itself was last_response, at an instance.
};

// How long a request waits at another instance for something to change.
inline constexpr Duration kFeedWait = Millis(900);

// What one instance asks another: what changed since a position.
struct FeedQuestion {
  StorePosition after;
  // Of the routes in force at the asking instance; nothing: it doesn't say.
  std::optional<std::uint64_t> routes_version;
  bool at_once = false;  // Don't wait until something changes.
};

// Calls that follow the store.

// One page of everything, after `after_key`; empty: from the beginning.
struct ListPage {
  std::string after_key;
  bool allow_stale = false;  // Some seconds, for a tenth of the price.
};

// Everything that changed since a position.
struct ReadChanges {
  StorePosition after;
};

using FeedCall = std::variant<ListPage, ReadChanges>;

// Calls that keep an instance registered.

struct GrantLease {
  Duration lease{0};
};
struct WriteInstance {
  InstanceEntry entry;
  std::uint64_t lease = 0;
};
struct RenewLease {
  std::uint64_t lease = 0;
};
// Removes an instance's entry if it is still the one of `revision`. The lease
// is left to run out: after the store came back from an older copy, its number
// may be another instance's.
struct RemoveInstance {
  std::string name;
  std::uint64_t revision = 0;
};

using LeaseCall =
    std::variant<GrantLease, WriteInstance, RenewLease, RemoveInstance>;

enum class LeaseStatus {
  kOk,
  kNoLease,  // It has lapsed.
  kFailed,   // Refused, or no reply: it may have been done.
};

struct LeaseReply {
  LeaseStatus status = LeaseStatus::kFailed;
  std::optional<std::uint64_t> era;
  std::uint64_t lease = 0;     // Of GrantLease.
  std::uint64_t revision = 0;  // Of WriteInstance.
};

}  // namespace limpetrudder

#endif  // DISCOVERY_DISCOVERY_TYPES_H_
