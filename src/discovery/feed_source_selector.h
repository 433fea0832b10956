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

// Decides from whom an instance learns what the store says. A few instances,
// the readers, follow the store; the others have changes passed on by a reader,
// of their own region if there is one. Readers are computed from the list of
// instances, so instances that see different lists only cost a few more calls.
// An instance whose source is silent or itself out of touch tries the others,
// and follows the store itself meanwhile; a reader that the store turns away
// has changes passed on as well. Not thread safe.
class FeedSourceSelector {
 public:
  // One reader for this many instances, and at least kMinReaders.
  static constexpr std::uint32_t kInstancesPerReader = 20;
  static constexpr std::uint32_t kMinReaders = 2;

  // What was last_response of the store longer ago than this is old: a source
  // that knows nothing newer is as good as none.
  static constexpr Duration kMaxStaleness = Millis(2300);

  FeedSourceSelector(InstanceEntry own,
                     std::map<std::string, std::string> regions,
                     std::uint64_t seed)
      : own_(std::move(own)), regions_(std::move(regions)), random_(seed) {}

  void Update(const std::vector<InstanceEntry>& instances);

  // Whether this instance has to follow the store now, where it last_response
  // of the store as of `last_response`. Readers do; of the others in a large
  // fleet only a few a second while none of them hears anything. Answers the
  // load of a store that is away, which each of hundreds of instances would
  // call all the time.
  bool ShouldReadStore(Time last_response, Time now) const;

  // The next time at which ShouldReadStore() may be true without other news.
  Time NextStoreRead(Time last_response) const;

  // This instance called the store.
  void OnStoreRead(Time now);

  // Returns the instance to ask next for what changed, if one is to be asked
  // now; `next` is when to ask again. One request at a time.
  std::optional<InstanceEntry> StartRequest(Time last_response,
                                            bool store_reachable,
                                            Time now,
                                            Time* next);

  // The request to `name` was answered with news as of `age` ago, or failed.
  void OnResponse(const std::string& name, Duration age, Time now);
  void OnFailure(const std::string& name, Time now);

  // The instance `name` was seen with newer routes than this one's. Returns it
  // if it is to be asked now, beside the request that may be out: that one may
  // wait at an instance that is cut off. One such request at a time.
  std::optional<InstanceEntry> StartNewerRoutesRequest(const std::string& name,
                                                       Time now);
  void OnNewerRoutesRequestEnded() { newer_routes_request_pending_ = false; }

  bool is_reader() const { return is_reader_; }

 private:
  std::vector<InstanceEntry> Readers(
      const std::vector<InstanceEntry>& instances) const;
  const std::string& RegionOf(const InstanceEntry& instance) const;
  // This instance's place in a span of time that all instances divide.
  Duration OwnOffsetIn(Duration span) const;
  bool IsInBackoff(const std::string& name, Time now) const;

  const InstanceEntry own_;
  const std::map<std::string, std::string> regions_;
  Random random_;
  std::vector<InstanceEntry> readers_;      // Others than this one, best first.
  std::vector<InstanceEntry> non_readers_;  // That aren't readers.
  bool is_reader_ = true;
  // In which each instance that isn't a reader calls the store once.
  Duration read_spread_{0};
  Time next_store_read_ = Time::min();
  bool request_pending_ = false;
  bool newer_routes_request_pending_ = false;
  Time next_newer_routes_request_ = Time::min();
  Time next_request_ = Time::min();
  std::map<std::string, Time> backoff_until_;  // Until when.
};

}  // namespace limpetrudder

#endif  // DISCOVERY_FEED_SOURCE_SELECTOR_H_
