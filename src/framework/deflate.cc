#include "framework/deflate.h"

#include <zlib.h>

namespace limpetrudder {

std::string Deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
            reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
            Z_BEST_SPEED);
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> Inflate(std::string_view compressed,
                                   std::size_t size) {
  std::string bytes(size, '\0');
  uLongf decompressed_size = size;
  const int result = uncompress(
      reinterpret_cast<Bytef*>(bytes.data()), &decompressed_size,
      reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
  if (result != Z_OK || decompressed_size != size)
    return std::nullopt;
  return bytes;
}

}  // namespace limpetrudder
