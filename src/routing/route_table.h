#ifndef ROUTING_ROUTE_TABLE_H_
#define ROUTING_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "accounts/account_directory.h"
#include "framework/enum_names.h"
#include "framework/time.h"
#include "routing/allowed_regions.h"

namespace limpetrudder {

// Whether a request may run more than once.
enum class RequestKind { kIdempotent, kNonIdempotent };

inline constexpr EnumNames<RequestKind, 2> kRequestKindNames{{
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
}};

struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

// Where requests of one host and path prefix are sent. Either `backends` is
// set, and one server answers a request, or `shards`, and one server of each
// shard does.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kIdempotent;
  Duration timeout{0};             // The longest time that a caller waits.
  Duration latency_target{0};      // Answers within it have their full value.
  std::uint32_t priority = 0;      // 0 is the most urgent.
  std::uint32_t max_attempts = 1;  // Servers that may run it, for each shard.
  std::vector<WeightedService> backends;
  std::vector<std::string> shards;
  std::uint32_t top_records = 0;  // Records in a merged answer.
  double coverage_floor = 0;      // Smallest ratio of shards in an answer.
  AllowedRegions allowed_regions;
  bool is_public = false;  // Callers need no account.

  bool is_scatter() const { return !shards.empty(); }
};

struct TargetService {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  // To one server, from all clients.
  // Requests per second that a cold server tolerates; not set: any number.
  std::optional<double> warmup_rate;
};

// Bounds what a caller may send.
struct RequestLimits {
  std::uint64_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 256 << 10;
  Duration header_timeout = Seconds(10);
  Duration idle_timeout = Seconds(60);
};

// One version of the routes. Immutable. Thread safe.
class RouteTable {
 public:
  RouteTable(std::uint64_t version,
             std::vector<Route> routes,
             std::vector<TargetService> services,
             RequestLimits limits,
             AccountDirectory accounts = {});

  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // Returns the route of `host` with the longest prefix of `path`, or null.
  // Ignores a port after the host and the case of the host.
  const Route* Find(std::string_view host, std::string_view path) const;

  const TargetService* FindService(const std::string& name) const;

  std::uint64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const RequestLimits& limits() const { return limits_; }
  const AccountDirectory& accounts() const { return accounts_; }

 private:
  using ByPrefix = std::unordered_map<std::string, const Route*>;

  const std::uint64_t version_;
  const std::vector<Route> routes_;
  const RequestLimits limits_;
  const AccountDirectory accounts_;
  std::unordered_map<std::string, ByPrefix> hosts_;
  std::unordered_map<std::string, TargetService> services_;
};

}  // namespace limpetrudder

#endif  // ROUTING_ROUTE_TABLE_H_
