#ifndef APP_ENTRY_SETTINGS_H_
#define APP_ENTRY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "framework/error.h"
#include "framework/logger.h"
#include "framework/time.h"
#include "limits/retry_budget.h"

namespace limpetrudder {

// What an entry instance is told at its start and at a reload.
// docs/OPERATIONS.md lists the fields.
struct EntrySettings {
  std::string instance;
  std::string data_centre;
  std::map<std::string, std::string> regions;  // By data centre.
  std::string caller_address;                  // "IP:PORT", as are the others.
  std::string ready_address;
  std::string peer_address;  // Other instances and metrics.
  std::string store_address;
  double cores = 1;        // This instance's share of a processor.
  double link_mbps = 100;  // Of its link, in Mbit/s.
  // What the process may take; beyond it the platform ends it.
  double memory_mb = 256;
  RetryBudgetSettings retry_budget;
  Duration stop_bound{0};  // From the stop signal to the exit.
  LogLevel log_level = LogLevel::kInfo;
};

// Checks and reads settings. Thread safe. Errors: kField*.
CheckedResult<EntrySettings> ReadEntrySettings(const nlohmann::json& json);

}  // namespace limpetrudder

#endif  // APP_ENTRY_SETTINGS_H_
