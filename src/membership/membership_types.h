#ifndef MEMBERSHIP_MEMBERSHIP_TYPES_H_
#define MEMBERSHIP_MEMBERSHIP_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "framework/enum_names.h"

namespace limpetrudder {

enum class MemberState { kAlive, kSuspect, kDead, kLeft };

inline constexpr EnumNames<MemberState, 4> kMemberStateNames{{
    {MemberState::kAlive, "alive"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kDead, "dead"},
    {MemberState::kLeft, "left"},
}};

// A suspect counts as live until it is declared dead.
constexpr bool CountsAsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

// The state of one instance as another one reports or forwards it. A higher
// incarnation overrides a lower one. At the same incarnation the more severe
// state does, in the order of MemberState.
struct MemberUpdate {
  std::string name;
  std::string data_centre;
  std::string peer_address;  // "IP:PORT".
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
};

// The hash of the members of one data centre, to compare tables without sending
// them.
struct TableHash {
  std::string data_centre;
  std::uint64_t hash = 0;
};

// A message between instances that keeps their member tables up to date.
struct ProbeMessage {
  MemberUpdate from;
  std::vector<MemberUpdate> updates;
  std::vector<TableHash> hashes;  // Set when tables are to be compared.
  std::string indirect_address;   // To be probed on the sender's behalf.
};

struct ProbeResponse {
  std::vector<MemberUpdate> updates;
};

// A probe that the owner of the membership has to send.
struct SendProbe {
  std::uint64_t probe = 0;
  std::string address;
  ProbeMessage message;
};

}  // namespace limpetrudder

#endif  // MEMBERSHIP_MEMBERSHIP_TYPES_H_
