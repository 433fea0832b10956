// Fuzzes the decoders of untrusted input. The first byte selects the decoder,
// the rest is its input. Each input must give a result; none may end the
// process. docs/DEVELOPERS.md describes longer runs.

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "dispatch/internal/record_merge.h"
#include "net/feed_codec.h"
#include "net/forward_codec.h"
#include "net/internal/response_reader.h"
#include "net/quarantine_codec.h"
#include "platform/caller_codec.h"
#include "platform/feed_codec.h"
#include "platform/store_codec.h"
#include "platform/target_codec.h"

namespace limpetrudder {
namespace {

constexpr std::size_t kMaxBodyBytes = 4096;

std::string TakeLine(std::string_view* text) {
  const std::size_t end = std::min(text->find('\n'), text->size());
  std::string line(text->substr(0, end));
  text->remove_prefix(std::min(text->size(), end + 1));
  return line;
}

std::vector<HeaderField> TakeHeaders(std::string_view* text) {
  std::vector<HeaderField> headers;
  for (std::string line = TakeLine(text); !line.empty();
       line = TakeLine(text)) {
    const std::size_t colon = std::min(line.find(':'), line.size());
    headers.push_back(
        {line.substr(0, colon), line.substr(std::min(line.size(), colon + 1))});
  }
  return headers;
}

ServerRequest MakeRequest(std::string_view text) {
  ServerRequest request;
  request.method = TakeLine(&text);
  request.target = TakeLine(&text);
  request.path = request.target.substr(0, request.target.find('?'));
  request.query = request.target.substr(
      std::min(request.target.size(), request.path.size() + 1));
  request.headers = TakeHeaders(&text);
  request.body = std::string(text);
  return request;
}

PoolResponse MakeResponse(std::string_view text) {
  PoolResponse response;
  response.outcome = AttemptOutcome::kAnswered;
  response.status = std::atoi(TakeLine(&text).c_str());
  response.headers = TakeHeaders(&text);
  response.body = std::string(text);
  return response;
}

HttpResponse MakeHttpResponse(std::string_view text) {
  HttpResponse response;
  response.status = TransferStatus::kAnswered;
  response.http_status = 200;
  response.header = TakeLine(&text);
  response.body = std::string(text);
  return response;
}

// Feeds the bytes in chunks of 1 to 61 bytes, whose sizes follow a fixed
// sequence.
void DecodeResponse(std::string_view text) {
  detail::ResponseReader reader;
  reader.Begin(/*head_only=*/false, kMaxBodyBytes);
  std::size_t chunk_size = 1;
  while (!text.empty() &&
         reader.state() == detail::ResponseReader::State::kReading) {
    const std::size_t size = std::min(chunk_size, text.size());
    reader.Read(text.data(), size);
    text.remove_prefix(size);
    chunk_size = chunk_size * 2 % 61 + 1;
  }
  if (reader.state() == detail::ResponseReader::State::kReading)
    reader.ReadEnd();
  PoolResponse response;
  response.outcome = AttemptOutcome::kAnswered;
  response.status = reader.status();
  response.headers = reader.TakeHeaders();
  response.body = reader.TakeBody();
  DecodeProbeReply(response);
  const TargetReply reply = DecodeReply(std::move(response));
  detail::MergeGreatest({reply.body, reply.signature}, 5);
}

void DecodeStoreItem(std::string_view text) {
  const std::string key = TakeLine(&text);
  std::optional<Error> error;
  DecodeItem(key, std::string(text), &error);
}

void Decode(char decoder, std::string_view text) {
  switch (decoder) {
    case 'a':
      return DecodeResponse(text);
    case 'i':
      return DecodeStoreItem(text);
    case 's':
      DecodeFeedReply(MakeHttpResponse(text));
      DecodeLeaseReply(MakeHttpResponse(text));
      DecodeEra(MakeHttpResponse(text));
      return;
    case 'p':
      DecodePeerFeedReply(MakeHttpResponse(text));
      return;
    case 'q':
      DecodeFeedRequest(MakeRequest(text));
      return;
    case 'f':
      (void)DecodeForward(MakeRequest(text), 1);
      return;
    case 'r':
      DecodeForwardReply(MakeResponse(text));
      return;
    case 'n':
      DecodeNotices(text);
      return;
    case 't':
      DecodeReply(MakeResponse(text));
      return;
    case 'c':
      (void)DecodeCall(MakeRequest(text), 1);
      return;
    default:
      return;
  }
}

}  // namespace
}  // namespace limpetrudder

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0)
    return 0;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  limpetrudder::Decode(text.front(), text.substr(1));
  return 0;
}
