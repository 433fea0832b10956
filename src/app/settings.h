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

// The settings of one instance, read at its start. docs/OPERATIONS.md describes
// the fields.
struct Settings {
  std::string instance;
  std::string data_centre;
  std::string caller_address;  // "IP:PORT", as are the others.
  std::string operator_address;
  std::string peer_address;
  std::string platform_address;
  std::string operator_token_sha256;
  // Instances to contact besides the platform.
  std::vector<MemberUpdate> seeds;
  Duration lame_duck{0};   // From the stop signal until callers are refused.
  Duration stop_bound{0};  // From then until requests in flight are cut off.
  LogLevel log_level = LogLevel::kInfo;
};

// Validates and parses settings. Thread safe. Errors: kField*.
CheckedResult<Settings> ReadSettings(const nlohmann::json& json);

// Adds a kFieldOutOfRange error if the port of the address in `field` is out of
// range, which the schema can't check. Precondition: the field satisfies the
// schema. Thread safe.
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
