#include "config/manifest.h"

#include <algorithm>
#include <utility>

#include "config/internal/document_codec.h"
#include "framework/hash.h"
#include "framework/json_schema.h"

namespace limpetrudder {
namespace {

constexpr std::size_t kCallersPerPart = 200;

void AddPart(const nlohmann::json& value, SplitDocument* split) {
  auto text = std::make_shared<const std::string>(value.dump());
  std::string name = Sha256Hex(*text);
  split->texts[name] = std::move(text);
  split->manifest.parts.push_back(std::move(name));
}

Result<nlohmann::json> ReadPart(const std::string& name,
                                const PartTexts& texts) {
  const auto found = texts.find(name);
  if (found == texts.end())
    return Failure(ResultCode::kConfigCorrupt, "part " + name + " is absent");
  if (Sha256Hex(*found->second) != name)
    return Failure(ResultCode::kConfigCorrupt, "part " + name + " is altered");
  auto json = ParseJson(*found->second);
  if (!json || !json.assume_value().is_object())
    return Failure(ResultCode::kConfigCorrupt,
                   "part " + name + " is unreadable");
  return json;
}

ChangeRecord ReadChangeRecord(const nlohmann::json& json) {
  ChangeRecord record;
  record.change_id = json.at("change_id");
  record.revision = json.at("revision");
  record.base_revision = json.at("base_revision");
  record.author = json.at("author");
  record.reason = json.at("reason");
  record.submitted_at = json.at("submitted_at");
  record.digest = json.at("digest");
  return record;
}

}  // namespace

std::string Manifest::Digest() const {
  std::string joined;
  for (const auto& part : parts)
    joined += part;
  return Sha256Hex(joined);
}

Result<SplitDocument> SplitIntoParts(const nlohmann::json& document) {
  SplitDocument split;
  AddPart({{"format", document.at("format")},
           {"data_centres", document.at("data_centres")}},
          &split);
  for (const auto& collection : document.at("collections"))
    AddPart({{"collection", collection}}, &split);
  const auto& callers = document.at("callers");
  for (std::size_t i = 0; i < callers.size(); i += kCallersPerPart) {
    const std::size_t end = std::min(i + kCallersPerPart, callers.size());
    nlohmann::json group(callers.begin() + static_cast<std::ptrdiff_t>(i),
                         callers.begin() + static_cast<std::ptrdiff_t>(end));
    AddPart({{"callers", std::move(group)}}, &split);
  }
  for (const auto& [name, text] : split.texts) {
    if (text->size() > kMaxPlatformValueBytes) {
      return Failure(ResultCode::kFieldOutOfRange,
                     "one collection or group of callers takes " +
                         std::to_string(text->size()) +
                         " bytes; at most 1000000 are allowed");
    }
  }
  return split;
}

Result<Document> DocumentAssembler::Assemble(const Manifest& manifest,
                                             const PartTexts& texts) {
  Document document;
  std::map<std::string, std::shared_ptr<const Collection>> collections_by_part;
  for (const auto& name : manifest.parts) {
    const auto known = collections_by_part_.find(name);
    if (known != collections_by_part_.end()) {
      document.collections.push_back(known->second);
      collections_by_part.insert(*known);
      continue;
    }
    BOOST_OUTCOME_TRY(json, ReadPart(name, texts));
    try {
      if (json.contains("data_centres"))
        document.data_centres =
            detail::ReadDataCentres(json.at("data_centres"));
      if (json.contains("collection")) {
        auto collection = detail::ReadCollection(json.at("collection"));
        document.collections.push_back(collection);
        collections_by_part[name] = std::move(collection);
      }
      if (json.contains("callers")) {
        for (auto& caller : detail::ReadCallers(json.at("callers")))
          document.callers.push_back(std::move(caller));
      }
    } catch (const nlohmann::json::exception& error) {
      return Failure(ResultCode::kConfigCorrupt,
                     "part " + name + ": " + error.what());
    }
  }
  detail::SortByToken(&document.callers);
  collections_by_part_ = std::move(collections_by_part);
  return document;
}

Result<nlohmann::json> JoinParts(const Manifest& manifest,
                                 const PartTexts& texts) {
  nlohmann::json document = {{"collections", nlohmann::json::array()},
                             {"callers", nlohmann::json::array()}};
  for (const auto& name : manifest.parts) {
    BOOST_OUTCOME_TRY(part, ReadPart(name, texts));
    if (part.contains("format")) {
      document["format"] = part["format"];
      document["data_centres"] = part["data_centres"];
    }
    if (part.contains("collection"))
      document["collections"].push_back(std::move(part["collection"]));
    if (part.contains("callers")) {
      for (auto& caller : part["callers"])
        document["callers"].push_back(std::move(caller));
    }
  }
  return document;
}

nlohmann::json WriteManifest(const Manifest& manifest) {
  return {{"revision", manifest.revision}, {"parts", manifest.parts}};
}

Result<Manifest> ReadManifest(const nlohmann::json& json) {
  try {
    return Manifest{json.at("revision"),
                    json.at("parts").get<std::vector<std::string>>()};
  } catch (const nlohmann::json::exception& error) {
    return Failure(ResultCode::kConfigCorrupt, error.what());
  }
}

nlohmann::json WriteChangeRecord(const ChangeRecord& record) {
  return {{"change_id", record.change_id},
          {"revision", record.revision},
          {"base_revision", record.base_revision},
          {"author", record.author},
          {"reason", record.reason},
          {"submitted_at", record.submitted_at},
          {"digest", record.digest}};
}

std::string WriteRoot(const Root& root) {
  nlohmann::json json = WriteManifest(root.manifest);
  json["dropped"] = nlohmann::json::array();
  for (const auto& part : root.dropped)
    json["dropped"].push_back({{"name", part.name}, {"at", part.dropped_at}});
  json["history"] = nlohmann::json::array();
  for (const auto& record : root.history)
    json["history"].push_back(WriteChangeRecord(record));
  return json.dump();
}

Result<Root> ReadRoot(std::string_view text) {
  auto json = ParseJson(text);
  if (!json)
    return Failure(ResultCode::kConfigCorrupt, "the root is not JSON");
  Root root;
  BOOST_OUTCOME_TRY(manifest, ReadManifest(json.assume_value()));
  root.manifest = std::move(manifest);
  try {
    for (const auto& entry : json.assume_value().at("dropped"))
      root.dropped.push_back({entry.at("name"), entry.at("at")});
    for (const auto& entry : json.assume_value().at("history"))
      root.history.push_back(ReadChangeRecord(entry));
  } catch (const nlohmann::json::exception& error) {
    return Failure(ResultCode::kConfigCorrupt, error.what());
  }
  return root;
}

}  // namespace limpetrudder
