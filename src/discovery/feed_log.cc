#include "discovery/feed_log.h"

#include <algorithm>
#include <utility>

namespace limpetrudder {

namespace {

// The memory of an item besides the characters of its key, which is kept twice,
// and of its value.
constexpr std::size_t kItemOverheadBytes = 200;

}  // namespace

std::size_t FeedLog::MemoryOf(const RawItem& item) {
  return kItemOverheadBytes + 2 * item.key.size() +
         (item.value ? item.value->size() : 0);
}

void FeedLog::Store(RawItem item) {
  RawItem& row = items_[item.key];
  item_bytes_ += MemoryOf(item);
  if (row.value)
    item_bytes_ -= MemoryOf(row);
  row = std::move(item);
}

void FeedLog::Erase(const std::string& key) {
  const auto found = items_.find(key);
  if (found == items_.end())
    return;
  item_bytes_ -= MemoryOf(found->second);
  items_.erase(found);
}

void FeedLog::Reset(std::vector<RawItem> items, StorePosition position) {
  items_.clear();
  item_bytes_ = 0;
  changes_.clear();
  change_bytes_ = 0;
  for (auto& item : items) {
    if (item.value)
      Store(std::move(item));
  }
  floor_ = position.revision;
  position_ = position;
}

void FeedLog::Add(const RawItem& item, bool changed) {
  if (item.value)
    Store(item);
  else
    Erase(item.key);
  if (!changed)
    return;
  changes_.push_back(item);
  change_bytes_ += MemoryOf(item);
  while (changes_.size() > kMaxChanges || change_bytes_ > max_change_bytes_)
    DropOldestChange();
}

void FeedLog::DropOldestChange() {
  const RawItem& oldest = changes_.front();
  floor_ = std::max(floor_, oldest.revision);
  change_bytes_ -= MemoryOf(oldest);
  changes_.pop_front();
}

void FeedLog::Advance(StorePosition position) {
  position_ = std::max(position_, position);
}

const std::string* FeedLog::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &*found->second.value;
}

std::size_t FeedLog::BytesOf(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? 0 : MemoryOf(found->second);
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
