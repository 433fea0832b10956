#ifndef NET_INTERNAL_RESPONSE_READER_H_
#define NET_INTERNAL_RESPONSE_READER_H_

#include <cstddef>
#include <string>
#include <vector>

#include <http_parser.h>

#include "dispatch/dispatch_types.h"
#include "framework/time.h"
#include "net/internal/status_line.h"

namespace limpetrudder::detail {

// Parses one HTTP/1.1 response at a time from the bytes of a connection. Skips
// informational responses. Stops with kMalformed if the status line isn't one,
// the protocol changes, or the end of the body is ambiguous, and with kTooLarge
// at the limits of net/response_limits.h. The result doesn't depend on how the
// bytes are divided. Not thread safe.
class ResponseReader {
 public:
  enum class State {
    kReading,
    kComplete,
    kMalformed,
    kTooLarge,  // The response exceeded a limit.
  };

  ResponseReader();

  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  // Starts reading the next response. Set `head_only` if it has no body.
  void Begin(bool head_only, std::size_t max_body_bytes);

  // Parses bytes and returns how many belong to the response.
  std::size_t Read(const char* data, std::size_t size);

  // Call when the peer has closed its side; this completes a response without a
  // length.
  void ReadEnd();

  State state() const { return state_; }
  // Returns the memory in bytes that the response takes so far.
  std::size_t buffered_bytes() const { return head_bytes_ + body_.capacity(); }
  bool started() const { return started_; }
  int status() const { return status_; }
  bool keep_alive() const { return keep_alive_; }
  // Returns how long the server keeps an idle connection open, or 0 if it
  // didn't announce it.
  Duration idle_timeout() const;

  const std::vector<HeaderField>& headers() const { return headers_; }
  std::vector<HeaderField> TakeHeaders() { return std::move(headers_); }
  std::string TakeBody() { return std::move(body_); }

 private:
  static int OnField(http_parser* parser, const char* data, std::size_t size);
  static int OnValue(http_parser* parser, const char* data, std::size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();
  // Counts bytes of the head. Returns the result for the parser's callback: 0
  // to continue.
  int AddHeadBytes(std::size_t size);
  // Discards the response if the bytes read up to `end`, which is in the piece
  // that is being parsed, exceed the limit for bytes that it doesn't hold.
  // Returns the result for the parser's callback.
  int CheckFraming(const char* end);
  // Discards the response. Returns the result for the parser's callback.
  int Stop(State state);
  // Starts reading a message: the response or an informational one before it.
  void BeginMessage();
  // Parses bytes of one message and returns how many belong to it.
  std::size_t ReadMessage(const char* data, std::size_t size);

  http_parser parser_{};
  StatusLine status_line_;
  State state_ = State::kReading;
  bool started_ = false;
  bool head_only_ = false;
  bool in_value_ = false;
  bool message_complete_ = false;
  bool body_due_ = false;  // A peer that is in error might send one.
  bool keep_alive_ = false;
  int status_ = 0;
  std::size_t max_body_bytes_ = 0;
  const char* piece_ = nullptr;     // The bytes that are being parsed.
  std::size_t received_bytes_ = 0;  // Before the piece.
  std::size_t head_bytes_ = 0;  // Including informational responses before it.
  int informational_count_ = 0;
  std::vector<HeaderField> headers_;
  std::string body_;
};

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_RESPONSE_READER_H_
