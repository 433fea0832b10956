#ifndef APP_ENTRY_STATE_H_
#define APP_ENTRY_STATE_H_

#include <atomic>
#include <cstddef>

#include "framework/metrics.h"

namespace limpetrudder {

// The state that the threads of an entry instance share, besides the event
// queues between them. All members are thread safe.
class EntryState {
 public:
  void SetRoutesKnown() { routes_known_ = true; }
  void SetServersKnown() { servers_known_ = true; }
  void BeginStop() { stopping_ = true; }

  // Whether the load balancer may send callers to this instance.
  bool ready() const { return routes_known_ && servers_known_ && !stopping_; }
  bool stopping() const { return stopping_; }

  // Calls without a final answer.
  std::atomic<std::size_t> active_calls{0};

  Metrics& metrics() { return metrics_; }

 private:
  std::atomic<bool> routes_known_{false};
  std::atomic<bool> servers_known_{false};
  std::atomic<bool> stopping_{false};
  Metrics metrics_;
};

}  // namespace limpetrudder

#endif  // APP_ENTRY_STATE_H_
