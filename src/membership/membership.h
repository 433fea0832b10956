#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/random.h"
#include "framework/time.h"
#include "membership/internal/member_index.h"
#include "membership/internal/update_queue.h"
#include "membership/membership_types.h"
#include "routing/coordinator_plan.h"

namespace limpetrudder {

struct MembershipSettings {
  std::string name;
  std::string data_centre;
  std::string peer_address;
  std::uint64_t incarnation = 0;  // Must grow with each start of the instance.
  std::uint64_t seed = 0;
};

// Keeps the table of the fleet's instances without the platform. Instances of a
// data centre probe each other, directly and through others; one that doesn't
// answer is suspected, and counts as dead if it doesn't refute that in time. Of
// other data centres an instance hears through the relays, two instances per
// data centre that everyone computes alike. Views may differ for seconds; that
// costs efficiency, never correctness.
//
// Holds no clock and does no I/O. Not thread safe.
class Membership {
 public:
  explicit Membership(MembershipSettings settings);

  // Adds instances from the settings or from the platform's list. Known
  // instances keep their state, since the list lags.
  void OnSeeds(const std::vector<MemberUpdate>& seeds, Time now);

  // A peer sent a probe; returns what to answer. A probe with indirect_address
  // is for the owner to pass on.
  ProbeAnswer OnProbe(const ProbeMessage& message, Time now);

  // A probe that was sent was answered, or not.
  void OnProbeAnswer(std::uint64_t probe, const ProbeAnswer& answer, Time now);
  void OnProbeFailed(std::uint64_t probe, Time now);

  // Tells the others that this instance leaves; returns the last messages.
  std::vector<SendProbe> Leave(Time now);

  // Carries out what is due and returns when to be called next.
  Time Turn(Time now);
  std::vector<SendProbe> TakeProbes();

  // Whether the table was compared with another instance's since the start, or
  // nobody answered for a few rounds. Until then much of the fleet may be
  // missing from it.
  bool joined() const { return joined_; }

  // Whether the set returned by Live() changed since the last call.
  bool TakeChanged();

  // The instances that count as live, this one included.
  std::vector<Instance> Live() const;

  // The relays of `data_centre`, best first.
  const std::vector<std::string>& RelaysOf(std::string_view data_centre) const;
  bool IsRelay() const;

  // Peer addresses of the live instances of this data centre, without this one.
  std::vector<std::string> LocalPeers() const;

  // The peer address of one relay for each other data centre.
  std::vector<std::string> RemoteRelays() const;

  std::vector<MemberUpdate> Table() const;
  std::uint64_t incarnation() const { return self_.incarnation; }

 private:
  struct Member {
    MemberUpdate info;
    Time suspect_since{};
    Time dead_since{};
  };

  struct PendingProbe {
    std::string name;  // Empty for a relay of another data centre.
    bool indirect = false;
    std::uint64_t round = 0;
  };

  void Apply(const MemberUpdate& update, Time now);
  void Refute(std::uint64_t incarnation);
  void Suspect(const std::string& name, Time now);
  void ProbeNextMember(Time now);
  void ProbeRemoteRelay(Time now);

  // Tries one instance that was lost: after a cut in which both sides declared
  // each other dead nobody else would.
  void ProbeLostContact();
  void RememberContact(const MemberUpdate& update);
  void ExpireSuspects(Time now);
  void SendIndirectProbes(const std::string& name);
  ProbeMessage MakeMessage();
  std::vector<TableHash> TableHashes() const;
  void AppendMembersOf(std::string_view data_centre,
                       std::vector<MemberUpdate>* out) const;
  const detail::MemberIndex& index() const;

  MemberUpdate self_;
  Random random_;
  std::map<std::string, Member> members_;  // Without this instance.
  // Peer addresses of instances once seen alive, by data centre and name.
  std::map<std::string, std::map<std::string, std::string>> contacts_;
  // Worked out when it is asked for after a change.
  mutable std::optional<detail::MemberIndex> index_;
  detail::UpdateQueue updates_;
  std::map<std::uint64_t, PendingProbe> pending_;
  std::map<std::string, int> indirect_left_;  // Indirect probes that are out.
  std::vector<std::string> probe_order_;
  std::vector<SendProbe> probes_;
  std::uint64_t next_probe_ = 1;
  std::uint64_t round_ = 0;
  Time next_round_{};
  bool changed_ = true;
  bool joined_ = false;
};

}  // namespace limpetrudder

#endif  // MEMBERSHIP_MEMBERSHIP_H_
