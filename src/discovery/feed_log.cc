#include "discovery/feed_log.h"

#include <algorithm>
#include <utility>

namespace limpetrudder {

void FeedLog::Reset(std::vector<RawItem> items, StorePosition position) {
  items_.clear();
  changes_.clear();
  for (auto& item : items) {
    if (item.value)
      items_[item.key] = std::move(item);
  }
  floor_ = position.revision;
  position_ = position;
}

void FeedLog::Add(const RawItem& item, bool changed) {
  if (item.value)
    items_[item.key] = item;
  else
    items_.erase(item.key);
  if (!changed)
    return;
  changes_.push_back(item);
  if (changes_.size() > kMaxChanges) {
    floor_ = std::max(floor_, changes_.front().revision);
    changes_.pop_front();
  }
}

void FeedLog::Advance(StorePosition position) {
  position_ = std::max(position_, position);
}

const std::string* FeedLog::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &*found->second.value;
}

bool FeedLog::HasChangesSince(StorePosition after) const {
  if (after > position_)
    return false;
  return after.era < position_.era || after.revision < floor_ ||
         (!changes_.empty() && changes_.back().revision > after.revision);
}

FeedReply FeedLog::Since(StorePosition after) const {
  FeedReply reply;
  reply.status = FeedStatus::kOk;
  reply.era = position_.era;
  reply.revision = position_.revision;
  reply.whole = after < StorePosition{position_.era, floor_};
  if (reply.whole) {
    for (const auto& [key, item] : items_)
      reply.items.push_back(item);
    return reply;
  }
  if (after > position_)
    return reply;
  for (const auto& item : changes_) {
    if (item.revision > after.revision)
      reply.items.push_back(item);
  }
  return reply;
}

}  // namespace limpetrudder
