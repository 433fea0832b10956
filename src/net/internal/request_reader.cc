#include "net/internal/request_reader.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace limpetrudder::detail {
namespace {

constexpr std::size_t kFirstBodyBytes = 256 << 10;

RequestReader* ReaderOf(http_parser* parser) {
  return static_cast<RequestReader*>(parser->data);
}

}  // namespace

RequestReader::RequestReader() {
  Begin();
}

void RequestReader::Begin() {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  state_ = State::kEmpty;
  in_value_ = false;
  keep_alive_ = false;
  empty_line_bytes_ = 0;
  head_bytes_ = 0;
  is_chunked_ = false;
  chunked_bytes_ = 0;
  target_ = std::string();
  headers_ = std::vector<HeaderField>();
  body_ = std::string();
}

std::size_t RequestReader::Read(const char* data,
                                std::size_t size,
                                const RequestSizeLimits& limits) {
  std::size_t used = 0;
  if (state_ == State::kEmpty) {
    used = SkipEmptyLines(data, size);
    if (used == size || state_ != State::kEmpty)
      return used;
    limits_ = limits;
    state_ = State::kHead;
  }
  used += Parse(data + used, size - used);
  // The parser stops where a chunked body begins.
  if (state_ == State::kBody && HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
    is_chunked_ = true;
    used += Parse(data + used, size - used);
  }
  return used;
}

std::size_t RequestReader::Parse(const char* data, std::size_t size) {
  const std::size_t parsed =
      http_parser_execute(&parser_, &Callbacks(), data, size);
  if (is_chunked_)
    CountChunkBytes(parsed);
  if (state_ != State::kHead && state_ != State::kBody)
    return parsed;
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  // NOTE The parser itself limits parts that it doesn't pass to callbacks.
  if (error == HPE_HEADER_OVERFLOW)
    Stop(state_ == State::kHead ? State::kHeadTooLarge : State::kBodyTooLarge);
  else if (error != HPE_OK && error != HPE_PAUSED)
    Stop(State::kMalformed);
  return parsed;
}

void RequestReader::CountChunkBytes(std::size_t size) {
  chunked_bytes_ += size;
  if (state_ == State::kBody &&
      chunked_bytes_ - body_.size() >
          limits_.head + kMaxChunkBytesPerByte * body_.size())
    Stop(State::kBodyTooLarge);
}

std::size_t RequestReader::SkipEmptyLines(const char* data, std::size_t size) {
  std::size_t skipped = 0;
  while (skipped < size && (data[skipped] == '\r' || data[skipped] == '\n'))
    ++skipped;
  empty_line_bytes_ += skipped;
  if (empty_line_bytes_ > kMaxEmptyLineBytes)
    Stop(State::kHeadTooLarge);
  return skipped;
}

std::size_t RequestReader::held_bytes() const {
  return head_bytes_ + headers_.capacity() * sizeof(HeaderField) +
         body_.capacity();
}

const char* RequestReader::method() const {
  return http_method_str(static_cast<http_method>(parser_.method));
}

int RequestReader::Stop(State state) {
  state_ = state;
  target_ = std::string();
  headers_ = std::vector<HeaderField>();
  body_ = std::string();
  return -1;
}

int RequestReader::AddHeadBytes(std::size_t size) {
  head_bytes_ += size;
  return head_bytes_ > limits_.head
             ? Stop(state_ == State::kHead ? State::kHeadTooLarge
                                           : State::kBodyTooLarge)
             : 0;
}

int RequestReader::OnTarget(http_parser* parser,
                            const char* data,
                            std::size_t size) {
  RequestReader* reader = ReaderOf(parser);
  if (const int stop = reader->AddHeadBytes(size))
    return stop;
  reader->target_.append(data, size);
  return 0;
}

int RequestReader::OnField(http_parser* parser,
                           const char* data,
                           std::size_t size) {
  RequestReader* reader = ReaderOf(parser);
  if (const int stop = reader->AddHeadBytes(size))
    return stop;
  // Fields after a chunked body are counted and left out.
  if (reader->state_ != State::kHead)
    return 0;
  if (reader->headers_.empty() || reader->in_value_)
    reader->headers_.emplace_back();
  reader->in_value_ = false;
  reader->headers_.back().name.append(data, size);
  return 0;
}

int RequestReader::OnValue(http_parser* parser,
                           const char* data,
                           std::size_t size) {
  RequestReader* reader = ReaderOf(parser);
  if (const int stop = reader->AddHeadBytes(size))
    return stop;
  if (reader->state_ != State::kHead)
    return 0;
  reader->in_value_ = true;
  reader->headers_.back().value.append(data, size);
  return 0;
}

int RequestReader::OnHeadersComplete(http_parser* parser) {
  RequestReader* reader = ReaderOf(parser);
  constexpr auto kNoLength = std::numeric_limits<std::uint64_t>::max();
  if (parser->content_length != kNoLength &&
      parser->content_length > reader->limits_.body)
    return reader->Stop(State::kBodyTooLarge);
  reader->state_ = State::kBody;
  if ((parser->flags & F_CHUNKED) != 0)
    http_parser_pause(parser, 1);
  return 0;
}

int RequestReader::OnBody(http_parser* parser,
                          const char* data,
                          std::size_t size) {
  RequestReader* reader = ReaderOf(parser);
  if (size > reader->limits_.body - reader->body_.size())
    return reader->Stop(State::kBodyTooLarge);
  reader->MakeRoom(reader->body_.size() + size);
  reader->body_.append(data, size);
  return 0;
}

void RequestReader::MakeRoom(std::size_t size) {
  if (size <= body_.capacity())
    return;
  // The parser counts what is still to come.
  const std::size_t most =
      is_chunked_ ? limits_.body : size + parser_.content_length;
  // Announced bodies of an ordinary size aren't copied again as they grow.
  const std::size_t first = is_chunked_ ? 0 : kFirstBodyBytes;
  // NOTE reserve() would double the capacity of a string that isn't new.
  std::string larger;
  larger.reserve(
      std::max(size, std::min(std::max(2 * body_.capacity(), first), most)));
  larger.append(body_);
  body_ = std::move(larger);
}

int RequestReader::OnComplete(http_parser* parser) {
  RequestReader* reader = ReaderOf(parser);
  reader->keep_alive_ = http_should_keep_alive(parser) != 0;
  reader->state_ = State::kComplete;
  // NOTE A request to switch protocols is served like any other one; without
  // the pause the parser would go on with the bytes after it.
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& RequestReader::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = OnTarget;
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
