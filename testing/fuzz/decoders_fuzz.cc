// Fuzzes the decoders of untrusted input, and what is kept of it. The first
// byte selects the decoder, the rest is its input. Each input must give a
// result; none may end the process, which is also how a decoder reports a
// result that mustn't be, or have more memory kept than the limits allow.
// docs/DEVELOPERS.md describes longer runs.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "discovery/discovery_engine.h"
#include "dispatch/internal/record_merge.h"
#include "framework/http_status.h"
#include "net/feed_codec.h"
#include "net/feed_encoder.h"
#include "net/forward_codec.h"
#include "net/http_text.h"
#include "net/internal/echo_history.h"
#include "net/internal/response_reader.h"
#include "net/quarantine_codec.h"
#include "platform/caller_codec.h"
#include "platform/feed_codec.h"
#include "platform/store_codec.h"
#include "platform/target_codec.h"

namespace limpetrudder {
namespace {

constexpr std::size_t kMaxBodyBytes = 4096;
constexpr int kMaxWrites = 24;

void Require(bool condition, const char* what) {
  if (condition)
    return;
  std::fprintf(stderr, "violated: %s\n", what);
  std::abort();
}

void Require(bool condition) {
  Require(condition, "a condition");
}

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

// Passes a server's answer on. None of its headers may end the line.
void EncodeAnswer(TargetReply reply) {
  CallReply call;
  call.from_server = true;
  call.status = reply.status;
  call.headers = std::move(reply.headers);
  call.body = std::move(reply.body);
  const ServerResponse response =
      EncodeReply(std::move(call), CallRecord(), /*close=*/false);
  for (const auto& header : response.headers) {
    Require(
        (header.name + header.value).find_first_of("\r\n") == std::string::npos,
        "a header is one line");
  }
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
  TargetReply reply = DecodeReply(std::move(response));
  detail::MergeGreatest({reply.body, reply.signature}, 5);
  EncodeAnswer(std::move(reply));
}

// A response that was read from a connection, and whose it is.
struct ReadResponse {
  detail::ResponseReader::State state{};
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  detail::ResponseOwner owner{};

  bool operator==(const ReadResponse&) const = default;
};

ReadResponse TakeResponse(detail::ResponseReader* reader) {
  ReadResponse response;
  response.state = reader->state();
  if (response.state != detail::ResponseReader::State::kComplete)
    return response;
  response.status = reader->status();
  for (auto& header : reader->TakeHeaders())
    response.headers.emplace_back(header.name, header.value);
  response.body = reader->TakeBody();
  return response;
}

// Reads a server's responses to requests with the ids "1", "2" and so on, from
// bytes that come in pieces of 1 to `max_piece` bytes.
std::vector<ReadResponse> ReadConnection(std::string_view text,
                                         std::size_t max_piece) {
  std::vector<ReadResponse> responses;
  detail::EchoHistory history;
  bool echoed = false;
  std::size_t request = 1;
  detail::ResponseReader reader;
  reader.Begin(/*head_only=*/false, kMaxBodyBytes);
  std::uint32_t state = 1;
  while (!text.empty()) {
    state = state * 1664525 + 1013904223;
    std::string_view piece =
        text.substr(0, 1 + (state >> 16) % std::max<std::size_t>(max_piece, 1));
    text.remove_prefix(piece.size());
    while (!piece.empty()) {
      piece.remove_prefix(reader.Read(piece.data(), piece.size()));
      if (reader.state() == detail::ResponseReader::State::kReading)
        break;
      if (reader.state() != detail::ResponseReader::State::kComplete) {
        responses.push_back(TakeResponse(&reader));
        return responses;
      }
      const bool reusable = reader.keep_alive();
      const std::string id = std::to_string(request);
      const HeaderField* echo = FindHeader(reader.headers(), "Request-Id");
      const bool has_echo = echo != nullptr;
      const auto owner =
          history.OwnerOf(echo, {.request_id = id,
                                 .echoes_all_or_none = true,
                                 .first_on_connection = responses.empty()});
      responses.push_back(TakeResponse(&reader));
      responses.back().owner = owner;
      Require(http_status::IsFinal(responses.back().status),
              "an answer has a final status");
      const bool taken = owner != detail::ResponseOwner::kOtherRequest;
      Require(!taken || has_echo || !echoed,
              "a server that echoes ids isn't believed without one");
      echoed = echoed || (taken && has_echo);
      if (!reusable)
        return responses;
      request += taken ? 1 : 0;
      reader.Begin(/*head_only=*/false, kMaxBodyBytes);
    }
  }
  return responses;
}

// Reads the same bytes whole and in pieces. The first byte sets the pieces'
// size.
void DecodeConnection(std::string_view text) {
  if (text.empty())
    return;
  const auto max_piece = static_cast<unsigned char>(text.front());
  text.remove_prefix(1);
  Require(ReadConnection(text, max_piece % 64) == ReadConnection(text, 1),
          "pieces make no difference");
  detail::ResponseReader whole;
  whole.Begin(/*head_only=*/false, kMaxBodyBytes);
  whole.Read(text.data(), text.size());
  const auto responses = ReadConnection(text, 1);
  Require(whole.state() == detail::ResponseReader::State::kReading
              ? responses.empty()
              : !responses.empty() && responses.front().state == whole.state(),
          "the first response is the same in one piece");
}

void ShortenStoreItem(std::string_view text) {
  const std::string key = TakeLine(&text);
  const RawItem item{key, std::string(text), 1};
  const DecodedItem decoded = DecodeStoreItem(item);
  if (!decoded.short_value)
    return;
  Require(decoded.short_value->size() < 2 * kMaxEntryValueBytes);
  const DecodedItem again = DecodeStoreItem({key, decoded.short_value, 1});
  Require(!again.fault && again.item->index() == decoded.item->index());
}

// Returns a value of a write: the text after a tab, or one that is built from
// the text after a letter.
std::string TakeValue(std::string_view text) {
  if (text.empty() || text.front() == '\t')
    return std::string(text.substr(std::min<std::size_t>(text.size(), 1)));
  std::string rest(text.substr(1));
  std::string long_text(1 + rest.size() * 100, 'x');
  switch (text.front()) {
    case 's':
      return R"({"Service":")" + rest + R"(","Address":"10.0.0.1:80",)" +
             R"("Zone":"z","Version":"","Slots":1,"State":"ready",)" +
             R"("WarmupLeftMs":0,"Sequence":1,"note":")" + long_text + "\"}";
    case 'i':
      return EncodeInstance({"i", "z", "10.0.0.1:1", 1, 100});
    case 'u':
      return long_text;
    default:
      return rest;
  }
}

// Each line is a write to the store: what brings it to the instance (a letter),
// its key up to a colon, and its value.
void WriteToStore(std::string_view text) {
  DiscoverySettings settings;
  settings.own = {"own", "z", "10.0.0.2:1", 1, 100};
  settings.regions = {{"z", "region"}};
  settings.decode = DecodeStoreItem;
  settings.limits.max_server_bytes = 4000;
  settings.limits.max_entry_bytes = 5000;
  settings.limits.max_change_bytes = 2000;
  settings.limits.max_refused_items = 4;
  const DiscoveryLimits limits = settings.limits;
  // A listing is kept besides the entries until it is complete. The own entry
  // and the routes, which are short here, aren't counted among them.
  const std::size_t max_bytes =
      2 * limits.max_entry_bytes + limits.max_change_bytes + 2 * kMaxBodyBytes;
  DiscoveryEngine engine(std::move(settings));
  Time now = Time(Seconds(100));
  std::uint64_t revision = 0;
  for (int writes = 0; writes < kMaxWrites && !text.empty(); ++writes) {
    const std::string line = TakeLine(&text);
    const std::size_t colon = std::min(line.find(':'), line.size());
    FeedReply reply;
    reply.status = FeedStatus::kOk;
    reply.era = 1;
    reply.revision = ++revision;
    if (colon < line.size()) {
      const std::string key =
          line.substr(std::min<std::size_t>(1, colon),
                      colon - std::min<std::size_t>(1, colon));
      const std::string_view value = std::string_view(line).substr(colon + 1);
      RawItem item{key, std::nullopt, revision};
      if (!value.empty())
        item.value = TakeValue(value);
      reply.items.push_back(std::move(item));
    }
    now += Seconds(2);
    engine.Tick(now);
    engine.TakeActions();
    const char way = line.empty() ? 'c' : line.front();
    if (way == 'f' || way == 'w') {
      reply.whole = way == 'w';
      engine.OnFeedResponse("other", FeedRequestReason::kFollow,
                            std::move(reply), now);
    } else {
      reply.has_more = way == 'p';
      if (way == 'h')
        reply.status = FeedStatus::kHistoryLost;
      engine.OnStoreReply(std::move(reply), now);
    }
    engine.Tick(now);
    engine.TakeActions();
    Require(engine.kept_bytes() <= max_bytes);
  }
  const FeedReply kept = engine.MakeFeedResponse({}, now);
  FeedEncoder encoder;
  HttpResponse response;
  response.status = TransferStatus::kAnswered;
  response.http_status = 200;
  response.body = encoder.Encode(kept, revision % 2 == 0).body;
  const FeedReply passed_on = DecodePeerFeedReply(response);
  Require(passed_on.status == FeedStatus::kOk);
  Require(passed_on.items.size() == kept.items.size());
}

void Decode(char decoder, std::string_view text) {
  switch (decoder) {
    case 'a':
      return DecodeResponse(text);
    case 'x':
      return DecodeConnection(text);
    case 'i':
      return ShortenStoreItem(text);
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
    case 'e':
      DecodeExchangeReply(MakeResponse(text));
      DecodeScope(MakeRequest(text));
      return;
    case 'w':
      return WriteToStore(text);
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
