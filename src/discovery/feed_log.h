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
// pass on what changed since a revision. Heartbeats are no change. Not thread
// safe.
class FeedLog {
 public:
  // Changes that are kept; whoever missed more gets everything.
  static constexpr std::size_t kMostChanges = 4096;

  // Everything that the store holds at `revision`.
  void Reset(const std::vector<RawItem>& items, std::uint64_t revision);

  // `item` is written; `changed`: it says more than the one before.
  void Add(const RawItem& item, bool changed);

  // Everything up to `revision` is here.
  void Advance(std::uint64_t revision);

  // Returns what was last written under `key`, or null.
  const std::string* Find(const std::string& key) const;

  // Returns what changed since `after`, or everything if that is too long ago.
  FeedReply Since(std::uint64_t after) const;

  // Whether Since(after) has any item.
  bool HasNewsSince(std::uint64_t after) const;

  std::uint64_t revision() const { return revision_; }

 private:
  std::map<std::string, RawItem> items_;
  std::deque<RawItem> changes_;
  std::uint64_t floor_ = 0;  // Changes after it are kept.
  std::uint64_t revision_ = 0;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_FEED_LOG_H_
