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

// Keeps the store's items, except the routes, and a bounded history of their
// changes, from which other instances are sent the changes since a position.
// Heartbeats of servers don't count as changes. Not thread safe.
class FeedLog {
 public:
  // Number of changes that are kept; an instance that missed more is sent all
  // items.
  static constexpr std::size_t kMaxChanges = 4096;

  // Replaces all items by those of the store at `position` and clears the
  // history.
  void Reset(std::vector<RawItem> items, StorePosition position);

  // Stores `item`, or erases it if it has no value. `changed` tells whether it
  // enters the history of changes.
  void Add(const RawItem& item, bool changed);

  // Records that all changes up to `position` were added. Precondition:
  // `position` has the same era as position().
  void Advance(StorePosition position);

  // Returns the value of `key`, or null if it has none.
  const std::string* Find(const std::string& key) const;

  // Returns the changes since `after`, or all items if the history doesn't
  // reach back to it or its era is an earlier one.
  FeedReply Since(StorePosition after) const;

  // Returns whether Since(after) has items to send.
  bool HasChangesSince(StorePosition after) const;

  StorePosition position() const { return position_; }

 private:
  std::map<std::string, RawItem> items_;
  std::deque<RawItem> changes_;
  // The history has all changes of the current era after this revision.
  std::uint64_t floor_ = 0;
  StorePosition position_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_FEED_LOG_H_
