#ifndef CONFIG_DOCUMENT_H_
#define CONFIG_DOCUMENT_H_

#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/config_types.h"
#include "framework/error.h"

namespace limpetrudder {

// Validates `json` against the schema and, if it conforms, against the rules
// that the schema can't express. Returns every error found. Thread safe.
// Errors: kField*, kDuplicateName, kNameNotDefined, kShardWithoutServer,
// kSlotsAboveConnections, kServiceInTwoCollections.
std::vector<Error> CheckDocument(const nlohmann::json& json);

// Validates and reads a document. Thread safe. Errors: as CheckDocument().
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
