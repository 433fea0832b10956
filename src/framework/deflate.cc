#include "framework/deflate.h"

#include <zlib.h>

namespace limpetrudder {

std::string Deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string packed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
            reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
            Z_BEST_SPEED);
  packed.resize(size);
  return packed;
}

std::optional<std::string> Inflate(std::string_view packed, std::size_t size) {
  std::string bytes(size, '\0');
  uLongf restored = size;
  const int result =
      uncompress(reinterpret_cast<Bytef*>(bytes.data()), &restored,
                 reinterpret_cast<const Bytef*>(packed.data()), packed.size());
  if (result != Z_OK || restored != size)
    return std::nullopt;
  return bytes;
}

}  // namespace limpetrudder
