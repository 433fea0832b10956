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

// The largest value that the platform's key-value service takes, in bytes.
inline constexpr std::size_t kMaxPlatformValueBytes = 1'000'000;

// How many audit entries the root keeps.
inline constexpr std::size_t kMaxHistory = 100;

// How many revisions a part stays stored after the last one that used it, so
// that an instance that is still pulling finds it.
inline constexpr std::uint64_t kRetainedRevisions = 4;

// The names of the parts that make up one revision. A part is named by the
// SHA-256 of its text, so a change rewrites only the parts that it touches.
struct Manifest {
  std::uint64_t revision = 0;
  std::vector<std::string> parts;

  // Identifies the content, whatever its revision.
  std::string Digest() const;
};

// Part texts by name.
using PartTexts = std::map<std::string, std::shared_ptr<const std::string>>;

// A document cut into parts, ready to be stored.
struct SplitDocument {
  Manifest manifest;
  PartTexts texts;
};

// Cuts a checked document into a head, one part for each collection and one for
// each group of callers. Thread safe.
// Errors: kFieldOutOfRange if one collection exceeds a platform value.
Result<SplitDocument> SplitIntoParts(const nlohmann::json& document);

// Puts a document together again. Reuses the collections of `previous` whose
// parts are unchanged. Thread safe.
// Errors: kConfigCorrupt if a part is absent, altered or unreadable.
class DocumentAssembler {
 public:
  // Reads the document that `manifest` names. Not thread safe.
  Result<Document> Assemble(const Manifest& manifest, const PartTexts& texts);

 private:
  std::map<std::string, std::shared_ptr<const Collection>> parsed_;
};

// Joins the part texts into the document's JSON. Thread safe.
// Errors: kConfigCorrupt.
Result<nlohmann::json> JoinParts(const Manifest& manifest,
                                 const PartTexts& texts);

// A part that is stored but no longer in force.
struct DroppedPart {
  std::string name;
  std::uint64_t dropped_at = 0;  // The first revision without it.
};

// The value stored under the root key: the manifest in force, the parts that
// wait to be erased, and the audit trail, newest last.
struct Root {
  Manifest manifest;
  std::vector<DroppedPart> dropped;
  std::vector<ChangeRecord> history;
};

// Thread safe.
std::string WriteRoot(const Root& root);

// Thread safe. Errors: kConfigCorrupt.
Result<Root> ReadRoot(std::string_view text);

// Thread safe.
nlohmann::json WriteManifest(const Manifest& manifest);

// Thread safe. Errors: kConfigCorrupt.
Result<Manifest> ReadManifest(const nlohmann::json& json);

// Thread safe.
nlohmann::json WriteChangeRecord(const ChangeRecord& record);

}  // namespace limpetrudder

#endif  // CONFIG_MANIFEST_H_
