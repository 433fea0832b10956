#include "routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace limpetrudder {
namespace {

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

RouteTable::RouteTable(std::uint64_t version,
                       std::vector<Route> routes,
                       std::vector<TargetService> services,
                       RequestLimits limits,
                       AccountDirectory accounts)
    : version_(version),
      routes_(std::move(routes)),
      limits_(limits),
      accounts_(std::move(accounts)) {
  for (const Route& route : routes_)
    hosts_[NormalizeHost(route.host)][route.prefix] = &route;
  for (auto& service : services) {
    const std::string name = service.name;
    services_[name] = std::move(service);
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = hosts_.find(NormalizeHost(host));
  if (found == hosts_.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/')) {
    const auto match =
        found->second.find(std::string(path.substr(0, slash + 1)));
    if (match != found->second.end())
      return match->second;
    path = path.substr(0, slash);
  }
  return nullptr;
}

const TargetService* RouteTable::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace limpetrudder
