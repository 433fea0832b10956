#ifndef CONFIG_INTERNAL_DOCUMENT_SCHEMA_H_
#define CONFIG_INTERNAL_DOCUMENT_SCHEMA_H_

#include "framework/json_schema.h"

namespace limpetrudder::detail {

// Returns the schema of the configuration document, format 1. Thread safe.
const JsonSchema& DocumentSchema();

}  // namespace limpetrudder::detail

#endif  // CONFIG_INTERNAL_DOCUMENT_SCHEMA_H_
