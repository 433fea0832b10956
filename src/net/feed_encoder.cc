#include "net/feed_encoder.h"

#include <utility>

#include "framework/base64.h"
#include "framework/deflate.h"
#include "framework/json_schema.h"

namespace limpetrudder {
namespace {

// Entries of servers and instances take a few hundred bytes; they would gain
// little.
constexpr std::size_t kSmallestPacked = 4096;

}  // namespace

ServerResponse FeedEncoder::Encode(const FeedReply& reply, bool packed) {
  Json items = Json::array();
  for (const auto& item : reply.items) {
    Json row = {{"key", item.key}, {"revision", item.revision}};
    if (packed && item.value && item.value->size() >= kSmallestPacked)
      row.update({{"packed", Packed(item)}, {"size", item.value->size()}});
    else
      row["value"] = item.value ? Json(*item.value) : Json();
    items.push_back(std::move(row));
  }
  ServerResponse response;
  response.body = Json({{"revision", reply.revision},
                        {"whole", reply.whole},
                        {"age_ms", WholeMillis(reply.age)},
                        {"items", std::move(items)}})
                      .dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

const std::string& FeedEncoder::Packed(const RawItem& item) {
  if (item.key != key_ || item.revision != revision_) {
    key_ = item.key;
    revision_ = item.revision;
    packed_ = EncodeBase64(Deflate(*item.value));
    ++compressions_;
  }
  return packed_;
}

}  // namespace limpetrudder
