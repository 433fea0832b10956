#ifndef MEMBERSHIP_INTERNAL_MEMBER_INDEX_H_
#define MEMBERSHIP_INTERNAL_MEMBER_INDEX_H_

#include <map>
#include <string>
#include <vector>

#include "membership/membership_types.h"

namespace limpetrudder::detail {

// What is read off the member table at every turn, worked out once for each
// state of the table. Not thread safe.
class MemberIndex {
 public:
  struct DataCentre {
    std::vector<std::string> live;    // Names, in order.
    std::vector<std::string> relays;  // Names, best first.
    std::uint64_t hash = 0;           // Of the live members.
  };

  void Add(const MemberUpdate& member);

  // Chooses the relays; call after the last Add().
  void Finish();

  const std::map<std::string, DataCentre, std::less<>>& data_centres() const {
    return data_centres_;
  }

  // Returns an entry without members if the data centre isn't known.
  const DataCentre& of(std::string_view data_centre) const;

 private:
  std::map<std::string, DataCentre, std::less<>> data_centres_;
};

}  // namespace limpetrudder::detail

#endif  // MEMBERSHIP_INTERNAL_MEMBER_INDEX_H_
