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
  if (listing_)
    return ListPage{after_key_};
  return ReadChanges{revision_};
}

std::optional<FeedBatch> StoreFollower::OnReply(FeedReply reply, Time now) {
  calling_ = false;
  if (reply.status == FeedStatus::kHistoryLost) {
    NoteContact(now);
    listing_ = true;
    after_key_.clear();
    pages_.clear();
    due_ = now;
    return std::nullopt;
  }
  if (reply.status != FeedStatus::kOk) {
    OnFailure(reply.status, now);
    return std::nullopt;
  }
  NoteContact(now);
  if (listing_)
    return OnPage(std::move(reply), now);
  // NOTE A store that was restored from older data counts revisions anew.
  if (reply.revision < revision_) {
    listing_ = true;
    after_key_.clear();
    due_ = now;
    return std::nullopt;
  }
  revision_ = reply.revision;
  due_ = now + Jittered(settings_.interval);
  return FeedBatch{std::move(reply.items), false, std::exchange(away_, false)};
}

std::optional<FeedBatch> StoreFollower::OnPage(FeedReply reply, Time now) {
  // NOTE Pages aren't a snapshot: changes since the first one are read again.
  if (after_key_.empty())
    list_revision_ = reply.revision;
  std::move(reply.items.begin(), reply.items.end(), std::back_inserter(pages_));
  if (reply.has_more && !reply.last_key.empty()) {
    after_key_ = reply.last_key;
    due_ = now;
    return std::nullopt;
  }
  listing_ = false;
  after_key_.clear();
  revision_ = list_revision_;
  due_ = now + Jittered(settings_.interval);
  return FeedBatch{std::exchange(pages_, {}), true,
                   std::exchange(away_, false)};
}

void StoreFollower::NoteContact(Time now) {
  if (last_ok_ != Time::min() && now - last_ok_ > kAwayTime)
    away_ = true;
  last_ok_ = now;
  failures_ = 0;
}

void StoreFollower::OnFailure(FeedStatus status, Time now) {
  const std::uint32_t doublings = std::min(failures_, 4U);
  ++failures_;
  const Duration pause =
      std::min(kLongestRetry, kFirstRetry * (std::int64_t{1} << doublings));
  due_ = now + Jittered(status == FeedStatus::kRefused ? pause * 2 : pause);
}

Duration StoreFollower::Jittered(Duration duration) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * (0.9 + 0.2 * random_.Unit())));
}

}  // namespace limpetrudder
