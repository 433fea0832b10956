#ifndef ACCOUNTS_CLIENT_ACCOUNT_H_
#define ACCOUNTS_CLIENT_ACCOUNT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "routing/allowed_regions.h"

namespace limpetrudder {

// Who calls, and what the operator grants it.
struct ClientAccount {
  std::string name;  // Not empty; may be sent as the value of a header.
  // Precedes the priority of the route; 0 is the most urgent. Not set: the
  // route's holds.
  std::optional<std::uint32_t> priority;
  double rate_per_second = 0;  // Calls, at all instances together; 0: no limit.
  double burst = 0;            // Calls that it may make beyond the rate.
  AllowedRegions allowed_regions;  // Bind beside those of the route.
};

}  // namespace limpetrudder

#endif  // ACCOUNTS_CLIENT_ACCOUNT_H_
