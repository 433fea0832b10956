#ifndef FRAMEWORK_BOUNDED_QUEUE_H_
#define FRAMEWORK_BOUNDED_QUEUE_H_

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace limpetrudder {

// A bounded queue between two threads. When it is full, TryPush() fails; it
// neither blocks nor drops items. All methods are thread safe.
template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : capacity_(capacity) {
    items_.reserve(capacity);
  }

  BoundedQueue(const BoundedQueue&) = delete;
  BoundedQueue& operator=(const BoundedQueue&) = delete;

  // Adds `item`, or returns false and leaves `item` unchanged if the queue is
  // full. Sets `was_empty` so that the caller knows whether to wake the reader.
  bool TryPush(T&& item, bool* was_empty) {
    std::lock_guard lock(mutex_);
    if (items_.size() >= capacity_)
      return false;
    *was_empty = items_.empty();
    items_.push_back(std::move(item));
    return true;
  }

  // Adds `item` even if the queue is full. Only for results of work that was
  // admitted: the number of results is bounded by the admitted work.
  void PushResult(T&& item, bool* was_empty) {
    std::lock_guard lock(mutex_);
    *was_empty = items_.empty();
    items_.push_back(std::move(item));
  }

  // Moves all queued items into `out`, which is cleared first.
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

#endif  // FRAMEWORK_BOUNDED_QUEUE_H_
