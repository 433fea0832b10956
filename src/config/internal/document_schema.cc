#include "config/internal/document_schema.h"

namespace limpetrudder::detail {
namespace {

constexpr std::string_view kSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["format", "data_centres", "collections", "callers"],
  "properties": {
    "format": {"type": "integer", "minimum": 1, "maximum": 1},
    "data_centres": {
      "type": "array", "minItems": 1, "maxItems": 64,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "region"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
          "region": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"}
        }
      }
    },
    "collections": {
      "type": "array", "maxItems": 2000,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "map_epoch", "deadline_ms", "services"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
          "map_epoch": {"type": "integer", "minimum": 1, "maximum": 1000000000},
          "coverage_policy": {
            "enum": ["whole", "coverage_first", "tail_first"]},
          "strategy": {"enum": ["adaptive", "baseline"]},
          "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
          "extra_load_percent": {
            "type": "number", "minimum": 0, "maximum": 20},
          "services": {
            "type": "array", "minItems": 1, "maxItems": 1000,
            "items": {
              "type": "object",
              "additionalProperties": false,
              "required": ["name", "shards"],
              "properties": {
                "name": {
                  "type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
                "shards": {
                  "type": "array", "minItems": 1, "maxItems": 1000,
                  "items": {
                    "type": "object",
                    "additionalProperties": false,
                    "required": ["name", "servers"],
                    "properties": {
                      "name": {
                        "type": "string",
                        "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
                      "servers": {
                        "type": "array", "maxItems": 100,
                        "items": {
                          "type": "object",
                          "additionalProperties": false,
                          "required": ["name", "address", "data_centre",
                                       "slots", "connections"],
                          "properties": {
                            "name": {
                              "type": "string",
                              "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
                            "address": {
                              "type": "string",
                              "pattern":
                                "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
                            "data_centre": {"type": "string"},
                            "slots": {
                              "type": "integer",
                              "minimum": 1, "maximum": 1000},
                            "connections": {
                              "type": "integer",
                              "minimum": 1, "maximum": 100000},
                            "leaving": {"type": "boolean"}
                          }
                        }
                      }
                    }
                  }
                }
              }
            }
          }
        }
      }
    },
    "callers": {
      "type": "array", "maxItems": 100000,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "class", "token_sha256", "collections"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
          "class": {
            "enum": ["till", "captain", "mender", "browse", "importer",
                     "report"]},
          "token_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
          "collections": {"type": "array", "items": {"type": "string"}},
          "may_write": {"type": "boolean"}
        }
      }
    }
  }
})json";

}  // namespace

const JsonSchema& DocumentSchema() {
  static const JsonSchema schema(kSchema);
  return schema;
}

}  // namespace limpetrudder::detail
