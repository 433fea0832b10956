#ifndef APP_SETTINGS_H_
#define APP_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "framework/error.h"
#include "framework/logger.h"
#include "framework/time.h"
#include "membership/membership_types.h"

namespace limpetrudder {

// What one instance is told at its start. docs/OPERATIONS.md lists the fields.
struct Settings {
  std::string instance;
  std::string data_centre;
  std::string caller_address;  // "IP:PORT", as are the others.
  std::string operator_address;
  std::string peer_address;
  std::string platform_address;
  std::string operator_token_sha256;
  std::vector<MemberUpdate> seeds;  // Instances to ask besides the platform.
  Duration lame_duck{0};   // From the stop signal until callers are refused.
  Duration stop_bound{0};  // From then until work in flight is cut.
  LogLevel log_level = LogLevel::kInfo;
};

// Checks and reads settings. Thread safe. Errors: kField*.
CheckedResult<Settings> ReadSettings(const nlohmann::json& json);

// Adds a fault if the port of the address in `field` is out of range, which a
// schema can't check. Thread safe.
void CheckPort(const nlohmann::json& json,
               const std::string& field,
               std::vector<Error>* errors);

// Splits "IP:PORT". Precondition: `address` satisfies the settings' schema.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;
};
Endpoint SplitAddress(const std::string& address);

}  // namespace limpetrudder

#endif  // APP_SETTINGS_H_
