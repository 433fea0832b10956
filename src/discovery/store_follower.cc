#include "discovery/store_follower.h"

#include <algorithm>
#include <utility>

#include "discovery/feed_log.h"

namespace limpetrudder {
namespace {

// Pause after a failed call, doubled with each further failure. It is twice as
// long if the store rejects the call: without a reply, the time-out has already
// added to the pause.
constexpr Duration kInitialRetryInterval = Millis(150);
constexpr Duration kMaxRetryInterval = Millis(1500);

// Applies while nothing is known yet: such an instance can't serve any request
// until the store responds.
constexpr Duration kMaxStartupRetryInterval = Millis(400);

// Minimum time from the start of one listing to the start of the next, whatever
// the store replies. Listings are the most expensive calls, and all instances
// may need one at the same time.
constexpr Duration kMinListingInterval = Millis(1000);

}  // namespace

std::optional<FeedCall> StoreFollower::NextCall(Time now, Time* next) {
  *next = kNever;
  if (pending_call_)
    return std::nullopt;
  if (now < next_call_) {
    *next = next_call_;
    return std::nullopt;
  }
  // The first listing may be stale, since changes are read next.
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
  const auto call = std::exchange(pending_call_, std::nullopt);
  if (!call || reply.status == FeedStatus::kNoReply || IsOutdated(reply)) {
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
  // A store that was unreachable when this instance started may have dropped
  // entries.
  outage_seen_ =
      outage_seen_ || (failures_ > 0 && last_response_ == Time::min());
  failures_ = 0;
  RecordResponse(now);
  if (restored)
    return std::nullopt;
  if (const auto* page = std::get_if<ListPage>(&*call)) {
    // A feed response of another instance may have replaced the listing in the
    // meantime.
    if (!is_listing_ || page->after_key != after_key_)
      return std::nullopt;
    return OnPage(std::move(reply), now);
  }
  return OnChanges(std::move(reply), std::get<ReadChanges>(*call).after, now);
}

std::optional<StoreUpdate> StoreFollower::OnChanges(FeedReply reply,
                                                    StorePosition after,
                                                    Time now) {
  next_call_ = now + Jittered(Interval(now));
  // Revisions of an earlier era can't be compared with those of this one.
  if (after.era != era_)
    return std::nullopt;
  if (reply.status == FeedStatus::kHistoryLost) {
    RestartListing(now);
    return std::nullopt;
  }
  // A feed response of another instance may have brought later changes in the
  // meantime.
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
  // Pages aren't read at one revision, so changes are read from that of the
  // first page.
  if (after_key_.empty())
    listing_position_ = {era_, reply.revision};
  const std::string last_key =
      reply.items.empty() ? std::string() : reply.items.back().key;
  for (auto& item : reply.items) {
    if (!item.value)
      continue;
    listing_bytes_ += FeedLog::MemoryOf(item);
    pages_.push_back(std::move(item));
  }
  next_call_ = now;
  if (reply.has_more && !last_key.empty()) {
    after_key_ = last_key;
    return std::nullopt;
  }
  is_listing_ = false;
  is_first_listing_ = false;
  after_key_.clear();
  auto items = TakePages();
  // A stale listing doesn't undo later changes from another instance.
  if (listing_position_ < position_)
    return std::nullopt;
  position_ = listing_position_;
  return MakeUpdate(std::move(items), /*whole=*/true);
}

bool StoreFollower::AddsChanges(const FeedReply& reply) const {
  const StorePosition position = PositionOf(reply);
  // Changes since a position of another era can't be applied.
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
    TakePages();
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
  TakePages();
  next_call_ = last_listing_start_ == Time::min()
                   ? now
                   : std::max(now, last_listing_start_ + kMinListingInterval);
}

std::vector<RawItem> StoreFollower::TakePages() {
  listing_bytes_ = 0;
  return std::exchange(pages_, {});
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
  Duration pause =
      std::min(kMaxRetryInterval,
               kInitialRetryInterval * (std::int64_t{1} << doublings));
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
