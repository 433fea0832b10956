#ifndef DISCOVERY_REFUSED_ITEMS_H_
#define DISCOVERY_REFUSED_ITEMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "framework/time.h"

namespace limpetrudder {

// The store's items whose values can't be used: their keys and the digests of
// their values. Tells whether an item that is written again and again is to be
// reported once more. Holds no clock. Not thread safe.
class RefusedItems {
 public:
  // How long an item isn't reported again, whatever its value.
  static constexpr Duration kReportInterval = Seconds(60);

  explicit RefusedItems(std::size_t max_items) : max_items_(max_items) {}

  // Takes an item whose value can't be used; `digest` is that of its value.
  // Returns whether to report it. While `max_items` others are known and were
  // reported lately, it is neither remembered nor reported.
  bool Add(const std::string& key, std::uint64_t digest, Time now);

  // The item can be used, or is gone.
  void Remove(const std::string& key) { rows_.erase(key); }

  std::size_t size() const { return rows_.size(); }

 private:
  struct Row {
    std::uint64_t digest = 0;
    Time reported{};
  };

  // Makes room for another item. Returns false if all were reported lately.
  bool EvictOldest(Time now);

  const std::size_t max_items_;
  std::map<std::string, Row> rows_;
};

}  // namespace limpetrudder

#endif  // DISCOVERY_REFUSED_ITEMS_H_
