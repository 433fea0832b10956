#ifndef FRAMEWORK_JSON_SCHEMA_H_
#define FRAMEWORK_JSON_SCHEMA_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "framework/error.h"

namespace limpetrudder {

using Json = nlohmann::json;

// Parses `text`. Thread safe. Errors: kJsonMalformed.
Result<Json> ParseJson(std::string_view text);

// Reads and parses the file at `path`. Thread safe.
// Errors: kFileUnreadable, kJsonMalformed.
Result<Json> ReadJsonFile(const std::string& path);

// A compiled JSON schema (draft 7).
class JsonSchema {
 public:
  // Precondition: `text` is a valid schema.
  explicit JsonSchema(std::string_view text);
  ~JsonSchema();

  JsonSchema(const JsonSchema&) = delete;
  JsonSchema& operator=(const JsonSchema&) = delete;

  // Returns every error in `value`, each with its JSON pointer, a message that
  // names the allowed values, and one of kFieldUnknown, kFieldMissing,
  // kFieldWrongType and kFieldOutOfRange. Thread safe.
  std::vector<Error> Check(const Json& value) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpetrudder

#endif  // FRAMEWORK_JSON_SCHEMA_H_
