#include "net/internal/response_reader.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <string_view>

#include "framework/http_status.h"
#include "net/http_text.h"
#include "net/response_limits.h"

namespace limpetrudder::detail {
namespace {

// Results of the parser's callbacks; 0 continues.
constexpr int kSkipBody = 1;
constexpr int kStopParser = -1;

constexpr std::uint64_t kNoLength = std::numeric_limits<std::uint64_t>::max();

ResponseReader* ReaderOf(http_parser* parser) {
  return static_cast<ResponseReader*>(parser->data);
}

// Returns whether `name` could name another field to a different reader.
bool HasSpace(std::string_view name) {
  return name.find_first_of(" \t") != std::string_view::npos;
}

bool IsNumber(std::string_view value) {
  value = value.substr(0, value.find_last_not_of(" \t") + 1);
  return !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

// Returns whether the headers state the length of the body in at most one way,
// and in one that is supported.
bool HasSoundFraming(const std::vector<HeaderField>& headers) {
  int statements = 0;
  for (const auto& header : headers) {
    if (HasSpace(header.name))
      return false;
    const bool length = EqualsIgnoringCase(header.name, "Content-Length");
    const bool encoding = EqualsIgnoringCase(header.name, "Transfer-Encoding");
    if ((length && !IsNumber(header.value)) ||
        (encoding && !EqualsIgnoringCase(header.value, "chunked"))) {
      return false;
    }
    statements += length || encoding ? 1 : 0;
  }
  return statements <= 1;
}

// Returns whether the head announces a body.
bool AnnouncesBody(const http_parser& parser) {
  return parser.uses_transfer_encoding != 0 ||
         (parser.content_length != kNoLength && parser.content_length > 0);
}

}  // namespace

ResponseReader::ResponseReader() {
  Begin(false, kMaxBodyBytes);
}

void ResponseReader::Begin(bool head_only, std::size_t max_body_bytes) {
  state_ = State::kReading;
  started_ = false;
  head_only_ = head_only;
  keep_alive_ = false;
  status_ = 0;
  max_body_bytes_ = max_body_bytes;
  received_bytes_ = 0;
  head_bytes_ = 0;
  informational_count_ = 0;
  body_.clear();
  BeginMessage();
}

void ResponseReader::BeginMessage() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  status_line_ = StatusLine();
  in_value_ = false;
  message_complete_ = false;
  headers_.clear();
}

std::size_t ResponseReader::Read(const char* data, std::size_t size) {
  started_ = started_ || size > 0;
  std::size_t used = 0;
  while (state_ == State::kReading && used < size)
    used += ReadMessage(data + used, size - used);
  return used;
}

std::size_t ResponseReader::ReadMessage(const char* data, std::size_t size) {
  if (!status_line_.Accept({data, size})) {
    state_ = State::kMalformed;
    return 0;
  }
  piece_ = data;
  const std::size_t used =
      http_parser_execute(&parser_, &Callbacks(), data, size);
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  if (state_ == State::kReading || state_ == State::kComplete)
    CheckFraming(data + used);
  received_bytes_ += used;
  if (state_ != State::kReading)
    return used;
  if (message_complete_) {
    BeginMessage();
    return used;
  }
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

int ResponseReader::Stop(State state) {
  state_ = state;
  headers_.clear();
  body_ = std::string();
  return kStopParser;
}

int ResponseReader::AddHeadBytes(std::size_t size) {
  head_bytes_ += size;
  if (head_bytes_ > kMaxHeadBytes || headers_.size() > kMaxHeadFields)
    return Stop(State::kTooLarge);
  return 0;
}

int ResponseReader::CheckFraming(const char* end) {
  const std::size_t received =
      received_bytes_ + static_cast<std::size_t>(end - piece_);
  const std::size_t limit =
      kMaxFramingBytes + kMaxFramingBytesPerByte * body_.size();
  return received > head_bytes_ + body_.size() + limit ? Stop(State::kTooLarge)
                                                       : 0;
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
  const int status = static_cast<int>(parser->status_code);
  reader->status_ = status;
  const bool forbids_body =
      !http_status::IsFinal(status) || status == http_status::kNoContent;
  if (!HasSoundFraming(reader->headers_) ||
      status == http_status::kSwitchingProtocols ||
      (parser->http_minor == 0 && parser->uses_transfer_encoding != 0) ||
      (forbids_body && AnnouncesBody(*parser))) {
    return reader->Stop(State::kMalformed);
  }
  reader->body_due_ =
      status == http_status::kNotModified && AnnouncesBody(*parser);
  if (reader->head_only_ || !http_status::AllowsBody(status))
    return kSkipBody;
  const bool too_long = parser->content_length != kNoLength &&
                        parser->content_length > reader->max_body_bytes_;
  return too_long ? reader->Stop(State::kTooLarge) : 0;
}

int ResponseReader::OnBody(http_parser* parser,
                           const char* data,
                           std::size_t size) {
  ResponseReader* reader = ReaderOf(parser);
  if (size > reader->max_body_bytes_ - reader->body_.size())
    return reader->Stop(State::kTooLarge);
  if (const int stop = reader->CheckFraming(data))
    return stop;
  reader->body_.append(data, size);
  return 0;
}

int ResponseReader::OnComplete(http_parser* parser) {
  ResponseReader* reader = ReaderOf(parser);
  reader->message_complete_ = true;
  if (http_status::IsFinal(reader->status_)) {
    reader->keep_alive_ =
        http_should_keep_alive(parser) != 0 && !reader->body_due_;
    reader->state_ = State::kComplete;
  } else if (++reader->informational_count_ > kMaxInformationalResponses) {
    return reader->Stop(State::kTooLarge);
  }
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
