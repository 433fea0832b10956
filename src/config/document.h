#ifndef CONFIG_DOCUMENT_H_
#define CONFIG_DOCUMENT_H_

#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/config_types.h"
#include "framework/error.h"

namespace limpetrudder {

// Checks `json` against the schema and, if that holds, for meaning. Returns
// every fault found, or none. Thread safe.
// Errors: kField*, kDuplicateName, kNameNotDefined, kShardWithoutServer,
// kSlotsAboveConnections.
std::vector<Error> CheckDocument(const nlohmann::json& json);

// Checks and reads a whole document. Thread safe. Errors: as CheckDocument().
CheckedResult<Document> ReadDocument(const nlohmann::json& json);

// Returns the collection called `name`, or null. Thread safe.
const Collection* FindCollection(const Document& document,
                                 std::string_view name);

// Returns the caller whose token hashes to `token_sha256`, or null. Thread
// safe.
const Caller* FindCaller(const Document& document,
                         std::string_view token_sha256);

// Returns whether `caller` may search `collection`. Thread safe.
bool IsGranted(const Caller& caller, std::string_view collection);

}  // namespace limpetrudder

#endif  // CONFIG_DOCUMENT_H_
