#ifndef NET_FEED_ENCODER_H_
#define NET_FEED_ENCODER_H_

#include <cstdint>
#include <string>

#include "discovery/discovery_types.h"
#include "net/http_server.h"

namespace limpetrudder {

// Writes answers for instances that ask what the store says. Large values are
// compressed, once for all who ask: a reader passes each configuration on to
// twenty instances at the same moment, over the links that carry queries.
// Not thread safe.
class FeedEncoder {
 public:
  // `packed`: whoever asked can read compressed values.
  ServerResponse Encode(const FeedReply& reply, bool packed);

  // How often a value was compressed.
  int compressions() const { return compressions_; }

 private:
  const std::string& Packed(const RawItem& item);

  // The large value that was asked for last.
  std::string key_;
  std::uint64_t value_hash_ = 0;
  std::string packed_;
  int compressions_ = 0;
};

}  // namespace limpetrudder

#endif  // NET_FEED_ENCODER_H_
