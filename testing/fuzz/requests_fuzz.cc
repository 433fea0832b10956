// Fuzzes the reader of clients' requests. The first byte sets the size of the
// pieces in which the rest is fed. Checks that it holds no more than its limits
// allow, and that the pieces make no difference.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "net/internal/request_reader.h"

namespace limpetrudder::detail {

using State = RequestReader::State;

// A complete request ends with other characters.
constexpr char kRefused = '!';
constexpr char kBodyRefused = 'b';

namespace {

constexpr RequestSizeLimits kLimits{256, 512};
constexpr std::size_t kMaxHeldBytes =
    kLimits.head + 2 * kLimits.head * sizeof(HeaderField) + kLimits.body;

bool IsReading(State state) {
  return state == State::kEmpty || state == State::kHead ||
         state == State::kBody;
}

// Reads all requests of `text` and returns what they were and how they ended.
std::string ReadAll(std::string_view text, std::size_t piece) {
  RequestReader reader;
  std::string seen;
  while (!text.empty()) {
    const std::size_t used =
        reader.Read(text.data(), std::min(piece, text.size()), kLimits);
    if (reader.held_bytes() > kMaxHeldBytes)
      std::abort();
    text.remove_prefix(used);
    if (IsReading(reader.state()))
      continue;
    if (reader.state() == State::kBodyTooLarge)
      return seen + kBodyRefused;
    // Which fault of a head is found first depends on the pieces.
    if (reader.state() != State::kComplete)
      return seen + kRefused;
    seen += reader.method() + (" " + reader.target());
    for (const auto& header : reader.headers())
      seen += "\n" + header.name + ":" + header.value;
    const std::string body = reader.TakeBody();
    if (body.size() > kLimits.body)
      std::abort();
    seen += "\n\n" + body + (reader.keep_alive() ? "+" : "-");
    reader.Begin();
  }
  return seen;
}

}  // namespace
}  // namespace limpetrudder::detail

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using limpetrudder::detail::kBodyRefused;
  using limpetrudder::detail::ReadAll;
  if (size < 2)
    return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 1,
                              size - 1);
  const std::string in_pieces = ReadAll(text, data[0] % 61 + 1);
  const std::string whole = ReadAll(text, text.size());
  // NOTE What chunks take beyond their data is counted for each piece.
  if (in_pieces != whole && !in_pieces.ends_with(kBodyRefused) &&
      !whole.ends_with(kBodyRefused))
    std::abort();
  return 0;
}
