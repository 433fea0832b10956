#ifndef NET_INTERNAL_TARGET_CODEC_H_
#define NET_INTERNAL_TARGET_CODEC_H_

#include <string>

#include "net/http_client.h"
#include "query/query_types.h"

namespace limpetrudder::detail {

// The targets' protocol; docs/PROTOCOLS.md describes it. Thread safe.

// Returns how targets are told the attempt `id` of `instance`.
std::string AttemptName(const std::string& instance, AttemptId id);

std::string WriteTargetSearch(const SendAttempt& attempt,
                              const std::string& attempt_name,
                              std::int64_t deadline_unix_ms);

// Reads what came back for the attempt called `attempt_name`. An answer that
// names another attempt gets kAnswerCrossed and no hits.
AttemptResult ReadTargetSearch(AttemptId id,
                               const std::string& attempt_name,
                               const HttpResponse& response);

// Reads a health report, or nothing if the target isn't well.
std::optional<ServerReport> ReadTargetHealth(const HttpResponse& response);

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_TARGET_CODEC_H_
