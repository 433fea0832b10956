#ifndef NET_INTERNAL_TARGET_CODEC_H_
#define NET_INTERNAL_TARGET_CODEC_H_

#include <string>

#include "net/http_client.h"
#include "query/query_types.h"

namespace limpetrudder::detail {

// Encodes and decodes the targets' protocol, which docs/PROTOCOLS.md describes.
// Thread safe.

// Returns the name that identifies attempt `id` of `instance` to targets.
std::string AttemptName(const std::string& instance, AttemptId id);

// Returns the JSON body of a search request to a target.
std::string WriteTargetSearch(const SendAttempt& attempt,
                              const std::string& attempt_name,
                              std::int64_t deadline_unix_ms);

// Reads the response to the attempt called `attempt_name`. A response that
// names another attempt yields kAnswerCrossed and no hits.
AttemptResult ReadTargetSearch(AttemptId id,
                               const std::string& attempt_name,
                               const HttpResponse& response);

// Reads a health report. Returns nothing if the request failed, the target
// reports an error or the report is malformed.
std::optional<ServerReport> ReadTargetHealth(const HttpResponse& response);

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_TARGET_CODEC_H_
