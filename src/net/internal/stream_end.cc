#include "net/internal/stream_end.h"

#include <asio/error.hpp>

namespace limpetrudder::detail {

StreamEnd ClassifyStreamEnd(const asio::error_code& read_error,
                            const asio::error_code& write_error) {
  // A write fails with a broken pipe if the reset came after the peer's orderly
  // close, as when a server closes without having read the whole request.
  const bool write_failure_ended_stream =
      write_error && write_error != asio::error::broken_pipe;
  const asio::error_code& error =
      read_error == asio::error::eof && write_failure_ended_stream ? write_error
                                                                   : read_error;
  if (error == asio::error::eof)
    return StreamEnd::kOrderly;
  return error == asio::error::connection_reset ? StreamEnd::kReset
                                                : StreamEnd::kFailed;
}

}  // namespace limpetrudder::detail
