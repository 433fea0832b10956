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

// Keeps the store's items, except the routes, and a history of their changes
// that is bounded in number and size, from which other instances are sent the
// changes since a position. Heartbeats of servers don't count as changes. Not
// thread safe.
class FeedLog {
 public:
  // Number of changes that are kept; an instance that missed more is sent all
  // items.
  static constexpr std::size_t kMaxChanges = 4096;

  // `max_change_bytes` is the memory that the history may take.
  explicit FeedLog(std::size_t max_change_bytes)
      : max_change_bytes_(max_change_bytes) {}

  // Returns the memory that keeping `item` takes, in bytes.
  static std::size_t MemoryOf(const RawItem& item);

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

  // Returns the memory that the item of `key` takes, in bytes; 0 if it has no
  // value.
  std::size_t BytesOf(const std::string& key) const;

  // Returns the changes since `after`, or all items if the history doesn't
  // reach back to it or its era is an earlier one.
  FeedReply Since(StorePosition after) const;

  // Returns whether Since(after) has items to send.
  bool HasChangesSince(StorePosition after) const;

  StorePosition position() const { return position_; }

  // The memory that the items and the history take, in bytes.
  std::size_t item_bytes() const { return item_bytes_; }
  std::size_t change_bytes() const { return change_bytes_; }

 private:
  void Store(RawItem item);
  void Erase(const std::string& key);
  void DropOldestChange();

  const std::size_t max_change_bytes_;
  std::map<std::string, RawItem> items_;
  std::size_t item_bytes_ = 0;
  std::deque<RawItem> changes_;
  std::size_t change_bytes_ = 0;
  // The history has all changes of the current era after this revision.
  std::uint64_t floor_ = 0;
  StorePosition position_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_FEED_LOG_H_
