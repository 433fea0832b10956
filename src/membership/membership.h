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
  std::uint64_t incarnation = 0;  // Must increase with each start.
  std::uint64_t seed = 0;
};

// Maintains the table of the fleet's instances without the platform, by a
// gossip protocol like SWIM. Instances of a data centre probe each other,
// directly and through others. One that doesn't respond is suspected, and
// counts as dead if it doesn't refute the suspicion in time. Data centres
// exchange their tables through relays, two instances of each data centre that
// all instances choose alike. Views may differ for seconds, which costs
// efficiency but never correctness.
//
// Reads no clock and does no I/O. Not thread safe.
class Membership {
 public:
  explicit Membership(MembershipSettings settings);

  // Adds instances from the settings or from the platform's list. Known
  // instances keep their state unless the list says that they left, since the
  // list lags.
  void OnSeeds(const std::vector<MemberUpdate>& seeds, Time now);

  // Handles a probe of a peer and returns the response. The owner forwards a
  // probe with an indirect_address.
  ProbeResponse OnProbe(const ProbeMessage& message, Time now);

  // A probe that this instance sent got a response, or none.
  void OnProbeResponse(std::uint64_t probe,
                       const ProbeResponse& response,
                       Time now);
  void OnProbeFailed(std::uint64_t probe, Time now);

  // Marks this instance as leaving. Returns the messages that announce it.
  std::vector<SendProbe> Leave(Time now);

  // Runs the protocol rounds that are due. Returns when to call it next.
  Time Tick(Time now);
  std::vector<SendProbe> TakeProbes();

  // Whether the table was compared with another instance's since the start, or
  // no instance responded for a few rounds. Until then much of the fleet may be
  // missing from the table.
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

  // Probes one instance that was lost: after a network partition in which both
  // sides declared each other dead, no other instance would probe it.
  void ProbeLostContact();
  void RecordContact(const MemberUpdate& update);
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
  // Peer addresses of instances that were seen alive, by data centre and name.
  std::map<std::string, std::map<std::string, std::string>> contacts_;
  // Computed when it is used after a change of the table.
  mutable std::optional<detail::MemberIndex> index_;
  detail::UpdateQueue updates_;
  std::map<std::uint64_t, PendingProbe> pending_;
  std::map<std::string, int> indirect_pending_;  // Indirect probes in flight.
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
