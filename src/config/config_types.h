#ifndef CONFIG_CONFIG_TYPES_H_
#define CONFIG_CONFIG_TYPES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "framework/enum_names.h"
#include "framework/time.h"

namespace limpetrudder {

// What a collection gives up when shards are slow or unreachable: coverage or
// time.
enum class CoveragePolicy {
  kWhole,          // Answer from all shards, or return an error.
  kCoverageFirst,  // Wait for shards up to the deadline.
  kTailFirst,      // Answer without the slowest shards once waiting for
                   // them isn't worth it.
};

inline constexpr EnumNames<CoveragePolicy, 3> kCoveragePolicyNames{{
    {CoveragePolicy::kWhole, "whole"},
    {CoveragePolicy::kCoverageFirst, "coverage_first"},
    {CoveragePolicy::kTailFirst, "tail_first"},
}};

// The dispatch logic that serves a collection. The baseline exists for
// comparison: round robin, fixed time-outs, no hedges and no limits.
enum class Strategy { kAdaptive, kBaseline };

inline constexpr EnumNames<Strategy, 2> kStrategyNames{{
    {Strategy::kAdaptive, "adaptive"},
    {Strategy::kBaseline, "baseline"},
}};

// The class of a caller, most urgent first.
enum class CallerClass {
  kTill,
  kCaptain,
  kMender,
  kBrowse,
  kImporter,
  kReport,
};

inline constexpr std::size_t kCallerClassCount = 6;
inline constexpr EnumNames<CallerClass, kCallerClassCount> kCallerClassNames{{
    {CallerClass::kTill, "till"},
    {CallerClass::kCaptain, "captain"},
    {CallerClass::kMender, "mender"},
    {CallerClass::kBrowse, "browse"},
    {CallerClass::kImporter, "importer"},
    {CallerClass::kReport, "report"},
}};

// Returns whether callers of this class get an answer from all shards or an
// error, as tills, captains and menders do. Thread safe.
constexpr bool NeedsWholeAnswer(CallerClass caller_class) {
  return caller_class <= CallerClass::kMender;
}

struct DataCentre {
  std::string name;
  std::string region;
};

// One replica of one shard.
struct Server {
  std::string name;
  std::string address;  // "IP:PORT".
  std::string data_centre;
  std::uint32_t slots = 0;        // Requests that it runs concurrently.
  std::uint32_t connections = 0;  // Connections that it accepts in total.
  bool leaving = false;
};

struct Shard {
  std::string name;
  std::vector<Server> servers;
};

struct Service {
  std::string name;
  std::vector<Shard> shards;
};

// The services that one query covers.
struct Collection {
  std::string name;
  std::uint64_t map_epoch = 0;  // Increases when the shards are repartitioned.
  CoveragePolicy coverage_policy = CoveragePolicy::kCoverageFirst;
  Strategy strategy = Strategy::kAdaptive;
  Duration deadline{0};
  double extra_load = 0;  // Hedges per sub-query, as a ratio.
  std::vector<Service> services;
};

// A client account, identified by the hash of its bearer token.
struct Caller {
  std::string name;
  CallerClass caller_class = CallerClass::kBrowse;
  std::string token_sha256;
  std::vector<std::string> collections;
  bool may_write = false;
};

struct Document {
  std::vector<DataCentre> data_centres;
  std::vector<std::shared_ptr<const Collection>> collections;
  std::vector<Caller> callers;  // Sorted by token_sha256.
};

// A document in force and its revision.
struct ConfigInForce {
  std::uint64_t revision = 0;
  Document document;
};

// One entry of the audit trail.
struct ChangeRecord {
  std::string change_id;
  std::uint64_t revision = 0;
  std::uint64_t base_revision = 0;
  std::string author;
  std::string reason;
  std::string submitted_at;  // UTC, ISO 8601.
  std::string digest;        // Manifest::Digest() of the revision.
};

}  // namespace limpetrudder

#endif  // CONFIG_CONFIG_TYPES_H_
