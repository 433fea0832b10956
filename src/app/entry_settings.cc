#include "app/entry_settings.h"

#include "app/settings.h"
#include "framework/json_schema.h"

namespace limpetrudder {
namespace {

constexpr std::string_view kSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "data_centre", "regions", "caller_address",
               "ready_address", "peer_address", "store_address",
               "retry_budget", "stop_bound_ms"],
  "properties": {
    "instance": {"type": "string", "minLength": 1},
    "data_centre": {"type": "string", "minLength": 1},
    "regions": {"type": "object", "additionalProperties": {"type": "string"}},
    "caller_address": {"type": "string",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
    "ready_address": {"type": "string",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
    "peer_address": {"type": "string",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
    "store_address": {"type": "string",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
    "cores": {"type": "number", "exclusiveMinimum": 0},
    "link_mbps": {"type": "number", "exclusiveMinimum": 0},
    "memory_mb": {"type": "number", "minimum": 32, "maximum": 1048576},
    "max_descriptors": {"type": "integer", "minimum": 64, "maximum": 10000000},
    "retry_budget": {
      "type": "object", "additionalProperties": false,
      "required": ["ratio", "slack"],
      "properties": {
        "ratio": {"type": "number", "minimum": 0, "maximum": 10},
        "slack": {"type": "number", "minimum": 0, "maximum": 1000000}
      }
    },
    "warmup": {
      "type": "object", "additionalProperties": false,
      "required": ["overage", "slack"],
      "properties": {
        "overage": {"type": "number", "exclusiveMinimum": 0, "maximum": 100},
        "slack": {"type": "number", "minimum": 0, "maximum": 1000000}
      }
    },
    "quota": {
      "type": "object", "additionalProperties": false,
      "required": ["window", "overage", "slack"],
      "properties": {
        "window": {"type": "number", "exclusiveMinimum": 0, "maximum": 3600},
        "overage": {"type": "number", "minimum": 0, "maximum": 100},
        "slack": {"type": "number", "minimum": 0, "maximum": 1000000}
      }
    },
    "key_confirmation": {
      "type": "object", "additionalProperties": false,
      "required": ["strict", "bound_ms"],
      "properties": {
        "strict": {"type": "boolean"},
        "bound_ms": {"type": "integer", "minimum": 1, "maximum": 3600000}
      }
    },
    "stop_bound_ms": {"type": "integer", "minimum": 0, "maximum": 120000},
    "log_level": {"enum": ["debug", "info", "warning", "error"]}
  }
})json";

EntrySettings ParseValidated(const nlohmann::json& json) {
  EntrySettings settings;
  settings.instance = json.at("instance");
  settings.data_centre = json.at("data_centre");
  settings.regions = json.at("regions");
  settings.caller_address = json.at("caller_address");
  settings.ready_address = json.at("ready_address");
  settings.peer_address = json.at("peer_address");
  settings.store_address = json.at("store_address");
  settings.cores = json.value("cores", settings.cores);
  settings.link_mbps = json.value("link_mbps", settings.link_mbps);
  settings.memory_mb = json.value("memory_mb", settings.memory_mb);
  settings.max_descriptors =
      json.value("max_descriptors", settings.max_descriptors);
  const auto& budget = json.at("retry_budget");
  settings.retry_budget = {budget.at("ratio"), budget.at("slack")};
  if (json.contains("warmup")) {
    const auto& warmup = json.at("warmup");
    settings.warmup = {warmup.at("overage"), warmup.at("slack")};
  }
  if (json.contains("quota")) {
    const auto& quota = json.at("quota");
    settings.quota = {Scaled(Seconds(1), quota.at("window")),
                      quota.at("overage"), quota.at("slack")};
  }
  if (json.contains("key_confirmation")) {
    const auto& confirmation = json.at("key_confirmation");
    if (confirmation.at("strict").get<bool>()) {
      settings.key_confirmation_bound =
          Millis(confirmation.at("bound_ms").get<std::int64_t>());
    }
  }
  settings.stop_bound = Millis(json.at("stop_bound_ms").get<std::int64_t>());
  settings.log_level =
      ValueOf(kLogLevelNames, json.value("log_level", std::string("info")))
          .value_or(LogLevel::kInfo);
  return settings;
}

}  // namespace

CheckedResult<EntrySettings> ReadEntrySettings(const nlohmann::json& json) {
  static const JsonSchema schema(kSchema);
  std::vector<Error> errors = schema.Check(json);
  if (errors.empty()) {
    for (const char* field :
         {"caller_address", "ready_address", "peer_address", "store_address"}) {
      CheckPort(json, field, &errors);
    }
  }
  if (!errors.empty())
    return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(errors));
  return ParseValidated(json);
}

}  // namespace limpetrudder
