#ifndef FRAMEWORK_BOUNDED_RING_H_
#define FRAMEWORK_BOUNDED_RING_H_

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace limpetrudder {

// A bounded queue that joins two threads. A full ring refuses, it neither
// blocks nor drops. All methods are thread safe.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : capacity_(capacity) {
    items_.reserve(capacity);
  }

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Adds `item`, or returns false and leaves `item` as it is if the ring is
  // full. Sets `was_empty` so that the caller knows whether to wake the reader.
  bool TryPush(T&& item, bool* was_empty) {
    std::lock_guard lock(mutex_);
    if (items_.size() >= capacity_)
      return false;
    *was_empty = items_.empty();
    items_.push_back(std::move(item));
    return true;
  }

  // Adds `item` also to a full ring. Only for results of work that was
  // admitted: that work bounds them.
  void PushResult(T&& item, bool* was_empty) {
    std::lock_guard lock(mutex_);
    *was_empty = items_.empty();
    items_.push_back(std::move(item));
  }

  // Moves everything queued into `out`, which is cleared first.
  void Drain(std::vector<T>* out) {
    out->clear();
    std::lock_guard lock(mutex_);
    std::swap(items_, *out);
    if (items_.capacity() < capacity_)
      items_.reserve(capacity_);
  }

  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return items_.size();
  }

 private:
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::vector<T> items_;
};

}  // namespace limpetrudder

#endif  // FRAMEWORK_BOUNDED_RING_H_
