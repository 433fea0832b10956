#ifndef FRAMEWORK_RESULT_CODE_H_
#define FRAMEWORK_RESULT_CODE_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace limpetrudder {

// Numbered result codes, one range of a thousand per module.
// docs/RESULT_CODES.md lists the same table for operators; a test compares
// them.
enum class ResultCode : std::uint16_t {
  kOk = 0,

  // framework: 1000 to 1999.
  kJsonMalformed = 1001,
  kFieldUnknown = 1002,
  kFieldMissing = 1003,
  kFieldWrongType = 1004,
  kFieldOutOfRange = 1005,
  kFileUnreadable = 1006,
  kRingFull = 1007,

  // config: 2000 to 2999.
  kDuplicateName = 2001,
  kNameNotDefined = 2002,
  kShardWithoutServer = 2003,
  kSlotsAboveConnections = 2004,
  kServiceInTwoCollections = 2005,
  kConfigConflict = 2006,
  kConfigOutcomeUnknown = 2007,
  kConfigNotAvailable = 2008,
  kRevisionTooLow = 2009,
  kPlatformUnavailable = 2010,
  kConfigCorrupt = 2011,
  kChangeReused = 2012,
  kRoutesOutdated = 2013,

  // query: 3000 to 3999.
  kRequestMalformed = 3001,
  kRequestTooLarge = 3002,
  kCollectionUnknown = 3003,
  kDeadlinePassed = 3004,
  kPartialAnswer = 3005,
  kNotWhole = 3006,
  kVersionNotHeld = 3007,
  kMapNotHeld = 3008,
  kCallerLeft = 3009,
  kNoAnswer = 3010,
  kHeadersTooLarge = 3011,

  // limits: 4000 to 4999.
  kOverloaded = 4001,
  kHedgeBudgetSpent = 4002,
  kRetryBudgetSpent = 4003,
  kQueueFull = 4004,
  kRequestQuarantined = 4005,
  kRequestSuspected = 4006,
  kAccountOverLimit = 4007,
  kConnectionBudget = 4008,

  // routing: 5000 to 5999.
  kNoServer = 5001,
  kServerShed = 5002,
  kServerLeaving = 5003,
  kServerFailed = 5004,
  kConnectionSilent = 5005,
  kAnswerCrossed = 5006,
  kAnswerLate = 5007,
  kAttemptCancelled = 5008,
  kConnectFailed = 5009,
  kAnswerMalformed = 5010,
  kServerBackoff = 5011,
  kAnswerTooLarge = 5012,
  kNoServerInRegions = 5013,
  kDataCentreEvacuated = 5014,
  kServerCold = 5015,
  kServerLimited = 5016,
  kServersUnreachable = 5017,

  // membership: 6000 to 6999.
  kNoHome = 6001,
  kPeerUnreachable = 6002,
  kNotReady = 6003,
  kStopping = 6004,
  kCheckingRevision = 6005,

  // once: 7000 to 7999.
  kKeyMalformed = 7001,
  kKeyExpired = 7002,
  kKeyNotIssued = 7003,
  kKeyBodyDiffers = 7004,
  kIssuerGone = 7005,
  kOutcomeUnknown = 7006,
  kWriteNotRun = 7007,
  kLedgerFull = 7008,
  kWriteRefused = 7009,
  kWriteRunning = 7010,

  // net: 8000 to 8999.
  kNotAuthorised = 8001,
  kNotGranted = 8002,
  kNoSuchPath = 8003,
  kTransportFailed = 8004,
  kMessageTooLarge = 8005,
  kAccountUnknown = 8006,
  kAccountUnconfirmed = 8007,

  // app: 9000 to 9999.
  kUsage = 9001,
  kStartFailed = 9002,
  kRequestNotKept = 9003,
};

// One row of the table of result codes.
struct ResultCodeRow {
  ResultCode code;
  std::string_view name;
  std::string_view meaning;
};

// Returns every result code in ascending order. Thread safe.
std::span<const ResultCodeRow> ResultCodeTable();

// Returns the name of `code`. Thread safe.
std::string_view NameOf(ResultCode code);

// Returns the number that callers and operators see. Thread safe.
constexpr int NumberOf(ResultCode code) {
  return static_cast<int>(code);
}

}  // namespace limpetrudder

#endif  // FRAMEWORK_RESULT_CODE_H_
