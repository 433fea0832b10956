#ifndef DISPATCH_INTERNAL_TRIAL_OWNERS_H_
#define DISPATCH_INTERNAL_TRIAL_OWNERS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "discovery/discovery_types.h"

namespace limpetrudder::detail {

// Decides which instances may try a suspected request: the first ones in a
// rendezvous hash of it, which each instance computes from the live ones. The
// others forward it to the first owner, or to the next one if that is lost.
//
// A quarantine ends at the same moment everywhere, and a verdict takes a
// network time, so instances that each try the request for themselves crash as
// many servers. Owners know the results of their own trials, so instances that
// know of a suspicion make as many trials together as there are owners at most,
// even if no claim and no result reaches anybody.
//
// Not thread safe.
class TrialOwners {
 public:
  static constexpr std::size_t kOwners = 2;
  // The number of failed trials from which there is only one owner, and a
  // request waits for it if it is lost.
  static constexpr std::uint32_t kSingleOwnerAfter = 2;

  explicit TrialOwners(std::string own_name)
      : own_name_(std::move(own_name)), instances_{own_name_} {}

  // Sets the live instances. This one always counts as one of them.
  void SetInstances(const std::vector<InstanceEntry>& instances);

  // Returns the names of the owners of a request of which `failed_trials` are
  // known, the first one first. There is at least one.
  std::vector<std::string> OwnersOf(const std::string& digest,
                                    std::uint32_t failed_trials) const;

 private:
  const std::string own_name_;
  std::vector<std::string> instances_;  // Names.
};

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_TRIAL_OWNERS_H_
