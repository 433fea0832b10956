#ifndef NET_RESPONSE_LIMITS_H_
#define NET_RESPONSE_LIMITS_H_

#include <cstddef>

namespace limpetrudder {

// Bounds of the answers of servers, of the store and of other instances. A peer
// in trouble may send a head, a body, or answers that nobody asked for without
// end.

// Where the question doesn't say: the store's values and pages have one
// megabyte; what an instance passes on of a large fleet has a few.
inline constexpr std::size_t kMaxBodyBytes = 16 << 20;

// Of a head with the informational answers before it: HTTP servers commonly
// take heads of 8 to 16 KB.
inline constexpr std::size_t kMaxHeadBytes = 64 << 10;
inline constexpr std::size_t kMaxHeadFields = 256;

// Informational answers before one, and answers to other requests, which a
// server sends at most now and then.
inline constexpr int kMaxInformationalResponses = 8;
inline constexpr int kMaxForeignResponses = 8;

}  // namespace limpetrudder

#endif  // NET_RESPONSE_LIMITS_H_
