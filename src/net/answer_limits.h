#ifndef NET_ANSWER_LIMITS_H_
#define NET_ANSWER_LIMITS_H_

#include <cstddef>

namespace limpetrudder {

// Bounds of the answers of servers, of the store and of other instances. A peer
// in trouble may send a head, a body, or answers that nobody asked for without
// end.

// Where the question doesn't say: the store's values and pages have one
// megabyte; what an instance passes on of a large fleet has a few.
inline constexpr std::size_t kMostBodyBytes = 16 << 20;

// Of a head with the informational answers before it: HTTP servers commonly
// take heads of 8 to 16 KB.
inline constexpr std::size_t kMostHeadBytes = 64 << 10;
inline constexpr std::size_t kMostHeadFields = 256;

// Informational answers before one, and answers to other requests, which a
// server sends at most now and then.
inline constexpr int kMostInformational = 8;
inline constexpr int kMostForeignAnswers = 8;

}  // namespace limpetrudder

#endif  // NET_ANSWER_LIMITS_H_
