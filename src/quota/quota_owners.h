#ifndef QUOTA_QUOTA_OWNERS_H_
#define QUOTA_QUOTA_OWNERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "framework/time.h"
#include "quota/quota_types.h"

namespace limpetrudder {

// Decides which instance owns which share of an account: in each data centre
// one of the largest instances, by rendezvous hashing. Instances of other sizes
// come and go without moving a share. Not thread safe.
class QuotaOwners {
 public:
  // `own` is this instance; `regions` gives the region of each data centre. The
  // number of shares is that of the data centres, which all instances know.
  QuotaOwners(QuotaMember own, std::map<std::string, std::string> regions);

  // Replaces the live instances. This one owns nothing while others are listed
  // and it isn't, since they take it for gone.
  void SetMembers(const std::vector<QuotaMember>& members, Time now);

  // Returns the owner of `data_centre`'s share, or null if it has no instance.
  const QuotaMember* OwnerIn(const std::string& data_centre,
                             const std::string& account) const;

  // Returns the owners of all shares, the nearest first: of this data centre,
  // its region, the others.
  std::vector<const QuotaMember*> Owners(const std::string& account) const;

  // An instance didn't answer. It is asked last for a while, which is longer
  // the next time.
  void OnSilent(const std::string& name, Time now);
  void OnAnswered(const std::string& name) { silences_.erase(name); }
  bool IsSilent(const std::string& name, Time now) const;

  // Whether this instance owns its data centre's share.
  bool IsOwner(const std::string& account) const {
    const QuotaMember* owner = OwnerIn(own_.data_centre, account);
    return owner != nullptr && owner->name == own_.name;
  }

  // Instances that could own shares of this data centre and are gone from the
  // list of members.
  const std::vector<QuotaMember>& former() const { return former_; }
  void ForgetFormer(const std::string& name);

  bool is_own(const QuotaMember& member) const {
    return member.name == own_.name;
  }
  std::size_t shares() const { return data_centres_.size(); }
  // Whether there are other live instances.
  bool has_others() const { return has_others_; }
  // Whether this instance was listed with others from the beginning: it follows
  // an earlier process of its own, and its list is complete.
  bool continues() const { return continues_; }
  // Counts the changes of those that may own this data centre's share, and when
  // the last one was; 0 until the first members are set.
  std::uint64_t epoch() const { return epoch_; }
  Time changed_at() const { return changed_at_; }
  // When the first members were set.
  Time began_at() const { return began_at_; }

 private:
  struct Silence {
    Time until{};
    Duration time{0};
  };

  const QuotaMember own_;
  // This one first, then those of its region.
  std::vector<std::string> data_centres_;
  // By data centre: those that may own a share.
  std::map<std::string, std::vector<QuotaMember>> candidates_;
  std::vector<QuotaMember> former_;
  std::map<std::string, Silence> silences_;  // By instance name.
  bool has_others_ = false;
  bool continues_ = false;
  std::uint64_t epoch_ = 0;
  Time changed_at_{};
  Time began_at_{};
};

}  // namespace limpetrudder

#endif  // QUOTA_QUOTA_OWNERS_H_
