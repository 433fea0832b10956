#ifndef MEMBERSHIP_INTERNAL_MEMBER_INDEX_H_
#define MEMBERSHIP_INTERNAL_MEMBER_INDEX_H_

#include <map>
#include <string>
#include <vector>

#include "membership/membership_types.h"

namespace limpetrudder::detail {

// Live members, relays and table hashes of each data centre. Computed once for
// each state of the member table, since every turn reads them. Not thread safe.
class MemberIndex {
 public:
  struct DataCentre {
    std::vector<std::string> live;    // Names, in the order of Add().
    std::vector<std::string> relays;  // Names, best first.
    std::uint64_t hash = 0;           // Of the live members.
  };

  void Add(const MemberUpdate& member);

  // Chooses the relays. Call it after the last Add().
  void Finish();

  const std::map<std::string, DataCentre, std::less<>>& data_centres() const {
    return data_centres_;
  }

  // Returns an entry without members if the data centre isn't known.
  const DataCentre& Find(std::string_view data_centre) const;

 private:
  std::map<std::string, DataCentre, std::less<>> data_centres_;
};

}  // namespace limpetrudder::detail

#endif  // MEMBERSHIP_INTERNAL_MEMBER_INDEX_H_
