#include "once/idempotency_key.h"

#include <vector>

#include "framework/read_number.h"

namespace limpetrudder {
namespace {

constexpr char kSeparator = '~';
constexpr std::size_t kMaxKeyBytes = 256;

std::vector<std::string_view> Split(std::string_view text) {
  std::vector<std::string_view> fields;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = text.find(kSeparator, begin);
    fields.push_back(text.substr(begin, end - begin));
    if (end == std::string_view::npos)
      return fields;
    begin = end + 1;
  }
}

}  // namespace

std::string FormatKey(const IdempotencyKey& key) {
  return key.issuer + kSeparator + key.address + kSeparator +
         std::to_string(key.incarnation) + kSeparator +
         std::to_string(key.sequence) + kSeparator +
         std::to_string(key.issued_at_ms) + kSeparator + key.signature;
}

Result<IdempotencyKey> ParseKey(std::string_view text) {
  const auto malformed = [] {
    return Failure(ResultCode::kKeyMalformed, "the key can't be read");
  };
  if (text.size() > kMaxKeyBytes)
    return malformed();
  const auto fields = Split(text);
  if (fields.size() != 6 || fields[0].empty() || fields[1].empty())
    return malformed();
  IdempotencyKey key;
  key.issuer = fields[0];
  key.address = fields[1];
  key.signature = fields[5];
  if (!ReadNumber(fields[2], &key.incarnation) ||
      !ReadNumber(fields[3], &key.sequence) ||
      !ReadNumber(fields[4], &key.issued_at_ms)) {
    return malformed();
  }
  return key;
}

}  // namespace limpetrudder
