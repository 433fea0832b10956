#ifndef NET_INTERNAL_REQUEST_READER_H_
#define NET_INTERNAL_REQUEST_READER_H_

#include <cstddef>
#include <string>
#include <vector>

#include <http_parser.h>

#include "dispatch/dispatch_types.h"

namespace limpetrudder::detail {

// The size limits of one request in bytes.
struct RequestSizeLimits {
  // Of the target, and names and values of all headers.
  std::size_t head = 0;
  std::size_t body = 0;
};

// Parses one HTTP/1.1 request at a time from the bytes of a connection, and
// stops at the byte that exceeds a limit. Beside the limits of
// RequestSizeLimits it bounds what a request doesn't need: empty lines before
// it, and what the chunks of a body take beyond their data. Not thread safe.
class RequestReader {
 public:
  enum class State {
    kEmpty,  // No byte of a request was read, at most empty lines.
    kHead,
    kBody,
    kComplete,
    kMalformed,
    kHeadTooLarge,
    kBodyTooLarge,
  };

  // Empty lines before a request, in bytes.
  static constexpr std::size_t kMaxEmptyLineBytes = 1024;
  // What chunks may take beyond their data: this many bytes for each byte of
  // data, and the limit of a head in all.
  static constexpr std::size_t kMaxChunkBytesPerByte = 16;

  RequestReader();

  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Prepares for the next request.
  void Begin();

  // Parses bytes and returns how many belong to the request; all in states
  // other than kComplete. The first call for a request sets its limits. Call
  // only in the states kEmpty, kHead and kBody.
  std::size_t Read(const char* data,
                   std::size_t size,
                   const RequestSizeLimits& limits);

  State state() const { return state_; }
  // Whether the client may send another request after this one.
  bool keep_alive() const { return keep_alive_; }
  bool is_http_1_0() const {
    return parser_.http_major == 1 && parser_.http_minor == 0;
  }
  // Returns the memory in bytes that the request takes so far.
  std::size_t held_bytes() const;

  const char* method() const;
  const std::string& target() const { return target_; }
  // Without those that follow a chunked body.
  const std::vector<HeaderField>& headers() const { return headers_; }
  std::vector<HeaderField> TakeHeaders() { return std::move(headers_); }
  std::string TakeBody() { return std::move(body_); }

 private:
  static int OnTarget(http_parser* parser, const char* data, std::size_t size);
  static int OnField(http_parser* parser, const char* data, std::size_t size);
  static int OnValue(http_parser* parser, const char* data, std::size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();
  std::size_t Parse(const char* data, std::size_t size);
  void CountChunkBytes(std::size_t size);
  // Reserves memory for a body of `size` bytes and some that may follow.
  void MakeRoom(std::size_t size);
  std::size_t SkipEmptyLines(const char* data, std::size_t size);
  // Counts bytes of the head. Returns the result for the parser's callback: 0
  // to continue.
  int AddHeadBytes(std::size_t size);
  int Stop(State state);

  http_parser parser_{};
  State state_ = State::kEmpty;
  RequestSizeLimits limits_;
  bool in_value_ = false;
  bool keep_alive_ = false;
  std::size_t empty_line_bytes_ = 0;
  std::size_t head_bytes_ = 0;
  bool is_chunked_ = false;
  std::size_t chunked_bytes_ = 0;  // Of the body with its chunks' heads.
  std::string target_;
  std::vector<HeaderField> headers_;
  std::string body_;
};

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_REQUEST_READER_H_
