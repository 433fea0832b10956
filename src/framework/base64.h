#ifndef FRAMEWORK_BASE64_H_
#define FRAMEWORK_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace limpetrudder {

// Decodes standard base64 with padding; returns nothing if `text` is invalid.
// Thread safe.
std::optional<std::string> DecodeBase64(std::string_view text);

// Encodes as standard base64 with padding. Thread safe.
std::string EncodeBase64(std::string_view bytes);

}  // namespace limpetrudder

#endif  // FRAMEWORK_BASE64_H_
