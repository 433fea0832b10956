#ifndef FRAMEWORK_DUTY_THREAD_H_
#define FRAMEWORK_DUTY_THREAD_H_

#include <atomic>
#include <concepts>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include <asio.hpp>

#include "framework/bounded_queue.h"
#include "framework/clock.h"
#include "framework/time.h"

namespace limpetrudder {

// The handler of a duty's events. Handle() processes one event. Tick() runs
// when the queue is empty or the timer fires, and returns when to be called
// next.
template <typename H, typename Event>
concept DutyHandler = requires(H handler, Event event, Time now) {
  handler.Handle(std::move(event), now);
  { handler.Tick(now) } -> std::convertible_to<Time>;
};

// A thread with one duty, which receives events through a bounded queue.
// `Handler` runs on that thread only.
template <typename Event, typename Handler>
class DutyThread {
 public:
  // `handler` must outlive this object.
  DutyThread(std::size_t capacity, Handler* handler)
      : queue_(capacity), handler_(handler), timer_(context_) {}
  ~DutyThread() { Stop(); }

  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  // Starts the thread. Call once.
  void Start() {
    // Checked here, because a handler names its DutyThread type while the
    // handler itself is still incomplete.
    static_assert(DutyHandler<Handler, Event>);
    thread_ = std::thread([this] {
      asio::post(context_, [this] { Drain(); });
      auto work = asio::make_work_guard(context_);
      context_.run();
    });
  }

  // Returns the event loop of the thread, for sockets and timers of the duty.
  asio::io_context* context() { return &context_; }

  // Ends the thread; queued events are not handled. Idempotent. Must not be
  // called from the duty's own thread.
  void Stop() {
    context_.stop();
    if (thread_.joinable())
      thread_.join();
  }

  // Queues `event`, or returns false if the queue is full. `event` is consumed
  // in either case, so a caller that must reply when the queue is full has to
  // keep what the reply needs. Thread safe.
  bool Post(Event event) {
    bool was_empty = false;
    if (!queue_.TryPush(std::move(event), &was_empty))
      return false;
    if (was_empty)
      asio::post(context_, [this] { Drain(); });
    return true;
  }

  // Queues the result of work that was admitted before, even if the queue is
  // full. Thread safe.
  void PostResult(Event event) {
    bool was_empty = false;
    queue_.PushResult(std::move(event), &was_empty);
    if (was_empty)
      asio::post(context_, [this] { Drain(); });
  }

 private:
  void Drain() {
    queue_.Drain(&batch_);
    for (auto& event : batch_)
      handler_->Handle(std::move(event), SteadyNow());
    Tick();
  }

  void Tick() {
    const Time next = handler_->Tick(SteadyNow());
    if (next == kNever) {
      timer_.cancel();
      return;
    }
    timer_.expires_at(next);
    timer_.async_wait([this](const asio::error_code& error) {
      if (!error)
        Tick();
    });
  }

  BoundedQueue<Event> queue_;
  std::vector<Event> batch_;
  Handler* const handler_;
  asio::io_context context_{1};
  asio::steady_timer timer_;
  std::thread thread_;
};

}  // namespace limpetrudder

#endif  // FRAMEWORK_DUTY_THREAD_H_
