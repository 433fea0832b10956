#ifndef TESTING_HOSTILE_HOSTILE_CASE_H_
#define TESTING_HOSTILE_HOSTILE_CASE_H_

#include <string>

#include "framework/enum_names.h"
#include "testing/hostile/hostile_client.h"

namespace limpetrudder::testbed {

// What the clients of a crowd do.
enum class HostileCase {
  kLargeChunks,       // A chunked body in large chunks, short of its limit.
  kTinyChunks,        // A chunked body in chunks of one byte, without an end.
  kAnnouncedBodies,   // Announce a body far over the limit and send it.
  kSentBodies,        // Send a chunked body far over the limit.
  kWholeBodies,       // Send complete requests of the largest size at once.
  kLargeHeads,        // A complete head over the limit.
  kEndlessLine,       // A request line without an end.
  kEndlessHeader,     // One header without an end.
  kEndlessHeaders,    // Headers without an end.
  kEmptyLines,        // Empty lines without an end before a request.
  kUnreadResponses,   // Requests without an end, whose responses aren't read.
  kIdleConnections,   // Connections left idle for longer than allowed.
  kIdleDescriptors,   // More idle connections than there are descriptors.
  kHeadsDescriptors,  // More unfinished heads than there are descriptors.
};

inline constexpr EnumNames<HostileCase, 14> kHostileCaseNames{{
    {HostileCase::kLargeChunks, "large_chunks"},
    {HostileCase::kTinyChunks, "tiny_chunks"},
    {HostileCase::kAnnouncedBodies, "announced_bodies"},
    {HostileCase::kSentBodies, "sent_bodies"},
    {HostileCase::kWholeBodies, "whole_bodies"},
    {HostileCase::kLargeHeads, "large_heads"},
    {HostileCase::kEndlessLine, "endless_line"},
    {HostileCase::kEndlessHeader, "endless_header"},
    {HostileCase::kEndlessHeaders, "endless_headers"},
    {HostileCase::kEmptyLines, "empty_lines"},
    {HostileCase::kUnreadResponses, "unread_responses"},
    {HostileCase::kIdleConnections, "idle_connections"},
    {HostileCase::kIdleDescriptors, "idle_descriptors"},
    {HostileCase::kHeadsDescriptors, "heads_descriptors"},
}};

// The settings of a case: its crowd, the limits that the process runs under and
// the bounds that follow from these.
struct HostileSetup {
  int clients = 0;
  ClientScript script;
  bool reads_responses = true;
  double memory_mb = 0;
  // Limit on open descriptors, and how many of them must stay free.
  std::uint64_t max_descriptors = 0;
  std::uint64_t free_descriptors = 0;
  int idle_timeout_ms = 0;
  int header_timeout_ms = 0;
  // Whether the crowd's connections are all closed once they have been idle.
  bool expects_idle_closes = false;
};

inline constexpr int kHostileMaxBodyBytes = 1 << 20;
inline constexpr int kHostileMaxHeaderBytes = 16 << 10;
inline constexpr char kHostileHost[] = "hostile.example";

HostileSetup SetupOf(HostileCase which);

}  // namespace limpetrudder::testbed

#endif  // TESTING_HOSTILE_HOSTILE_CASE_H_
