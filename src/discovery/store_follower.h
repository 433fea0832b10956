#ifndef DISCOVERY_STORE_FOLLOWER_H_
#define DISCOVERY_STORE_FOLLOWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery_types.h"
#include "framework/random.h"
#include "framework/time.h"

namespace limpetrudder {

struct StoreFollowerSettings {
  // Between two reads of what changed. The sum of this, an answer's time and a
  // time-out stays under the bounds for drains and configurations.
  Duration interval = Millis(1000);
  // While entries come back: a sixth of the time in which servers write theirs.
  Duration catch_up_interval = Millis(200);
  std::uint64_t seed = 0;
};

// What a reply brings.
struct StoreUpdate {
  std::vector<RawItem> items;
  bool whole = false;         // All there is; what isn't in it is gone.
  bool after_outage = false;  // The store was away and may have lost entries.
  // The store came back from an older copy: what was known until then.
  std::optional<StorePosition> restored_from;
};

// Follows the store: lists everything once, then collects what changed at
// intervals, one call at a time. A waiting watch would be answered by each
// heartbeat of each server, so none waits. Lists anew when the store has
// dropped its history or came back from an older copy, and backs off while it
// refuses or is away. What other instances pass on counts as well: positions
// are the store's everywhere. An answer of an earlier era than one that was
// seen changes nothing. Holds no clock and does no I/O. Not thread safe.
class StoreFollower {
 public:
  // Without an answer for this long, servers' entries may have lapsed.
  static constexpr Duration kOutageThreshold = Millis(2500);

  explicit StoreFollower(StoreFollowerSettings settings)
      : settings_(settings), random_(settings.seed) {}

  // Returns the call on the store that is due, if any; `next` is when to ask
  // again. Precondition: the store is to be followed by this instance.
  std::optional<FeedCall> Turn(Time now, Time* next);

  // The answer to the call; returns what it brings, once it is complete.
  std::optional<StoreUpdate> OnReply(FeedReply reply, Time now);

  // What another instance passed on, perhaps `reply.age` old; returns what is
  // new in it.
  std::optional<StoreUpdate> OnFeedResponse(FeedReply reply, Time now);

  // Whether `reply` is of an earlier era of the store than is known here.
  bool IsOutdated(const FeedReply& reply) const {
    return reply.era.value_or(era_) < era_;
  }

  // Reads what changed at short intervals until then: entries that lapsed are
  // coming back.
  void CatchUp(Time until, Time now);

  // Whether OnFeedResponse(reply) returns what is new in it.
  bool AddsChanges(const FeedReply& reply) const;

  // Up to where everything is known; zero: nothing is.
  StorePosition position() const { return position_; }

  // The store's latest era that was seen; its listing may still be on its way.
  std::uint64_t era() const { return era_; }

  // Whether the store answered the last call.
  bool is_store_reachable() const { return failures_ == 0; }

  // As of when the store was last_response, by whichever way; Time::min():
  // never.
  Time last_response() const { return last_response_; }

 private:
  void OnFailure(FeedStatus status, Time now);
  StorePosition PositionOf(const FeedReply& reply) const {
    return {reply.era.value_or(era_), reply.revision};
  }
  // Notes the era of an answer. Returns whether it is later than the one of
  // which anything is known, so that this has to be read again.
  bool UpdateEra(std::uint64_t era);
  std::optional<StoreUpdate> OnPage(FeedReply reply, Time now);
  std::optional<StoreUpdate> OnChanges(FeedReply reply,
                                       StorePosition after,
                                       Time now);
  StoreUpdate MakeUpdate(std::vector<RawItem> items, bool whole);
  void RestartListing(Time now);
  void RecordResponse(Time at);
  Duration Interval(Time now) const;
  Duration Jittered(Duration duration);

  StoreFollowerSettings settings_;
  Random random_;
  std::optional<FeedCall> pending_call_;
  bool is_listing_ = true;
  bool is_first_listing_ = true;
  std::string after_key_;
  StorePosition listing_position_;  // Of the first page.
  std::vector<RawItem> pages_;
  Time last_listing_start_ = Time::min();  // The last one but the first.
  std::uint64_t era_ = 0;
  StorePosition position_;
  std::optional<StorePosition> restored_from_;
  Time catch_up_until_ = Time::min();
  Time next_call_ = Time::min();
  Time last_response_ = Time::min();
  bool outage_seen_ = false;
  std::uint32_t failures_ = 0;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_STORE_FOLLOWER_H_
