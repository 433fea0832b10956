#ifndef CONFIG_MANIFEST_H_
#define CONFIG_MANIFEST_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/config_types.h"
#include "framework/error.h"

namespace limpetrudder {

// The largest value that the platform's key-value service accepts, in bytes.
inline constexpr std::size_t kMaxPlatformValueBytes = 1'000'000;

// How many audit entries the root keeps.
inline constexpr std::size_t kMaxHistory = 100;

// How many revisions a part stays stored after the last revision that uses it,
// so that an instance that is still pulling finds it.
inline constexpr std::uint64_t kRetainedRevisions = 4;

// The names of the parts that make up one revision. A part is named by the
// SHA-256 of its text, so a change rewrites only the parts that it affects.
struct Manifest {
  std::uint64_t revision = 0;
  std::vector<std::string> parts;

  // Returns the SHA-256 of the joined part names. It identifies the content
  // independently of the revision.
  std::string Digest() const;
};

// Part texts by name.
using PartTexts = std::map<std::string, std::shared_ptr<const std::string>>;

// A document split into parts, ready to be stored.
struct SplitDocument {
  Manifest manifest;
  PartTexts texts;
};

// Splits a validated document into one part with the format and the data
// centres, one part for each collection and one for each group of callers.
// Thread safe. Errors: kFieldOutOfRange if a part is larger than
// kMaxPlatformValueBytes.
Result<SplitDocument> SplitIntoParts(const nlohmann::json& document);

// Reads documents from their parts. Keeps the collections of the last document
// and reuses those whose parts are unchanged. Not thread safe.
class DocumentAssembler {
 public:
  // Reads the document whose parts `manifest` names.
  // Errors: kConfigCorrupt if a part is absent, altered or unreadable.
  Result<Document> Assemble(const Manifest& manifest, const PartTexts& texts);

 private:
  std::map<std::string, std::shared_ptr<const Collection>> collections_by_part_;
};

// Joins the part texts into the document's JSON. Thread safe.
// Errors: kConfigCorrupt if a part is absent, altered or unreadable.
Result<nlohmann::json> JoinParts(const Manifest& manifest,
                                 const PartTexts& texts);

// A part that is still stored but not part of the manifest in force.
struct DroppedPart {
  std::string name;
  std::uint64_t dropped_at = 0;  // The first revision without it.
};

// The value stored under kRootKey: the manifest in force, the parts to be
// erased later, and the audit trail, newest last.
struct Root {
  Manifest manifest;
  std::vector<DroppedPart> dropped;
  std::vector<ChangeRecord> history;
};

// Returns `root` as JSON text. Thread safe.
std::string WriteRoot(const Root& root);

// Reads the text that WriteRoot() returns. Thread safe.
// Errors: kConfigCorrupt.
Result<Root> ReadRoot(std::string_view text);

// Returns `manifest` as JSON. Thread safe.
nlohmann::json WriteManifest(const Manifest& manifest);

// Reads the JSON that WriteManifest() returns. Thread safe.
// Errors: kConfigCorrupt.
Result<Manifest> ReadManifest(const nlohmann::json& json);

// Returns `record` as JSON. Thread safe.
nlohmann::json WriteChangeRecord(const ChangeRecord& record);

}  // namespace limpetrudder

#endif  // CONFIG_MANIFEST_H_
