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

}  // namespace

std::optional<FeedCall> StoreFollower::Turn(Time now, Time* next) {
  *next = kNever;
  if (calling_)
    return std::nullopt;
  if (now < due_) {
    *next = due_;
    return std::nullopt;
  }
  calling_ = true;
  // NOTE The first listing may be old, since what changed is read next.
  if (listing_)
    return ListPage{after_key_, first_list_};
  return ReadChanges{revision_};
}

std::optional<FeedBatch> StoreFollower::OnReply(FeedReply reply, Time now) {
  calling_ = false;
  if (reply.status == FeedStatus::kHistoryLost) {
    failures_ = 0;
    NoteHeard(now);
    ListAnew(now);
    return std::nullopt;
  }
  if (reply.status != FeedStatus::kOk) {
    OnFailure(reply.status, now);
    return std::nullopt;
  }
  failures_ = 0;
  NoteHeard(now);
  if (listing_)
    return OnPage(std::move(reply), now);
  due_ = now + Jittered(settings_.interval);
  // NOTE Another instance may have passed on more in the meantime.
  if (reply.revision < revision_)
    return std::nullopt;
  revision_ = reply.revision;
  return FeedBatch{std::move(reply.items), false, std::exchange(away_, false)};
}

std::optional<FeedBatch> StoreFollower::OnPage(FeedReply reply, Time now) {
  // NOTE Pages aren't a snapshot: changes since the first one are read again.
  if (after_key_.empty())
    list_revision_ = reply.revision;
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
  FeedBatch batch{std::exchange(pages_, {}), true, std::exchange(away_, false)};
  // NOTE An old listing doesn't undo what another instance passed on.
  if (list_revision_ < revision_)
    return std::nullopt;
  revision_ = list_revision_;
  return batch;
}

std::optional<FeedBatch> StoreFollower::OnPassedOn(FeedReply reply, Time now) {
  if (reply.status != FeedStatus::kOk)
    return std::nullopt;
  NoteHeard(now - reply.age);
  if (reply.revision < revision_)
    return std::nullopt;
  revision_ = reply.revision;
  if (listing_ && reply.whole) {
    listing_ = false;
    first_list_ = false;
    after_key_.clear();
    pages_.clear();
    due_ = now + Jittered(settings_.interval);
  }
  return FeedBatch{std::move(reply.items), reply.whole,
                   std::exchange(away_, false)};
}

void StoreFollower::ListAnew(Time now) {
  listing_ = true;
  first_list_ = false;
  after_key_.clear();
  pages_.clear();
  due_ = now;
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
  if (revision_ == 0)
    pause = std::min(pause, kLongestFirstRetry);
  due_ = now + Jittered(pause);
}

Duration StoreFollower::Jittered(Duration duration) {
  return Scaled(duration, 0.9 + 0.2 * random_.Unit());
}

}  // namespace limpetrudder
