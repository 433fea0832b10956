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

// What one instance says or passes on about an instance. A higher incarnation
// overrides a lower one; at the same incarnation the graver state does.
struct MemberUpdate {
  std::string name;
  std::string data_centre;
  std::string peer_address;  // "IP:PORT".
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
};

// The hash of the members of one data centre, to compare tables cheaply.
struct TableHash {
  std::string data_centre;
  std::uint64_t hash = 0;
};

// A message between instances that keeps up the member table.
struct ProbeMessage {
  MemberUpdate from;
  std::vector<MemberUpdate> updates;
  std::vector<TableHash> hashes;  // Set when tables are to be compared.
  std::string indirect_address;   // Probe this address on the sender's behalf.
};

struct ProbeAnswer {
  std::vector<MemberUpdate> updates;
};

// What the membership asks its owner to do.
struct SendProbe {
  std::uint64_t probe = 0;
  std::string address;
  ProbeMessage message;
};

}  // namespace limpetrudder

#endif  // MEMBERSHIP_MEMBERSHIP_TYPES_H_
