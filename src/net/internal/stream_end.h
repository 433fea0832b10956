#ifndef NET_INTERNAL_STREAM_END_H_
#define NET_INTERNAL_STREAM_END_H_

#include <asio/error_code.hpp>

#include "framework/enum_names.h"

namespace limpetrudder::detail {

// How the stream of bytes from a peer ended.
enum class StreamEnd {
  kOrderly,  // The peer closed its side, and everything it sent has arrived.
  kReset,    // The peer reset the connection; bytes may be missing.
  kFailed,   // The connection failed, as by a timeout; bytes may be missing.
};

inline constexpr EnumNames<StreamEnd, 3> kStreamEndNames{{
    {StreamEnd::kOrderly, "orderly"},
    {StreamEnd::kReset, "reset"},
    {StreamEnd::kFailed, "failed"},
}};

// Returns how a stream ended, given the error of the read that found its end
// and that of an earlier write, if one failed. Both are needed since the kernel
// reports the failure of a connection to one call only: if that was the write,
// the read finds an end of file. Thread safe.
StreamEnd ClassifyStreamEnd(const asio::error_code& read_error,
                            const asio::error_code& write_error);

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_STREAM_END_H_
