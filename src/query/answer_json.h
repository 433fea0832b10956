#ifndef QUERY_ANSWER_JSON_H_
#define QUERY_ANSWER_JSON_H_

#include <nlohmann/json.hpp>

#include "query/query_types.h"

namespace limpetrudder {

// Returns the response body for the caller, as described in docs/PROTOCOLS.md.
// Thread safe.
nlohmann::ordered_json WriteAnswer(const SearchAnswer& answer);

// Thread safe.
nlohmann::ordered_json WriteDecisions(const std::vector<Decision>& decisions);

// Returns {"number": N, "name": NAME}. Thread safe.
nlohmann::ordered_json WriteCode(ResultCode code);

}  // namespace limpetrudder

#endif  // QUERY_ANSWER_JSON_H_
