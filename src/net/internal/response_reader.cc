#include "net/internal/response_reader.h"

#include <charconv>
#include <limits>
#include <string_view>

#include "net/http_text.h"
#include "net/response_limits.h"

namespace limpetrudder::detail {
namespace {

constexpr unsigned kFirstFinalStatus = 200;

ResponseReader* ReaderOf(http_parser* parser) {
  return static_cast<ResponseReader*>(parser->data);
}

}  // namespace

ResponseReader::ResponseReader() {
  Begin(false, kMaxBodyBytes);
}

void ResponseReader::Begin(bool head_only, std::size_t max_body_bytes) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  state_ = State::kReading;
  started_ = false;
  head_only_ = head_only;
  in_value_ = false;
  keep_alive_ = false;
  status_ = 0;
  max_body_bytes_ = max_body_bytes;
  head_bytes_ = 0;
  informational_count_ = 0;
  headers_.clear();
  body_.clear();
}

std::size_t ResponseReader::Read(const char* data, std::size_t size) {
  started_ = started_ || size > 0;
  const std::size_t used =
      http_parser_execute(&parser_, &Callbacks(), data, size);
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  if (state_ != State::kReading)
    return used;
  // NOTE The parser itself limits parts that it doesn't pass to callbacks, such
  // as the status line.
  if (error == HPE_HEADER_OVERFLOW)
    state_ = State::kTooLarge;
  else if (error != HPE_OK || parser_.upgrade != 0)
    state_ = State::kMalformed;
  return used;
}

void ResponseReader::ReadEnd() {
  http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  if (state_ != State::kComplete)
    state_ = State::kMalformed;
  keep_alive_ = false;
}

Duration ResponseReader::idle_timeout() const {
  for (const auto& header : headers_) {
    if (!EqualsIgnoringCase(header.name, "Keep-Alive"))
      continue;
    constexpr std::string_view kTimeout = "timeout=";
    const std::size_t at = header.value.find(kTimeout);
    if (at == std::string::npos)
      return Duration(0);
    int seconds = 0;
    const char* begin = header.value.data() + at + kTimeout.size();
    std::from_chars(begin, header.value.data() + header.value.size(), seconds);
    return Seconds(seconds);
  }
  return Duration(0);
}

int ResponseReader::StopAsTooLarge() {
  state_ = State::kTooLarge;
  headers_.clear();
  body_ = std::string();
  return -1;
}

int ResponseReader::AddHeadBytes(std::size_t size) {
  head_bytes_ += size;
  if (head_bytes_ > kMaxHeadBytes || headers_.size() > kMaxHeadFields)
    return StopAsTooLarge();
  return 0;
}

int ResponseReader::OnField(http_parser* parser,
                            const char* data,
                            std::size_t size) {
  ResponseReader* reader = ReaderOf(parser);
  if (reader->headers_.empty() || reader->in_value_)
    reader->headers_.emplace_back();
  reader->in_value_ = false;
  reader->headers_.back().name.append(data, size);
  return reader->AddHeadBytes(size);
}

int ResponseReader::OnValue(http_parser* parser,
                            const char* data,
                            std::size_t size) {
  ResponseReader* reader = ReaderOf(parser);
  reader->in_value_ = true;
  reader->headers_.back().value.append(data, size);
  return reader->AddHeadBytes(size);
}

int ResponseReader::OnHeadersComplete(http_parser* parser) {
  ResponseReader* reader = ReaderOf(parser);
  reader->status_ = static_cast<int>(parser->status_code);
  if (reader->head_only_)
    return 1;
  constexpr auto kNoLength = std::numeric_limits<std::uint64_t>::max();
  const bool too_long = parser->content_length != kNoLength &&
                        parser->content_length > reader->max_body_bytes_;
  return too_long ? reader->StopAsTooLarge() : 0;
}

int ResponseReader::OnBody(http_parser* parser,
                           const char* data,
                           std::size_t size) {
  ResponseReader* reader = ReaderOf(parser);
  if (size > reader->max_body_bytes_ - reader->body_.size())
    return reader->StopAsTooLarge();
  reader->body_.append(data, size);
  return 0;
}

int ResponseReader::OnComplete(http_parser* parser) {
  ResponseReader* reader = ReaderOf(parser);
  if (parser->status_code < kFirstFinalStatus) {
    reader->headers_.clear();
    reader->in_value_ = false;
    return ++reader->informational_count_ > kMaxInformationalResponses
               ? reader->StopAsTooLarge()
               : 0;
  }
  reader->keep_alive_ = http_should_keep_alive(parser) != 0;
  reader->state_ = State::kComplete;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& ResponseReader::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_header_field = OnField;
    callbacks.on_header_value = OnValue;
    callbacks.on_headers_complete = OnHeadersComplete;
    callbacks.on_body = OnBody;
    callbacks.on_message_complete = OnComplete;
    return callbacks;
  }();
  return settings;
}

}  // namespace limpetrudder::detail
