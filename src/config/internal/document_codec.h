#ifndef CONFIG_INTERNAL_DOCUMENT_CODEC_H_
#define CONFIG_INTERNAL_DOCUMENT_CODEC_H_

#include <memory>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/config_types.h"

namespace limpetrudder::detail {

// These read parts of a document. Thread safe. Precondition: `json` conforms to
// the schema.
std::vector<DataCentre> ReadDataCentres(const nlohmann::json& json);
std::shared_ptr<const Collection> ReadCollection(const nlohmann::json& json);
std::vector<Caller> ReadCallers(const nlohmann::json& json);

// Sorts callers by token hash, as FindCaller() requires. Thread safe.
void SortByToken(std::vector<Caller>* callers);

}  // namespace limpetrudder::detail

#endif  // CONFIG_INTERNAL_DOCUMENT_CODEC_H_
