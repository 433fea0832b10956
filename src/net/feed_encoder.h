#ifndef NET_FEED_ENCODER_H_
#define NET_FEED_ENCODER_H_

#include <cstdint>
#include <string>

#include "discovery/discovery_types.h"
#include "net/http_server.h"

namespace limpetrudder {

// Encodes feed responses for other instances. Large values are compressed, once
// for all requesters: a reader sends each new configuration to twenty instances
// at the same moment, over the links that also carry queries. Not thread safe.
class FeedEncoder {
 public:
  // Set `accepts_compressed` if the requester can read compressed values.
  ServerResponse Encode(const FeedReply& reply, bool accepts_compressed);

  // Returns the number of times that a value was compressed.
  int compressions() const { return compressions_; }

 private:
  // Returns the compressed value of `item` in Base64.
  const std::string& Compressed(const RawItem& item);

  // The large value that was compressed last.
  std::string key_;
  std::uint64_t value_hash_ = 0;
  std::string compressed_;
  int compressions_ = 0;
};

}  // namespace limpetrudder

#endif  // NET_FEED_ENCODER_H_
