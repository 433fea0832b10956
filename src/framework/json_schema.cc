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

// Valijson names a place as "<root>", "[name]", "[3]"; a JSON pointer is
// "/name/3".
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

ResultCode CodeOf(std::string_view message) {
  const auto has = [&](std::string_view part) {
    return message.find(part) != std::string_view::npos;
  };
  if (has("Missing required property"))
    return ResultCode::kFieldMissing;
  if (has("additional properties") || has("contains a property"))
    return ResultCode::kFieldUnknown;
  if (has("Value type not permitted") || has("could not be converted"))
    return ResultCode::kFieldWrongType;
  return ResultCode::kFieldOutOfRange;
}

// Valijson follows a precise fault by one for each object that encloses it.
bool IsSummary(std::string_view message) {
  return message.starts_with("Failed to validate");
}

// The validator's own message doesn't name the values that an enumeration or a
// pattern allows, so it is taken from the schema.
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
  for (const auto& fault : results) {
    if (IsSummary(fault.description) &&
        CodeOf(fault.description) == ResultCode::kFieldOutOfRange &&
        fault.description.find("enum") == std::string::npos &&
        fault.description.find("pattern") == std::string::npos) {
      continue;
    }
    std::string message = fault.description;
    std::string pointer = PointerOf(fault.context);
    const std::string allowed = AllowedValues(impl_->source, pointer);
    if (!allowed.empty())
      message += " (" + allowed + ")";
    errors.push_back(
        {CodeOf(fault.description), std::move(pointer), std::move(message)});
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
