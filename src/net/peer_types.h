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

// Messages between instances. Each carries the revision in force at its sender.

struct PeerSearch {
  SearchRequest request;
  std::uint64_t revision = 0;
};

// The caller's answer as the home wrote it.
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
  WriteOutcome outcome;  // For kIssueKey: the key is the message.
  std::uint64_t revision = 0;
};

struct PeerProbe {
  ProbeMessage message;
  std::uint64_t revision = 0;
  // From a relay: the servers that the platform lists as leaving.
  std::optional<std::vector<std::string>> leaving;
};

struct PeerProbeReply {
  ProbeResponse answer;
  std::uint64_t revision = 0;
  bool reached = true;  // For an indirect probe.
};

struct PeerPull {
  std::vector<std::string> parts;  // Empty: the manifest only.
};

struct PeerPullReply {
  Manifest manifest;
  PartTexts parts;
};

}  // namespace limpetrudder

#endif  // NET_PEER_TYPES_H_
