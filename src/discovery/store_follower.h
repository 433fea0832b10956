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
  // Between two reads of changes. The sum of this, a response time and a
  // time-out stays below the time limits for drains and configurations.
  Duration interval = Millis(1000);
  // The interval while lapsed entries are written again: a sixth of the time in
  // which all servers write theirs.
  Duration catch_up_interval = Millis(200);
  std::uint64_t seed = 0;
};

// The items that a reply adds to what is known.
struct StoreUpdate {
  std::vector<RawItem> items;
  bool whole = false;  // `items` are all of the store's items.
  // The store was unreachable and may have dropped entries.
  bool after_outage = false;
  // Set if the store was restored from an older copy: the position known until
  // then.
  std::optional<StorePosition> restored_from;
};

// Follows the store: lists all items once, then polls for changes at intervals,
// one call at a time. It doesn't use waiting watches, as each heartbeat of each
// server would complete them. Lists all items again when the store has dropped
// its history or was restored from an older copy, and backs off while the store
// rejects calls or is unreachable. Feed responses of other instances are
// applied as well, since they name positions of the store too. Replies of an
// earlier era than the latest known one are ignored. Holds no clock and does no
// I/O. Not thread safe.
class StoreFollower {
 public:
  // If the store doesn't respond for this long, entries of servers may have
  // lapsed.
  static constexpr Duration kOutageThreshold = Millis(2500);

  explicit StoreFollower(StoreFollowerSettings settings)
      : settings_(settings), random_(settings.seed) {}

  // Returns the call to the store that is due, if any, and sets `next` to the
  // time of the next call of NextCall(). Precondition: this instance is to read
  // the store now.
  std::optional<FeedCall> NextCall(Time now, Time* next);

  // Takes the store's reply to the call of NextCall(). Returns an update if
  // there is one; a listing yields it with its last page.
  std::optional<StoreUpdate> OnReply(FeedReply reply, Time now);

  // Takes the feed response of another instance, whose own information is
  // `reply.age` old. Returns an update if the response adds anything.
  std::optional<StoreUpdate> OnFeedResponse(FeedReply reply, Time now);

  // Returns whether `reply` is of an earlier era of the store than era().
  bool IsOutdated(const FeedReply& reply) const {
    return reply.era.value_or(era_) < era_;
  }

  // Polls for changes at short intervals until `until`, while lapsed entries
  // are written again.
  void CatchUp(Time until, Time now);

  // Returns whether OnFeedResponse(reply) returns an update.
  bool AddsChanges(const FeedReply& reply) const;

  // The position up to which all changes are known; the default position if no
  // listing is complete.
  StorePosition position() const { return position_; }

  // The latest era of the store; its items may not be listed yet.
  std::uint64_t era() const { return era_; }

  // Whether a listing isn't complete, so that changes may be missing.
  bool is_listing() const { return is_listing_; }

  // False from a failed call to the store until one succeeds.
  bool is_store_reachable() const { return failures_ == 0; }

  // The time of the store's last response, to this instance or to one whose
  // feed response was taken; Time::min() if there is none.
  Time last_response() const { return last_response_; }

 private:
  void OnFailure(FeedStatus status, Time now);
  StorePosition PositionOf(const FeedReply& reply) const {
    return {reply.era.value_or(era_), reply.revision};
  }
  // Sets the era of the store. Returns whether items of another era are known,
  // so that they have to be listed again.
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
  StorePosition listing_position_;  // Of the listing's first page.
  std::vector<RawItem> pages_;
  // When the last listing other than the first one began.
  Time last_listing_start_ = Time::min();
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
