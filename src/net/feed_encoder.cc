#include "net/feed_encoder.h"

#include <utility>

#include "framework/base64.h"
#include "framework/deflate.h"
#include "framework/hash.h"
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
  response.body = Json({{"era", reply.era.value_or(0)},
                        {"revision", reply.revision},
                        {"whole", reply.whole},
                        {"age_ms", WholeMillis(reply.age)},
                        {"items", std::move(items)}})
                      .dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

const std::string& FeedEncoder::Packed(const RawItem& item) {
  // NOTE A revision doesn't name a value: after the store came back from an
  // older copy it is given out again.
  const std::uint64_t hash = Hash64(*item.value);
  if (item.key != key_ || hash != value_hash_) {
    key_ = item.key;
    value_hash_ = hash;
    packed_ = EncodeBase64(Deflate(*item.value));
    ++compressions_;
  }
  return packed_;
}

}  // namespace limpetrudder
