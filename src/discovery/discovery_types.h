#ifndef DISCOVERY_DISCOVERY_TYPES_H_
#define DISCOVERY_DISCOVERY_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "discovery/server_directory.h"
#include "discovery/store_position.h"
#include "framework/error.h"
#include "routing/route_table.h"

namespace limpetrudder {

// The entry under which an instance registers in the store.
struct InstanceEntry {
  std::string name;
  std::string data_centre;
  std::string peer_address;
  double cores = 1;        // Processor cores, may be a fraction.
  double link_mbps = 100;  // Bandwidth of its network link, in Mbit/s.
  // The store's era and the version of the routes in force at the instance when
  // it wrote the entry.
  std::uint64_t store_era = 0;
  std::uint64_t routes_version = 0;
  // It was told to stop, but still takes calls. Only instances that have lost
  // the servers choose it, as long as it is listed.
  bool stopping = false;
  bool operator==(const InstanceEntry&) const = default;
};

struct ServerRemoved {
  std::string id;
};

struct InstanceRemoved {
  std::string name;
};

// Operators want no new requests sent to the servers of a data centre.
struct EvacuationStarted {
  std::string data_centre;
};

struct EvacuationEnded {
  std::string data_centre;
};

// One key of the store with its encoded value.
struct RawItem {
  std::string key;
  std::optional<std::string> value;  // Not set if the key was deleted.
  std::uint64_t revision = 0;
};

// A decoded RawItem.
using FeedItem = std::variant<std::shared_ptr<const RouteTable>,
                              ServerEntry,
                              ServerRemoved,
                              InstanceEntry,
                              InstanceRemoved,
                              EvacuationStarted,
                              EvacuationEnded>;

// The longest value of an entry that is kept unchanged.
inline constexpr std::size_t kMaxEntryValueBytes = 512;

// What a RawItem says.
struct DecodedItem {
  // Not set if discovery doesn't use the item. If an entry can't be read, its
  // removal.
  std::optional<FeedItem> item;
  // Set if the value can't be read.
  std::optional<Error> fault;
  // An entry's value without what nothing reads. Set if its value is longer
  // than kMaxEntryValueBytes.
  std::optional<std::string> short_value;
};

enum class FeedStatus {
  kOk,
  // Changes since the requested revision are no longer kept, or are too many
  // for one reply.
  kHistoryLost,
  kRefused,  // The store rejected the call without executing it.
  kNoReply,
};

// A reply of the store to a FeedCall, or of another instance to a FeedRequest.
struct FeedReply {
  FeedStatus status = FeedStatus::kNoReply;
  std::vector<RawItem> items;
  // The store's era, not set if the reply doesn't name it, and its revision at
  // the time of the reply.
  std::optional<std::uint64_t> era;
  std::uint64_t revision = 0;
  // `items` are all items that the replying instance knows, not changes only.
  bool whole = false;
  bool has_more = false;  // More pages of the listing follow.
  // Time since the replying instance last had a reply from the store.
  Duration age{0};
};

// How long a request waits at another instance for changes.
inline constexpr Duration kFeedWait = Millis(900);

// A request from one instance to another for changes since a position.
struct FeedRequest {
  StorePosition after;
  // Version of the routes in force at the requesting instance, if it names one.
  std::optional<std::uint64_t> routes_version;
  bool at_once = false;  // Respond at once, even if nothing has changed.
};

// Calls that read the store.

// Reads one page of the listing of all items: those with keys after
// `after_key`, or the first page if it is empty.
struct ListPage {
  std::string after_key;
  // Accepts a listing that is some seconds old, at a tenth of the cost.
  bool allow_stale = false;
};

// Reads all changes since a position.
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
// is left to expire: after the store was restored from an older copy, its
// number may belong to another instance.
struct RemoveInstance {
  std::string name;
  std::uint64_t revision = 0;
};

using LeaseCall =
    std::variant<GrantLease, WriteInstance, RenewLease, RemoveInstance>;

enum class LeaseStatus {
  kOk,
  kNoLease,  // The lease has expired.
  kFailed,   // Refused or no reply; the call may have been executed.
};

struct LeaseReply {
  LeaseStatus status = LeaseStatus::kFailed;
  std::optional<std::uint64_t> era;
  std::uint64_t lease = 0;     // Set for GrantLease.
  std::uint64_t revision = 0;  // Set for WriteInstance: of the written entry.
};

}  // namespace limpetrudder

#endif  // DISCOVERY_DISCOVERY_TYPES_H_
