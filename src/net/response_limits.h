#ifndef NET_RESPONSE_LIMITS_H_
#define NET_RESPONSE_LIMITS_H_

#include <cstddef>

namespace limpetrudder {

// Limits on the HTTP responses of servers, of the store and of other instances.
// A faulty peer may send an endless head or body, or responses to requests that
// were never made.

// Applies where the request sets no limit. The store's values and pages take up
// to one megabyte; the feed response of an instance in a large fleet takes a
// few megabytes.
inline constexpr std::size_t kMaxBodyBytes = 16 << 20;

// Limits on a response head together with the informational responses before
// it. HTTP servers commonly accept heads of 8 to 16 KB.
inline constexpr std::size_t kMaxHeadBytes = 64 << 10;
inline constexpr std::size_t kMaxHeadFields = 256;

// Limit on the bytes of a response that its head and body don't hold, such as
// line ends, reason phrases and chunk extensions: kMaxFramingBytes, and
// kMaxFramingBytesPerByte for each byte of its body.
inline constexpr std::size_t kMaxFramingBytes = 64 << 10;
inline constexpr std::size_t kMaxFramingBytesPerByte = 16;

// Limits on the informational responses and on the responses to other requests
// that precede a response. A server sends either only occasionally.
inline constexpr int kMaxInformationalResponses = 8;
inline constexpr int kMaxForeignResponses = 8;

}  // namespace limpetrudder

#endif  // NET_RESPONSE_LIMITS_H_
