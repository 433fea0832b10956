#ifndef APP_ENTRY_SETTINGS_H_
#define APP_ENTRY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "dispatch/dispatch_types.h"
#include "framework/error.h"
#include "framework/logger.h"
#include "framework/time.h"
#include "limits/retry_budget.h"

namespace limpetrudder {

// The settings of an entry instance, read at its start and at a reload.
// docs/OPERATIONS.md describes the fields.
struct EntrySettings {
  std::string instance;
  std::string data_centre;
  std::map<std::string, std::string> regions;  // By data centre.
  std::string caller_address;                  // "IP:PORT", as are the others.
  std::string ready_address;
  std::string peer_address;  // For other instances and for metrics.
  std::string store_address;
  double cores = 1;        // Processor cores, may be a fraction.
  double link_mbps = 100;  // Bandwidth of its network link, in Mbit/s.
  // The memory limit of the process, in MiB; the platform ends a process that
  // exceeds it.
  double memory_mb = 256;
  // The limit on open descriptors of the process.
  std::uint32_t max_descriptors = 4096;
  RetryBudgetSettings retry_budget;
  WarmupBounds warmup;
  // Not set: the limits of client accounts aren't applied.
  std::optional<QuotaBounds> quota;
  // Set if calls of accounts are refused once the instance has had no news of
  // the configuration for this long.
  std::optional<Duration> key_confirmation_bound;
  Duration stop_bound{0};  // From the stop signal to the exit.
  LogLevel log_level = LogLevel::kInfo;
};

// Validates and parses settings. Thread safe. Errors: kField*.
CheckedResult<EntrySettings> ReadEntrySettings(const nlohmann::json& json);

}  // namespace limpetrudder

#endif  // APP_ENTRY_SETTINGS_H_
