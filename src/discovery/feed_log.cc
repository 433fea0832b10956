#include "discovery/feed_log.h"

#include <algorithm>

namespace limpetrudder {

void FeedLog::Reset(const std::vector<RawItem>& items, std::uint64_t revision) {
  items_.clear();
  changes_.clear();
  for (const auto& item : items) {
    if (item.value)
      items_[item.key] = item;
  }
  floor_ = revision;
  revision_ = revision;
}

void FeedLog::Add(const RawItem& item, bool changed) {
  if (item.value)
    items_[item.key] = item;
  else
    items_.erase(item.key);
  if (!changed)
    return;
  changes_.push_back(item);
  if (changes_.size() > kMostChanges) {
    floor_ = std::max(floor_, changes_.front().revision);
    changes_.pop_front();
  }
}

void FeedLog::Advance(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

const std::string* FeedLog::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &*found->second.value;
}

bool FeedLog::HasNewsSince(std::uint64_t after) const {
  if (after > revision_)
    return false;
  return after < floor_ ||
         (!changes_.empty() && changes_.back().revision > after);
}

FeedReply FeedLog::Since(std::uint64_t after) const {
  FeedReply reply;
  reply.status = FeedStatus::kOk;
  reply.revision = revision_;
  reply.whole = after < floor_;
  if (reply.whole) {
    for (const auto& [key, item] : items_)
      reply.items.push_back(item);
    return reply;
  }
  for (const auto& item : changes_) {
    if (item.revision > after)
      reply.items.push_back(item);
  }
  return reply;
}

}  // namespace limpetrudder
