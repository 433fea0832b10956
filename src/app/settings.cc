#include "app/settings.h"

#include "framework/json_schema.h"

namespace limpetrudder {
namespace {

constexpr std::string_view kSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "data_centre", "caller_address", "operator_address",
               "peer_address", "platform_address", "operator_token_sha256"],
  "properties": {
    "instance": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "data_centre": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "caller_address": {"type": "string",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
    "operator_address": {"type": "string",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
    "peer_address": {"type": "string",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
    "platform_address": {"type": "string",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
    "operator_token_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
    "seeds": {
      "type": "array", "maxItems": 100,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "data_centre", "peer_address"],
        "properties": {
          "name": {"type": "string"},
          "data_centre": {"type": "string"},
          "peer_address": {"type": "string",
            "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"}
        }
      }
    },
    "lame_duck_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
    "stop_bound_ms": {"type": "integer", "minimum": 0, "maximum": 120000},
    "log_level": {"enum": ["debug", "info", "warning", "error"]}
  }
})json";

constexpr std::int64_t kDefaultLameDuckMs = 2000;
constexpr std::int64_t kDefaultStopBoundMs = 10000;
constexpr int kMaxPort = 65535;

Settings ParseValidated(const nlohmann::json& json) {
  Settings settings;
  settings.instance = json.at("instance");
  settings.data_centre = json.at("data_centre");
  settings.caller_address = json.at("caller_address");
  settings.operator_address = json.at("operator_address");
  settings.peer_address = json.at("peer_address");
  settings.platform_address = json.at("platform_address");
  settings.operator_token_sha256 = json.at("operator_token_sha256");
  if (json.contains("seeds")) {
    for (const auto& seed : json["seeds"]) {
      settings.seeds.push_back({seed.at("name"), seed.at("data_centre"),
                                seed.at("peer_address"), 0,
                                MemberState::kAlive});
    }
  }
  settings.lame_duck = Millis(json.value("lame_duck_ms", kDefaultLameDuckMs));
  settings.stop_bound =
      Millis(json.value("stop_bound_ms", kDefaultStopBoundMs));
  settings.log_level =
      ValueOf(kLogLevelNames, json.value("log_level", std::string("info")))
          .value_or(LogLevel::kInfo);
  return settings;
}

}  // namespace

void CheckPort(const nlohmann::json& json,
               const std::string& field,
               std::vector<Error>* errors) {
  const std::string address = json.at(field);
  const int port = std::stoi(address.substr(address.find(':') + 1));
  if (port < 1 || port > kMaxPort) {
    errors->push_back(
        {ResultCode::kFieldOutOfRange, "/" + field,
         "port " + std::to_string(port) + " isn't between 1 and 65535"});
  }
}

CheckedResult<Settings> ReadSettings(const nlohmann::json& json) {
  static const JsonSchema schema(kSchema);
  std::vector<Error> errors = schema.Check(json);
  if (errors.empty()) {
    for (const char* field : {"caller_address", "operator_address",
                              "peer_address", "platform_address"}) {
      CheckPort(json, field, &errors);
    }
  }
  if (!errors.empty())
    return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(errors));
  return ParseValidated(json);
}

Endpoint SplitAddress(const std::string& address) {
  const std::size_t colon = address.find(':');
  return {address.substr(0, colon),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace limpetrudder
