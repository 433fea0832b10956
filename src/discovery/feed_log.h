#ifndef DISCOVERY_FEED_LOG_H_
#define DISCOVERY_FEED_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery_types.h"

namespace limpetrudder {

// What an instance knows of the store, with a bounded history, so that it can
// pass on what changed since a position. Heartbeats are no change. Not thread
// safe.
class FeedLog {
 public:
  // Changes that are kept; whoever missed more gets everything.
  static constexpr std::size_t kMaxChanges = 4096;

  // Everything that the store holds at `position`.
  void Reset(std::vector<RawItem> items, StorePosition position);

  // `item` is written; `changed`: it says more than the one before.
  void Add(const RawItem& item, bool changed);

  // Everything up to `position`, which is of the same era, is here.
  void Advance(StorePosition position);

  // Returns what was last written under `key`, or null.
  const std::string* Find(const std::string& key) const;

  // Returns what changed since `after`, or everything if that is too long ago
  // or of an earlier era.
  FeedReply Since(StorePosition after) const;

  // Whether Since(after) has any item.
  bool HasChangesSince(StorePosition after) const;

  StorePosition position() const { return position_; }

 private:
  std::map<std::string, RawItem> items_;
  std::deque<RawItem> changes_;
  std::uint64_t floor_ = 0;  // Changes of this era after it are kept.
  StorePosition position_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_FEED_LOG_H_
