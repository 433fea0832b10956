#ifndef APP_INSTANCE_STATE_H_
#define APP_INSTANCE_STATE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "config/config_types.h"
#include "framework/metrics.h"
#include "framework/time.h"

namespace limpetrudder {

// The state that the threads of one instance share, besides the event queues
// between them. All members are thread safe.
class InstanceState {
 public:
  void SetConfig(std::shared_ptr<const ConfigInForce> config) {
    std::atomic_store(&config_, std::move(config));
  }
  // Returns the configuration in force, or null before the first.
  std::shared_ptr<const ConfigInForce> config() const {
    return std::atomic_load(&config_);
  }
  std::uint64_t revision() const {
    const auto current = config();
    return current ? current->revision : 0;
  }

  void SetJoined() { joined_ = true; }

  // Whether callers may be sent to this instance: a configuration is in force,
  // the fleet is known, and no stop has begun.
  bool ready() const { return joined_ && !stopping_ && config() != nullptr; }

  void BeginStop() { stopping_ = true; }
  bool stopping() const { return stopping_; }

  // Records that a peer confirmed the revision in force here as the latest that
  // it knows, in response to a request made at `requested`.
  void RecordConfirmation(Time requested) {
    confirmed_us_ = requested.time_since_epoch().count();
  }
  // The time of the request of the last recorded confirmation.
  Time confirmed() const { return Time(Duration(confirmed_us_.load())); }

  Metrics& metrics() { return metrics_; }

 private:
  std::shared_ptr<const ConfigInForce> config_;
  std::atomic<bool> joined_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<std::int64_t> confirmed_us_{0};
  Metrics metrics_;
};

}  // namespace limpetrudder

#endif  // APP_INSTANCE_STATE_H_
