#include "discovery/store_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpetrudder {
namespace {

// After a failed call; doubled each time. A store that refuses is asked less
// often than one that is silent, whose silence took a time-out already.
constexpr Duration kMinRetryInterval = Millis(150);
constexpr Duration kMaxRetryInterval = Millis(1500);

// An instance that knows nothing yet can serve nobody until the store answers.
constexpr Duration kMaxStartupRetryInterval = Millis(400);

// Two listings begin no closer together, whatever the store answers: listings
// are the dearest calls, and all instances may have the same reason for one.
constexpr Duration kMinListingInterval = Millis(1000);

}  // namespace

std::optional<FeedCall> StoreFollower::Turn(Time now, Time* next) {
  *next = kNever;
  if (pending_call_)
    return std::nullopt;
  if (now < next_call_) {
    *next = next_call_;
    return std::nullopt;
  }
  // NOTE The first listing may be old, since what changed is read next.
  if (!is_listing_) {
    pending_call_ = ReadChanges{position_};
  } else {
    if (after_key_.empty() && !is_first_listing_)
      last_listing_start_ = now;
    pending_call_ = ListPage{after_key_, is_first_listing_};
  }
  return pending_call_;
}

std::optional<StoreUpdate> StoreFollower::OnReply(FeedReply reply, Time now) {
  const auto asked = std::exchange(pending_call_, std::nullopt);
  if (!asked || reply.status == FeedStatus::kNoReply || IsOutdated(reply)) {
    OnFailure(FeedStatus::kNoReply, now);
    return std::nullopt;
  }
  const bool restored = UpdateEra(reply.era.value_or(era_));
  if (restored)
    RestartListing(now);
  if (reply.status == FeedStatus::kRefused) {
    OnFailure(reply.status, now);
    return std::nullopt;
  }
  // NOTE A store that was away at this instance's start may have lost entries.
  outage_seen_ =
      outage_seen_ || (failures_ > 0 && last_response_ == Time::min());
  failures_ = 0;
  RecordResponse(now);
  if (restored)
    return std::nullopt;
  if (const auto* page = std::get_if<ListPage>(&*asked)) {
    // NOTE Another instance may have passed on everything in the meantime.
    if (!is_listing_ || page->after_key != after_key_)
      return std::nullopt;
    return OnPage(std::move(reply), now);
  }
  return OnChanges(std::move(reply), std::get<ReadChanges>(*asked).after, now);
}

std::optional<StoreUpdate> StoreFollower::OnChanges(FeedReply reply,
                                                    StorePosition after,
                                                    Time now) {
  next_call_ = now + Jittered(Interval(now));
  // NOTE The request was asked by a revision of an earlier era, whose number
  // means nothing in this one.
  if (after.era != era_)
    return std::nullopt;
  if (reply.status == FeedStatus::kHistoryLost) {
    RestartListing(now);
    return std::nullopt;
  }
  // NOTE Another instance may have passed on more in the meantime.
  const StorePosition position{era_, reply.revision};
  if (position < position_)
    return std::nullopt;
  position_ = position;
  return MakeUpdate(std::move(reply.items), /*whole=*/false);
}

std::optional<StoreUpdate> StoreFollower::OnPage(FeedReply reply, Time now) {
  if (reply.status != FeedStatus::kOk) {
    OnFailure(reply.status, now);
    return std::nullopt;
  }
  // NOTE Pages aren't a snapshot: changes since the first one are read again.
  if (after_key_.empty())
    listing_position_ = {era_, reply.revision};
  const std::string last_key =
      reply.items.empty() ? std::string() : reply.items.back().key;
  std::move(reply.items.begin(), reply.items.end(), std::back_inserter(pages_));
  next_call_ = now;
  if (reply.has_more && !last_key.empty()) {
    after_key_ = last_key;
    return std::nullopt;
  }
  is_listing_ = false;
  is_first_listing_ = false;
  after_key_.clear();
  auto items = std::exchange(pages_, {});
  // NOTE An old listing doesn't undo what another instance passed on.
  if (listing_position_ < position_)
    return std::nullopt;
  position_ = listing_position_;
  return MakeUpdate(std::move(items), /*whole=*/true);
}

bool StoreFollower::AddsChanges(const FeedReply& reply) const {
  const StorePosition position = PositionOf(reply);
  // NOTE A difference to what was known in an earlier era says nothing.
  return reply.status == FeedStatus::kOk && !IsOutdated(reply) &&
         position >= position_ &&
         (reply.whole || position.era == position_.era);
}

std::optional<StoreUpdate> StoreFollower::OnFeedResponse(FeedReply reply,
                                                         Time now) {
  if (reply.status == FeedStatus::kOk && !IsOutdated(reply))
    RecordResponse(now - reply.age);
  if (!AddsChanges(reply))
    return std::nullopt;
  const StorePosition position = PositionOf(reply);
  UpdateEra(position.era);
  position_ = position;
  if (is_listing_ && reply.whole) {
    is_listing_ = false;
    is_first_listing_ = false;
    after_key_.clear();
    pages_.clear();
    next_call_ = now + Jittered(Interval(now));
  }
  return MakeUpdate(std::move(reply.items), reply.whole);
}

bool StoreFollower::UpdateEra(std::uint64_t era) {
  if (era == era_)
    return false;
  era_ = era;
  if (position_ == StorePosition{} && pages_.empty())
    return false;
  outage_seen_ = true;
  if (position_ != StorePosition{})
    restored_from_ = position_;
  return true;
}

StoreUpdate StoreFollower::MakeUpdate(std::vector<RawItem> items, bool whole) {
  return {std::move(items), whole, std::exchange(outage_seen_, false),
          std::exchange(restored_from_, std::nullopt)};
}

void StoreFollower::RestartListing(Time now) {
  is_listing_ = true;
  is_first_listing_ = false;
  after_key_.clear();
  pages_.clear();
  next_call_ = last_listing_start_ == Time::min()
                   ? now
                   : std::max(now, last_listing_start_ + kMinListingInterval);
}

void StoreFollower::RecordResponse(Time at) {
  if (at <= last_response_)
    return;
  if (last_response_ != Time::min() && at - last_response_ > kOutageThreshold)
    outage_seen_ = true;
  last_response_ = at;
}

void StoreFollower::OnFailure(FeedStatus status, Time now) {
  const std::uint32_t doublings = std::min(failures_, 4U);
  ++failures_;
  Duration pause = std::min(kMaxRetryInterval,
                            kMinRetryInterval * (std::int64_t{1} << doublings));
  if (status == FeedStatus::kRefused)
    pause *= 2;
  if (position_ == StorePosition{})
    pause = std::min(pause, kMaxStartupRetryInterval);
  next_call_ = std::max(next_call_, now + Jittered(pause));
}

void StoreFollower::CatchUp(Time until, Time now) {
  catch_up_until_ = std::max(catch_up_until_, until);
  if (failures_ == 0)
    next_call_ = std::min(next_call_, now + Jittered(Interval(now)));
}

Duration StoreFollower::Interval(Time now) const {
  return now < catch_up_until_ ? settings_.catch_up_interval
                               : settings_.interval;
}

Duration StoreFollower::Jittered(Duration duration) {
  return Scaled(duration, 0.9 + 0.2 * random_.Unit());
}

}  // namespace limpetrudder
