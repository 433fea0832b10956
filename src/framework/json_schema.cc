#include "framework/json_schema.h"

#include <fstream>
#include <iterator>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace limpetrudder {
namespace {

using Adapter = valijson::adapters::NlohmannJsonAdapter;

// Converts Valijson's context ("<root>", "[name]", "[3]") into a JSON pointer
// ("/name/3").
std::string PointerOf(const std::vector<std::string>& context) {
  std::string pointer;
  for (const auto& step : context) {
    if (step.size() < 2 || step.front() != '[')
      continue;
    pointer += '/';
    pointer += step.substr(1, step.size() - 2);
  }
  return pointer;
}

// Derives the result code from the text of Valijson's message.
ResultCode CodeOf(std::string_view message) {
  const auto contains = [&](std::string_view part) {
    return message.find(part) != std::string_view::npos;
  };
  if (contains("Missing required property"))
    return ResultCode::kFieldMissing;
  if (contains("additional properties") || contains("contains a property"))
    return ResultCode::kFieldUnknown;
  if (contains("Value type not permitted") ||
      contains("could not be converted"))
    return ResultCode::kFieldWrongType;
  return ResultCode::kFieldOutOfRange;
}

// After a specific error, Valijson reports a generic one for each enclosing
// object. Returns whether `message` is one of these.
bool IsEnclosingError(std::string_view message) {
  return message.starts_with("Failed to validate");
}

// Returns the allowed values at `pointer` from the schema, because Valijson's
// message doesn't name the values that an enumeration or a pattern allows.
std::string AllowedValues(const Json& schema, std::string_view pointer) {
  const Json* node = &schema;
  std::size_t begin = 0;
  while (begin < pointer.size()) {
    const std::size_t end =
        std::min(pointer.find('/', begin + 1), pointer.size());
    const std::string step(pointer.substr(begin + 1, end - begin - 1));
    if (node->contains("items"))
      node = &(*node)["items"];
    else if (node->contains("properties") &&
             (*node)["properties"].contains(step))
      node = &(*node)["properties"][step];
    else
      return std::string();
    begin = end;
  }
  if (node->contains("minimum") && node->contains("maximum")) {
    return "allowed " + (*node)["minimum"].dump() + " to " +
           (*node)["maximum"].dump();
  }
  for (const char* keyword : {"enum", "pattern", "type"}) {
    if (node->contains(keyword))
      return std::string(keyword) + " " + (*node)[keyword].dump();
  }
  return std::string();
}

}  // namespace

struct JsonSchema::Impl {
  Json source;
  valijson::Schema schema;
};

JsonSchema::JsonSchema(std::string_view text)
    : impl_(std::make_unique<Impl>()) {
  impl_->source = Json::parse(text);
  valijson::SchemaParser parser;
  parser.populateSchema(Adapter(impl_->source), impl_->schema);
}

JsonSchema::~JsonSchema() = default;

std::vector<Error> JsonSchema::Check(const Json& value) const {
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  std::vector<Error> errors;
  if (validator.validate(impl_->schema, Adapter(value), &results))
    return errors;
  for (const auto& result : results) {
    if (IsEnclosingError(result.description) &&
        CodeOf(result.description) == ResultCode::kFieldOutOfRange &&
        result.description.find("enum") == std::string::npos &&
        result.description.find("pattern") == std::string::npos) {
      continue;
    }
    std::string message = result.description;
    std::string pointer = PointerOf(result.context);
    const std::string allowed = AllowedValues(impl_->source, pointer);
    if (!allowed.empty())
      message += " (" + allowed + ")";
    errors.push_back(
        {CodeOf(result.description), std::move(pointer), std::move(message)});
  }
  return errors;
}

Result<Json> ParseJson(std::string_view text) {
  Json value = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded())
    return Failure(ResultCode::kJsonMalformed, "the text is not valid JSON");
  return value;
}

Result<Json> ReadJsonFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return Failure(ResultCode::kFileUnreadable, "can't read " + path);
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  return ParseJson(text);
}

}  // namespace limpetrudder
