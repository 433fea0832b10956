#include "net/feed_encoder.h"

#include <utility>

#include "framework/base64.h"
#include "framework/deflate.h"
#include "framework/hash.h"
#include "framework/json_schema.h"

namespace limpetrudder {
namespace {

// Smaller values are sent uncompressed. Entries of servers and instances take a
// few hundred bytes, so compression would save little.
constexpr std::size_t kMinCompressedBytes = 4096;

}  // namespace

ServerResponse FeedEncoder::Encode(const FeedReply& reply,
                                   bool accepts_compressed) {
  Json items = Json::array();
  for (const auto& item : reply.items) {
    Json row = {{"key", item.key}, {"revision", item.revision}};
    if (accepts_compressed && item.value &&
        item.value->size() >= kMinCompressedBytes)
      row.update({{"packed", Compressed(item)}, {"size", item.value->size()}});
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

const std::string& FeedEncoder::Compressed(const RawItem& item) {
  // NOTE The cache compares the value's hash because a revision doesn't
  // identify a value: after the store is restored from an older copy, it reuses
  // revisions.
  const std::uint64_t hash = Hash64(*item.value);
  if (item.key != key_ || hash != value_hash_) {
    key_ = item.key;
    value_hash_ = hash;
    compressed_ = EncodeBase64(Deflate(*item.value));
    ++compressions_;
  }
  return compressed_;
}

}  // namespace limpetrudder
