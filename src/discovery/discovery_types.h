#ifndef DISCOVERY_DISCOVERY_TYPES_H_
#define DISCOVERY_DISCOVERY_TYPES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "discovery/server_directory.h"
#include "routing/route_table.h"

namespace limpetrudder {

// Another instance, or this one, as it registered.
struct InstanceEntry {
  std::string name;
  std::string data_centre;
  std::string peer_address;
  double cores = 1;        // Its share of a processor.
  double link_mbps = 100;  // Of its own link, in Mbit/s.
  bool operator==(const InstanceEntry&) const = default;
};

struct ServerGone {
  std::string id;
};

struct InstanceGone {
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
                              ServerGone,
                              InstanceEntry,
                              InstanceGone>;

enum class FeedStatus {
  kOk,
  kHistoryLost,  // Changes since the asked revision are no longer kept.
  kRefused,      // The store turned the call away; nothing was done.
  kNoReply,
};

struct FeedReply {
  FeedStatus status = FeedStatus::kNoReply;
  std::vector<RawItem> items;
  std::uint64_t revision = 0;  // Of the store, when it answered.
  bool whole = false;          // An instance sends all it knows.
  bool has_more = false;
  Duration age{0};  // Since the store itself was heard, at an instance.
};

// Calls that follow the store.

// One page of everything, after `after_key`; empty: from the beginning.
struct ListPage {
  std::string after_key;
  bool may_be_old = false;  // Some seconds, for a tenth of the price.
};

// Everything that changed since a revision.
struct ReadChanges {
  std::uint64_t after_revision = 0;
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
struct EndLease {
  std::uint64_t lease = 0;
};

using LeaseCall = std::variant<GrantLease, WriteInstance, RenewLease, EndLease>;

enum class LeaseStatus {
  kOk,
  kNoLease,  // It has lapsed.
  kFailed,   // Refused, or no reply: it may have been done.
};

struct LeaseReply {
  LeaseStatus status = LeaseStatus::kFailed;
  std::uint64_t lease = 0;  // Of GrantLease.
};

}  // namespace limpetrudder

#endif  // DISCOVERY_DISCOVERY_TYPES_H_
