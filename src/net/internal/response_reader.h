#ifndef NET_INTERNAL_RESPONSE_READER_H_
#define NET_INTERNAL_RESPONSE_READER_H_

#include <cstddef>
#include <string>
#include <vector>

#include <http_parser.h>

#include "dispatch/dispatch_types.h"
#include "framework/time.h"

namespace limpetrudder::detail {

// Reads one HTTP/1.1 answer at a time from the bytes of a connection.
// Informational answers are skipped. An answer that goes on without end is
// given up at the limits of net/response_limits.h. Not thread safe.
class ResponseReader {
 public:
  enum class State {
    kReading,
    kComplete,
    kMalformed,
    kTooLarge,  // It went on beyond a limit.
  };

  ResponseReader();

  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  // Expects the next answer; `head_only` ones have no body.
  void Begin(bool head_only, std::size_t max_body_bytes);

  // Reads bytes; returns how many belong to the answer. Those behind it don't.
  std::size_t Read(const char* data, std::size_t size);

  // The peer closed its side: ends an answer that has no length.
  void ReadEnd();

  State state() const { return state_; }
  // The memory that the answer takes so far.
  std::size_t held_bytes() const { return head_bytes_ + body_.capacity(); }
  bool started() const { return started_; }
  int status() const { return status_; }
  bool keep_alive() const { return keep_alive_; }
  // How long the server keeps the connection idle; 0: it doesn't say.
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
  // Counts bytes of the head. Returns what a callback has to: 0 to go on.
  int CountHead(std::size_t size);
  int StopAsTooLarge();

  http_parser parser_{};
  State state_ = State::kReading;
  bool started_ = false;
  bool head_only_ = false;
  bool in_value_ = false;
  bool keep_alive_ = false;
  int status_ = 0;
  std::size_t max_body_bytes_ = 0;
  std::size_t head_bytes_ = 0;  // With informational answers before it.
  int informational_ = 0;
  std::vector<HeaderField> headers_;
  std::string body_;
};

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_RESPONSE_READER_H_
