#include "discovery/store_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpetrudder {
namespace {

// After a failed call; doubled each time. A store that refuses is asked less
// often than one that is silent, whose silence took a time-out already.
constexpr Duration kFirstRetry = Millis(150);
constexpr Duration kLongestRetry = Millis(1500);

// An instance that knows nothing yet can serve nobody until the store answers.
constexpr Duration kLongestFirstRetry = Millis(400);

// Two listings begin no closer together, whatever the store answers: listings
// are the dearest calls, and all instances may have the same reason for one.
constexpr Duration kListingPause = Millis(1000);

}  // namespace

std::optional<FeedCall> StoreFollower::Turn(Time now, Time* next) {
  *next = kNever;
  if (asked_)
    return std::nullopt;
  if (now < due_) {
    *next = due_;
    return std::nullopt;
  }
  // NOTE The first listing may be old, since what changed is read next.
  if (!listing_) {
    asked_ = ReadChanges{position_};
  } else {
    if (after_key_.empty() && !first_list_)
      list_began_ = now;
    asked_ = ListPage{after_key_, first_list_};
  }
  return asked_;
}

std::optional<FeedBatch> StoreFollower::OnReply(FeedReply reply, Time now) {
  const auto asked = std::exchange(asked_, std::nullopt);
  if (!asked || reply.status == FeedStatus::kNoReply || IsOutdated(reply)) {
    OnFailure(FeedStatus::kNoReply, now);
    return std::nullopt;
  }
  const bool restored = AdoptEra(reply.era.value_or(era_));
  if (restored)
    ListAnew(now);
  if (reply.status == FeedStatus::kRefused) {
    OnFailure(reply.status, now);
    return std::nullopt;
  }
  // NOTE A store that was away at this instance's start may have lost entries.
  away_ = away_ || (failures_ > 0 && heard_ == Time::min());
  failures_ = 0;
  NoteHeard(now);
  if (restored)
    return std::nullopt;
  if (const auto* page = std::get_if<ListPage>(&*asked)) {
    // NOTE Another instance may have passed on everything in the meantime.
    if (!listing_ || page->after_key != after_key_)
      return std::nullopt;
    return OnPage(std::move(reply), now);
  }
  return OnChanges(std::move(reply), std::get<ReadChanges>(*asked).after, now);
}

std::optional<FeedBatch> StoreFollower::OnChanges(FeedReply reply,
                                                  StorePosition after,
                                                  Time now) {
  due_ = now + Jittered(Interval(now));
  // NOTE The request was asked by a revision of an earlier era, whose number
  // means nothing in this one.
  if (after.era != era_)
    return std::nullopt;
  if (reply.status == FeedStatus::kHistoryLost) {
    ListAnew(now);
    return std::nullopt;
  }
  // NOTE Another instance may have passed on more in the meantime.
  const StorePosition position{era_, reply.revision};
  if (position < position_)
    return std::nullopt;
  position_ = position;
  return MakeBatch(std::move(reply.items), /*whole=*/false);
}

std::optional<FeedBatch> StoreFollower::OnPage(FeedReply reply, Time now) {
  if (reply.status != FeedStatus::kOk) {
    OnFailure(reply.status, now);
    return std::nullopt;
  }
  // NOTE Pages aren't a snapshot: changes since the first one are read again.
  if (after_key_.empty())
    list_position_ = {era_, reply.revision};
  const std::string last_key =
      reply.items.empty() ? std::string() : reply.items.back().key;
  std::move(reply.items.begin(), reply.items.end(), std::back_inserter(pages_));
  due_ = now;
  if (reply.has_more && !last_key.empty()) {
    after_key_ = last_key;
    return std::nullopt;
  }
  listing_ = false;
  first_list_ = false;
  after_key_.clear();
  auto items = std::exchange(pages_, {});
  // NOTE An old listing doesn't undo what another instance passed on.
  if (list_position_ < position_)
    return std::nullopt;
  position_ = list_position_;
  return MakeBatch(std::move(items), /*whole=*/true);
}

bool StoreFollower::IsNews(const FeedReply& reply) const {
  const StorePosition position = PositionOf(reply);
  // NOTE A difference to what was known in an earlier era says nothing.
  return reply.status == FeedStatus::kOk && !IsOutdated(reply) &&
         position >= position_ &&
         (reply.whole || position.era == position_.era);
}

std::optional<FeedBatch> StoreFollower::OnFeedResponse(FeedReply reply,
                                                       Time now) {
  if (reply.status == FeedStatus::kOk && !IsOutdated(reply))
    NoteHeard(now - reply.age);
  if (!IsNews(reply))
    return std::nullopt;
  const StorePosition position = PositionOf(reply);
  AdoptEra(position.era);
  position_ = position;
  if (listing_ && reply.whole) {
    listing_ = false;
    first_list_ = false;
    after_key_.clear();
    pages_.clear();
    due_ = now + Jittered(Interval(now));
  }
  return MakeBatch(std::move(reply.items), reply.whole);
}

bool StoreFollower::AdoptEra(std::uint64_t era) {
  if (era == era_)
    return false;
  era_ = era;
  if (position_ == StorePosition{} && pages_.empty())
    return false;
  away_ = true;
  if (position_ != StorePosition{})
    restored_from_ = position_;
  return true;
}

FeedBatch StoreFollower::MakeBatch(std::vector<RawItem> items, bool whole) {
  return {std::move(items), whole, std::exchange(away_, false),
          std::exchange(restored_from_, std::nullopt)};
}

void StoreFollower::ListAnew(Time now) {
  listing_ = true;
  first_list_ = false;
  after_key_.clear();
  pages_.clear();
  due_ = list_began_ == Time::min()
             ? now
             : std::max(now, list_began_ + kListingPause);
}

void StoreFollower::NoteHeard(Time at) {
  if (at <= heard_)
    return;
  if (heard_ != Time::min() && at - heard_ > kAwayTime)
    away_ = true;
  heard_ = at;
}

void StoreFollower::OnFailure(FeedStatus status, Time now) {
  const std::uint32_t doublings = std::min(failures_, 4U);
  ++failures_;
  Duration pause =
      std::min(kLongestRetry, kFirstRetry * (std::int64_t{1} << doublings));
  if (status == FeedStatus::kRefused)
    pause *= 2;
  if (position_ == StorePosition{})
    pause = std::min(pause, kLongestFirstRetry);
  due_ = std::max(due_, now + Jittered(pause));
}

void StoreFollower::CatchUp(Time until, Time now) {
  catch_up_until_ = std::max(catch_up_until_, until);
  if (failures_ == 0)
    due_ = std::min(due_, now + Jittered(Interval(now)));
}

Duration StoreFollower::Interval(Time now) const {
  return now < catch_up_until_ ? settings_.catch_up_interval
                               : settings_.interval;
}

Duration StoreFollower::Jittered(Duration duration) {
  return Scaled(duration, 0.9 + 0.2 * random_.Unit());
}

}  // namespace limpetrudder
