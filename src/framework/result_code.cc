#include "framework/result_code.h"

#include <array>

namespace limpetrudder {
namespace {

using enum ResultCode;

constexpr auto kTable = std::to_array<ResultCodeRow>({
    {kOk, "ok", "The request succeeded."},
    {kJsonMalformed, "json_malformed", "The text is not JSON."},
    {kFieldUnknown, "field_unknown", "A field is not part of the format."},
    {kFieldMissing, "field_missing", "A required field is absent."},
    {kFieldWrongType, "field_wrong_type", "A field has the wrong type."},
    {kFieldOutOfRange, "field_out_of_range",
     "A field lies outside its allowed values."},
    {kFileUnreadable, "file_unreadable", "A file can't be read."},
    {kRingFull, "ring_full",
     "A queue between two threads is full; the request was not run."},
    {kDuplicateName, "duplicate_name", "Two entries share a name."},
    {kNameNotDefined, "name_not_defined",
     "An entry refers to a name that the document lacks."},
    {kShardWithoutServer, "shard_without_server", "A shard has no server."},
    {kSlotsAboveConnections, "slots_above_connections",
     "A server has more slots than connections."},
    {kServiceInTwoCollections, "service_in_two_collections",
     "A service or server belongs to two collections."},
    {kConfigConflict, "config_conflict",
     "The document in force is not the one that the change was based on."},
    {kConfigOutcomeUnknown, "config_outcome_unknown",
     "The platform didn't say whether the change took effect. Submit it again "
     "with the same change id."},
    {kConfigNotAvailable, "config_not_available",
     "No configuration is in force yet."},
    {kRevisionTooLow, "revision_too_low",
     "A revision below the one in force was offered and ignored."},
    {kPlatformUnavailable, "platform_unavailable",
     "The platform's key-value service can't be reached."},
    {kConfigCorrupt, "config_corrupt",
     "A stored part doesn't match its content address."},
    {kChangeReused, "change_reused",
     "The change id was used before for another document."},
    {kRoutesOutdated, "routes_outdated",
     "A forwarded call came under routes that are no longer in force; not "
     "run."},
    {kRequestMalformed, "request_malformed", "The request can't be read."},
    {kRequestTooLarge, "request_too_large", "The request body is too large."},
    {kCollectionUnknown, "collection_unknown",
     "No collection has the requested name."},
    {kDeadlinePassed, "deadline_passed",
     "The deadline had passed before work began."},
    {kPartialAnswer, "partial_answer",
     "The answer covers part of the collection."},
    {kNotWhole, "not_whole",
     "The caller needs the whole answer and some shards didn't answer."},
    {kVersionNotHeld, "version_not_held",
     "A server doesn't hold the requested index version."},
    {kMapNotHeld, "map_not_held",
     "A server doesn't serve the requested shard map."},
    {kCallerLeft, "caller_left", "The caller closed its connection."},
    {kNoAnswer, "no_answer", "No shard answered in time."},
    {kHeadersTooLarge, "headers_too_large", "The headers are too large."},
    {kOverloaded, "overloaded",
     "The deadline can't be met under the present load; not run."},
    {kHedgeBudgetSpent, "hedge_budget_spent",
     "A hedge was left out because its budget is spent."},
    {kRetryBudgetSpent, "retry_budget_spent",
     "A retry was left out because its budget is spent."},
    {kQueueFull, "queue_full", "A shard's queue is full; not run."},
    {kRequestQuarantined, "request_quarantined",
     "The request crashed servers and is quarantined; not run."},
    {kRequestSuspected, "request_suspected",
     "Servers crashed while they ran the request, which isn't sent to more of "
     "them now."},
    {kAccountOverLimit, "account_over_limit",
     "The client account has used up its limit; not run."},
    {kConnectionBudget, "connection_budget",
     "The connections of all clients take too much memory; not run."},
    {kNoServer, "no_server", "No server of the shard may take work."},
    {kServerShed, "server_shed", "A server refused work to shed load."},
    {kServerLeaving, "server_leaving", "A server is draining."},
    {kServerFailed, "server_failed", "A server answered with an error."},
    {kConnectionSilent, "connection_silent",
     "A connection carried no byte within the server's learned bound."},
    {kAnswerCrossed, "answer_crossed",
     "An answer named another attempt and was dropped."},
    {kAnswerLate, "answer_late", "An answer came after it was needed."},
    {kAttemptCancelled, "attempt_cancelled", "An attempt was cancelled."},
    {kConnectFailed, "connect_failed",
     "No connection could be opened; nothing was sent."},
    {kAnswerMalformed, "answer_malformed", "A server's answer can't be read."},
    {kServerBackoff, "server_backoff",
     "All servers of the shard asked to be left alone for a while; not run."},
    {kAnswerTooLarge, "answer_too_large",
     "An answer went on beyond its limit; its connection was closed."},
    {kNoServerInRegions, "no_server_in_regions",
     "No server in the regions allowed for the request may take work."},
    {kDataCentreEvacuated, "data_centre_evacuated",
     "All servers that could take work are in evacuated data centres."},
    {kServerCold, "server_cold",
     "All servers that could take work are cold and have their share."},
    {kServerLimited, "server_limited",
     "All servers that could take work have named rate limits, which are used "
     "up; not run."},
    {kServersUnreachable, "servers_unreachable",
     "The instance has lost contact with the servers and no other one took the "
     "call; not run."},
    {kNoHome, "no_home", "No instance can run the collection."},
    {kPeerUnreachable, "peer_unreachable",
     "Another instance can't be reached."},
    {kNotReady, "not_ready", "The instance isn't ready for work."},
    {kStopping, "stopping", "The instance is shutting down; not run."},
    {kCheckingRevision, "checking_revision",
     "The instance was frozen and is checking its configuration; not run."},
    {kKeyMalformed, "key_malformed", "The idempotency key can't be read."},
    {kKeyExpired, "key_expired", "The key is older than its window."},
    {kKeyNotIssued, "key_not_issued", "This instance never issued the key."},
    {kKeyBodyDiffers, "key_body_differs",
     "The key was used before with another body."},
    {kIssuerGone, "issuer_gone",
     "The instance that issued the key is gone; nobody can run it now."},
    {kOutcomeUnknown, "outcome_unknown", "The write may or may not have run."},
    {kWriteNotRun, "write_not_run", "The write has not run and never will."},
    {kLedgerFull, "ledger_full", "The table of running keys is full; not run."},
    {kWriteRefused, "write_refused", "The server refused the write."},
    {kWriteRunning, "write_running", "The write is running."},
    {kNotAuthorised, "not_authorised", "The bearer token isn't known."},
    {kNotGranted, "not_granted", "The caller isn't granted what it asked for."},
    {kNoSuchPath, "no_such_path", "No such path or method."},
    {kTransportFailed, "transport_failed", "A transfer failed."},
    {kMessageTooLarge, "message_too_large", "A peer message is too large."},
    {kAccountUnknown, "account_unknown",
     "The request's key belongs to no client account."},
    {kAccountUnconfirmed, "account_unconfirmed",
     "The instance can't tell whether the request's key still holds."},
    {kUsage, "usage", "The command line can't be read."},
    {kStartFailed, "start_failed", "The instance could not start."},
    {kRequestNotKept, "request_not_kept",
     "The request id isn't among those still kept."},
});

}  // namespace

std::span<const ResultCodeRow> ResultCodeTable() {
  return kTable;
}

std::string_view NameOf(ResultCode code) {
  for (const auto& row : kTable) {
    if (row.code == code)
      return row.name;
  }
  return "unknown";
}

}  // namespace limpetrudder
