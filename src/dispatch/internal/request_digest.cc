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

// Differs from the name of each of these headers.
constexpr std::string_view kAccountField = "account";

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

void AppendCallerHeaders(std::string* text,
                         const std::vector<HeaderField>& headers) {
  for (const HeaderField& header : headers) {
    const std::string name = ToLower(header.name);
    if (std::find(kCallerHeaders.begin(), kCallerHeaders.end(), name) ==
        kCallerHeaders.end()) {
      continue;
    }
    AppendField(text, name);
    AppendField(text, header.value);
  }
}

}  // namespace

std::string DigestOf(const RequestMessage& message,
                     const std::string& account) {
  std::string text;
  AppendField(&text, message.method);
  AppendField(&text, ToLower(message.host));
  AppendField(&text, message.target);
  // In this order, the digest is the same at an instance to which the call was
  // forwarded, where they are all among the headers.
  AppendCallerHeaders(&text, message.headers);
  AppendCallerHeaders(&text, message.credentials);
  if (!account.empty()) {
    AppendField(&text, kAccountField);
    AppendField(&text, account);
  }
  AppendField(&text, message.body);
  return Sha256Hex(text).substr(0, kHexDigits);
}

}  // namespace limpetrudder::detail
