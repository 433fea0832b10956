#include "dispatch/internal/request_digest.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

#include "framework/hash.h"

namespace limpetrudder::detail {
namespace {

constexpr std::size_t kHexDigits = 32;

// In lower case. Other headers, such as those for tracing, differ between
// attempts of one caller.
constexpr std::array<std::string_view, 3> kCallerHeaders = {
    "authorization", "cookie", "x-api-key"};

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

// The length before each field keeps fields from running into one another.
void AppendField(std::string* text, std::string_view field) {
  *text += std::to_string(field.size());
  *text += ':';
  *text += field;
}

}  // namespace

std::string DigestOf(const RequestMessage& message) {
  std::string text;
  AppendField(&text, message.method);
  AppendField(&text, ToLower(message.host));
  AppendField(&text, message.target);
  for (const HeaderField& header : message.headers) {
    const std::string name = ToLower(header.name);
    if (std::find(kCallerHeaders.begin(), kCallerHeaders.end(), name) ==
        kCallerHeaders.end()) {
      continue;
    }
    AppendField(&text, name);
    AppendField(&text, header.value);
  }
  AppendField(&text, message.body);
  return Sha256Hex(text).substr(0, kHexDigits);
}

}  // namespace limpetrudder::detail
