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
// Informational answers are skipped. Not thread safe.
class ResponseReader {
 public:
  enum class State {
    kReading,
    kComplete,
    kMalformed,
  };

  ResponseReader();

  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  // Expects the next answer; `head_only` ones have no body.
  void Begin(bool head_only);

  // Reads bytes; returns how many belong to the answer. Those behind it don't.
  std::size_t Read(const char* data, std::size_t size);

  // The peer closed its side: ends an answer that has no length.
  void ReadEnd();

  State state() const { return state_; }
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

  http_parser parser_{};
  State state_ = State::kReading;
  bool started_ = false;
  bool head_only_ = false;
  bool in_value_ = false;
  bool keep_alive_ = false;
  int status_ = 0;
  std::vector<HeaderField> headers_;
  std::string body_;
};

}  // namespace limpetrudder::detail

#endif  // NET_INTERNAL_RESPONSE_READER_H_
