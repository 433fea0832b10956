#ifndef ROUTING_ALLOWED_REGIONS_H_
#define ROUTING_ALLOWED_REGIONS_H_

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace limpetrudder {

// The regions in which a request may be served and to which its body may be
// sent. Any region by default. Concurrent calls of const methods are safe.
class AllowedRegions {
 public:
  AllowedRegions() = default;
  // Allows only `regions`; none at all if it is empty.
  explicit AllowedRegions(std::set<std::string> regions)
      : regions_(std::move(regions)) {}

  // Whether all regions are allowed.
  bool any() const { return !regions_; }

  // Whether no region is allowed.
  bool none() const { return regions_ && regions_->empty(); }

  bool Allows(const std::string& region) const {
    return any() || regions_->count(region) > 0;
  }

  // Returns the regions that both allow.
  AllowedRegions Intersect(const AllowedRegions& other) const {
    if (any())
      return other;
    if (other.any())
      return *this;
    std::set<std::string> both;
    std::set_intersection(regions_->begin(), regions_->end(),
                          other.regions_->begin(), other.regions_->end(),
                          std::inserter(both, both.begin()));
    return AllowedRegions(std::move(both));
  }

  // Returns the names of the allowed regions. Precondition: not any().
  const std::set<std::string>& names() const { return *regions_; }

  bool operator==(const AllowedRegions&) const = default;

 private:
  std::optional<std::set<std::string>> regions_;
};

}  // namespace limpetrudder

#endif  // ROUTING_ALLOWED_REGIONS_H_
