#include "framework/base64.h"

#include <openssl/evp.h>

namespace limpetrudder {

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % 4 != 0)
    return std::nullopt;
  if (text.empty())
    return std::string();
  std::string bytes(text.size() / 4 * 3, '\0');
  const int decoded =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (decoded < 0)
    return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && text[text.size() - 1 - padding] == '=')
    ++padding;
  bytes.resize(static_cast<std::size_t>(decoded) - padding);
  return bytes;
}

std::string EncodeBase64(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int encoded =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(encoded));
  return text;
}

}  // namespace limpetrudder
