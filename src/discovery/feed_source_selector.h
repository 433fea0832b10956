#ifndef DISCOVERY_FEED_SOURCE_SELECTOR_H_
#define DISCOVERY_FEED_SOURCE_SELECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery_types.h"
#include "framework/random.h"
#include "framework/time.h"

namespace limpetrudder {

// Decides from where an instance gets the store's changes. A few instances, the
// readers, read the store; the others request changes from a reader, of their
// own region if there is one. Each instance computes the readers from its list
// of instances; where the lists differ, this only costs a few more calls.
// If its source doesn't respond or has stale data, an instance tries other
// instances and reads the store itself in the meantime. A reader whose calls
// the store rejects requests changes from other instances as well. Not thread
// safe.
class FeedSourceSelector {
 public:
  // There is one reader for this many instances, but at least kMinReaders.
  static constexpr std::uint32_t kInstancesPerReader = 20;
  static constexpr std::uint32_t kMinReaders = 2;

  // A source whose last response from the store is older than this counts as
  // failed.
  static constexpr Duration kMaxStaleness = Millis(2300);

  FeedSourceSelector(InstanceEntry own,
                     std::map<std::string, std::string> regions,
                     std::uint64_t seed)
      : own_(std::move(own)), regions_(std::move(regions)), random_(seed) {}

  // Computes the readers among `instances`.
  void Update(const std::vector<InstanceEntry>& instances);

  // Returns whether this instance has to read the store now. `last_response` is
  // the time of the store's last response that is known here. Readers always
  // read it; of the others in a large fleet only a few a second do while none
  // of them gets changes. This protects an unreachable store from constant
  // calls by hundreds of instances.
  bool ShouldReadStore(Time last_response, Time now) const;

  // Returns the time after which ShouldReadStore() is true if `last_response`
  // stays the same.
  Time NextStoreRead(Time last_response) const;

  // Records that this instance called the store.
  void OnStoreRead(Time now);

  // Returns the instance to request changes from now, if any, and marks the
  // request as pending until OnResponse() or OnFailure(); there is one at a
  // time. Sets `next` to the time of the next call, or to kNever.
  std::optional<InstanceEntry> StartRequest(Time last_response,
                                            bool store_reachable,
                                            Time now,
                                            Time* next);

  // The pending request to `name` was answered by one whose last response from
  // the store is `age` old, or it failed.
  void OnResponse(const std::string& name, Duration age, Time now);
  void OnFailure(const std::string& name, Time now);

  // Called when the instance `name` has newer routes than this one. Returns it
  // if routes are to be requested from it now. This doesn't depend on the
  // request of StartRequest(), which may wait at an instance that is cut off.
  // One such request at a time.
  std::optional<InstanceEntry> StartNewerRoutesRequest(const std::string& name,
                                                       Time now);
  void OnNewerRoutesRequestEnded() { newer_routes_request_pending_ = false; }

  bool is_reader() const { return is_reader_; }

 private:
  std::vector<InstanceEntry> Readers(
      const std::vector<InstanceEntry>& instances) const;
  const std::string& RegionOf(const InstanceEntry& instance) const;
  // Returns this instance's offset within `span`. Offsets are hashes of the
  // names, so that the instances are spread over the span.
  Duration OwnOffsetIn(Duration span) const;
  bool IsInBackoff(const std::string& name, Time now) const;

  const InstanceEntry own_;
  const std::map<std::string, std::string> regions_;
  Random random_;
  // Both without this instance; readers of its own region come first.
  std::vector<InstanceEntry> readers_;
  std::vector<InstanceEntry> non_readers_;
  bool is_reader_ = true;
  // Length of the period in which each non-reader calls an unreachable store
  // once.
  Duration read_spread_{0};
  Time next_store_read_ = Time::min();
  bool request_pending_ = false;
  bool newer_routes_request_pending_ = false;
  Time next_newer_routes_request_ = Time::min();
  Time next_request_ = Time::min();
  // By instance; until then no changes are requested from it.
  std::map<std::string, Time> backoff_until_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_FEED_SOURCE_SELECTOR_H_
