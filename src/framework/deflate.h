#ifndef FRAMEWORK_DEFLATE_H_
#define FRAMEWORK_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace limpetrudder {

// Compresses into zlib's format (RFC 1950), optimised for speed over size.
// Thread safe.
std::string Deflate(std::string_view bytes);

// Decompresses what Deflate() made of `size` bytes. Returns nothing if
// `compressed` is invalid or holds another number of bytes. Thread safe.
std::optional<std::string> Inflate(std::string_view compressed,
                                   std::size_t size);

}  // namespace limpetrudder

#endif  // FRAMEWORK_DEFLATE_H_
