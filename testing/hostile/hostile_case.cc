#include "testing/hostile/hostile_case.h"

#include <cstdio>
#include <utility>

namespace limpetrudder::testbed {
namespace {

constexpr int kCrowd = 200;
constexpr int kDescriptorCrowd = 600;
constexpr double kMemoryMb = 96;
constexpr std::uint64_t kMaxDescriptors = 400;

constexpr int kBlockBytes = 16 << 10;
constexpr int kLargeChunkBlocks = kHostileMaxBodyBytes / kBlockBytes;
constexpr int kTinyChunks = 60000;
constexpr int kTinyChunksPerStep = 1000;
// What is sent in place of something without an end: four times the limit.
constexpr int kEndlessBodyBlocks = 4 * kLargeChunkBlocks;
constexpr int kEndlessHeadBlocks = 4 * kHostileMaxHeaderBytes / kBlockBytes;
constexpr int kEmptyLineBlocks = 16;
constexpr int kUnreadRequestSteps = 40;
constexpr int kRequestsPerStep = 50;

std::string Head(const std::string& method, const std::string& fields) {
  return method + " /echo/x HTTP/1.1\r\nHost: " + kHostileHost +
         "\r\nRequest-Id: hostile\r\nTimeout-Ms: 5000\r\n" + fields;
}

std::string ChunkedHead() {
  return Head("POST", "Transfer-Encoding: chunked\r\n\r\n");
}

std::string SizedHead(int bytes) {
  return Head("POST", "Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
}

std::string Block() {
  return std::string(kBlockBytes, 'x');
}

std::string Chunk() {
  char size[16];
  std::snprintf(size, sizeof(size), "%x\r\n", kBlockBytes);
  return size + Block() + "\r\n";
}

std::string Repeat(const std::string& text, int times) {
  std::string repeated;
  for (int i = 0; i < times; ++i)
    repeated += text;
  return repeated;
}

// Sends `first` at step 0 and `next` at `count` steps after it.
ClientScript Script(std::string first, std::string next, int count) {
  return [first = std::move(first), next = std::move(next), count](int step) {
    if (step == 0)
      return first;
    return step <= count ? next : std::string();
  };
}

ClientScript ScriptOf(HostileCase which) {
  switch (which) {
    case HostileCase::kLargeChunks:
      return Script(ChunkedHead(), Chunk(), kLargeChunkBlocks - 1);
    case HostileCase::kTinyChunks:
      return Script(ChunkedHead(), Repeat("1\r\nx\r\n", kTinyChunksPerStep),
                    kTinyChunks / kTinyChunksPerStep);
    case HostileCase::kAnnouncedBodies:
      return Script(SizedHead(kEndlessBodyBlocks * kBlockBytes), Block(),
                    kEndlessBodyBlocks);
    case HostileCase::kSentBodies:
      return Script(ChunkedHead(), Chunk(), kEndlessBodyBlocks);
    case HostileCase::kWholeBodies:
      return Script(SizedHead(kHostileMaxBodyBytes), Block(),
                    kLargeChunkBlocks);
    case HostileCase::kLargeHeads:
      return Script(Head("GET", "Long: "), Block(), 2);
    case HostileCase::kEndlessLine:
      return Script("GET /", Block(), kEndlessHeadBlocks);
    case HostileCase::kEndlessHeader:
      return Script(Head("GET", "Long: "), Block(), kEndlessHeadBlocks);
    case HostileCase::kEndlessHeaders:
      return Script(Head("GET", ""), Repeat("a:\r\n", kBlockBytes / 4),
                    kEndlessHeadBlocks);
    case HostileCase::kEmptyLines:
      return Script("\r\n", Repeat("\r\n", kBlockBytes / 2), kEmptyLineBlocks);
    case HostileCase::kUnreadResponses: {
      const std::string requests =
          Repeat(Head("GET", "\r\n"), kRequestsPerStep);
      return Script(requests, requests, kUnreadRequestSteps);
    }
    case HostileCase::kIdleConnections:
    case HostileCase::kIdleDescriptors:
      return Script(Head("GET", "\r\n"), "", 0);
    case HostileCase::kHeadsDescriptors:
      return Script(Head("GET", "Unfinished: "), "", 0);
  }
  return nullptr;
}

}  // namespace

HostileSetup SetupOf(HostileCase which) {
  HostileSetup setup;
  setup.clients = kCrowd;
  setup.script = ScriptOf(which);
  setup.memory_mb = kMemoryMb;
  setup.max_descriptors = kMaxDescriptors;
  setup.free_descriptors = kMaxDescriptors / 8;
  setup.idle_timeout_ms = 15000;
  setup.header_timeout_ms = 10000;
  switch (which) {
    case HostileCase::kUnreadResponses:
      setup.reads_responses = false;
      break;
    case HostileCase::kIdleConnections:
      setup.idle_timeout_ms = 2000;
      setup.expects_idle_closes = true;
      break;
    case HostileCase::kIdleDescriptors:
    case HostileCase::kHeadsDescriptors:
      setup.clients = kDescriptorCrowd;
      break;
    default:
      break;
  }
  return setup;
}

}  // namespace limpetrudder::testbed
