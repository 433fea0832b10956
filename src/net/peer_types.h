#ifndef NET_PEER_TYPES_H_
#define NET_PEER_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/manifest.h"
#include "membership/membership_types.h"
#include "once/once_types.h"
#include "query/query_types.h"

namespace limpetrudder {

// Messages between instances. `revision` is the configuration revision in force
// at the sender.

struct PeerSearch {
  SearchRequest request;
  std::uint64_t revision = 0;
};

// The response for the caller, as written by the coordinator.
struct PeerSearchReply {
  int http_status = 0;
  std::string body;
  bool not_run = false;
  std::uint64_t revision = 0;
};

struct PeerShardsReply {
  std::vector<ShardAnswer> answers;
  std::uint64_t revision = 0;
};

enum class WriteAction { kRun, kOutcome, kCancel, kIssueKey };

struct PeerWrite {
  WriteAction action = WriteAction::kRun;
  WriteRequest request;
  std::uint64_t revision = 0;
};

struct PeerWriteReply {
  WriteOutcome outcome;  // For kIssueKey, its message is the issued key.
  std::uint64_t revision = 0;
};

struct PeerProbe {
  ProbeMessage message;
  std::uint64_t revision = 0;
  // Set by a relay: the servers that the platform lists as leaving.
  std::optional<std::vector<std::string>> leaving;
};

struct PeerProbeReply {
  ProbeResponse answer;
  std::uint64_t revision = 0;
  bool reached = true;  // For an indirect probe: whether its target replied.
};

struct PeerPull {
  std::vector<std::string> parts;  // If empty, only the manifest is requested.
};

struct PeerPullReply {
  Manifest manifest;
  PartTexts parts;
};

}  // namespace limpetrudder

#endif  // NET_PEER_TYPES_H_
