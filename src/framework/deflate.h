#ifndef FRAMEWORK_DEFLATE_H_
#define FRAMEWORK_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace limpetrudder {

// Compresses with zlib's format (RFC 1950), for speed rather than size.
// Thread safe.
std::string Deflate(std::string_view bytes);

// Restores the `size` bytes from which Deflate() made `packed`; nothing if it
// isn't that. Thread safe.
std::optional<std::string> Inflate(std::string_view packed, std::size_t size);

}  // namespace limpetrudder

#endif  // FRAMEWORK_DEFLATE_H_
